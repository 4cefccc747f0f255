package org.celeryhill.forward;

import java.time.Duration;
import java.util.List;
import java.util.Objects;

import org.celeryhill.base.ServiceId;

/**
 * Rule that selects the service for requests with one host and path prefix. Immutable and
 * thread-safe.
 *
 * @param name the name of the route, not null
 * @param host the value of the Host header without the port, in lower case, not null
 * @param pathPrefix the prefix of the request path, begins and ends with a slash, not
 * null
 * @param kind whether requests are retryable and whether responses are streams, not null
 * @param timeout the longest time from the arrival of a request to the end of its
 * response, positive
 * @param targetLatency the target for the time from the arrival of a request to its
 * response or to the first event of its stream, not null
 * @param priority the priority of the requests; 0 is the highest
 * @param destinations the services with their traffic weights, at least one
 * @param maxAttempts the number of times that one request may be executed, at least 1
 * @param isResumable whether an interrupted stream can be resumed on another backend
 * server
 * @param targetEventGap the target for the time between two events of a stream, not null;
 * zero if the route has no such target
 * @param isPublic whether requests need no API key
 */
public record Route(String name, String host, String pathPrefix, Kind kind, Duration timeout, Duration targetLatency,
		int priority, List<Destination> destinations, int maxAttempts, boolean isResumable, Duration targetEventGap,
		boolean isPublic) {

	/**
	 * Creates a route.
	 * @throws IllegalArgumentException if the path prefix does not begin and end with a
	 * slash, there is no destination, or the attempts or the timeout are not positive
	 */
	public Route {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(host, "host");
		Objects.requireNonNull(kind, "kind");
		Objects.requireNonNull(targetLatency, "targetLatency");
		Objects.requireNonNull(targetEventGap, "targetEventGap");
		destinations = List.copyOf(destinations);
		if (!pathPrefix.startsWith("/") || !pathPrefix.endsWith("/")) {
			throw new IllegalArgumentException("path prefix must begin and end with a slash: " + pathPrefix);
		}
		if (destinations.isEmpty() || maxAttempts < 1 || timeout.isNegative() || timeout.isZero()) {
			throw new IllegalArgumentException(
					"route " + name + " needs a destination, an attempt and a positive timeout");
		}
	}

	/**
	 * Creates a route whose requests need an API key if the configuration has
	 * organisations.
	 * @param name the name of the route, not null
	 * @param host the value of the Host header without the port, in lower case, not null
	 * @param pathPrefix the prefix of the request path, not null
	 * @param kind whether requests are retryable and whether responses are streams, not
	 * null
	 * @param timeout the longest time from the arrival of a request to the end of its
	 * response, positive
	 * @param targetLatency the target for the time to the response or its first event,
	 * not null
	 * @param priority the priority of the requests; 0 is the highest
	 * @param destinations the services with their traffic weights, at least one
	 * @param maxAttempts the number of times that one request may be executed, at least 1
	 * @param isResumable whether an interrupted stream can be resumed
	 * @param targetEventGap the target for the time between two events, not null
	 * @throws IllegalArgumentException as for the canonical constructor
	 */
	public Route(String name, String host, String pathPrefix, Kind kind, Duration timeout, Duration targetLatency,
			int priority, List<Destination> destinations, int maxAttempts, boolean isResumable,
			Duration targetEventGap) {
		this(name, host, pathPrefix, kind, timeout, targetLatency, priority, destinations, maxAttempts, isResumable,
				targetEventGap, false);
	}

	/**
	 * Selects the service for a request by weight. The choice depends only on the request
	 * id, so that every host selects the same service for the same request.
	 * @param requestId the id of the request, not null
	 * @return the service, never null
	 */
	public ServiceId selectService(String requestId) {
		if (this.destinations.size() == 1) {
			return this.destinations.get(0).service();
		}
		long totalWeight = this.destinations.stream().mapToLong(Destination::weight).sum();
		long remainder = Math.floorMod(mixBits(requestId.hashCode()), Math.max(1, totalWeight));
		for (Destination destination : this.destinations) {
			remainder -= destination.weight();
			if (remainder < 0) {
				return destination.service();
			}
		}
		return this.destinations.get(0).service();
	}

	private static long mixBits(long value) {
		long mixed = (value ^ (value >>> 33)) * 0xff51afd7ed558ccdL;
		return mixed ^ (mixed >>> 29);
	}

	/**
	 * Returns whether a request of this route may be executed more than once.
	 * @return whether it is idempotent or a resumable stream
	 */
	public boolean isRetryable() {
		return this.kind == Kind.IDEMPOTENT || (this.kind == Kind.STREAM && this.isResumable);
	}

	/**
	 * Retry and response semantics of the requests of a route.
	 */
	public enum Kind {

		/**
		 * Requests may be executed more than once.
		 */
		IDEMPOTENT,

		/**
		 * Requests are executed at most once.
		 */
		NON_IDEMPOTENT,

		/**
		 * Responses are event streams.
		 */
		STREAM

	}

	/**
	 * A service of a route with its share of the traffic.
	 *
	 * @param service the service, not null
	 * @param weight its weight relative to the other destinations, zero or more
	 */
	public record Destination(ServiceId service, int weight) {

		/**
		 * Creates a destination.
		 * @throws IllegalArgumentException if the weight is negative
		 */
		public Destination {
			Objects.requireNonNull(service, "service");
			if (weight < 0) {
				throw new IllegalArgumentException("weight must not be negative: " + weight);
			}
		}

	}

}
