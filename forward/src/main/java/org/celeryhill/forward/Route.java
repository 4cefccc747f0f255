package org.celeryhill.forward;

import java.time.Duration;
import java.util.List;
import java.util.Objects;

import org.celeryhill.base.ServiceId;

/**
 * Rule that sends requests of one host and path prefix to services. Immutable and
 * thread-safe.
 *
 * @param name the name of the route, not null
 * @param host the host that callers name, in lower case, not null
 * @param pathPrefix the start of the path, begins and ends with a slash
 * @param kind what may be repeated
 * @param timeout the longest time that a request is kept, positive
 * @param targetLatency the time within which an answer, or the first event of a stream,
 * is on time
 * @param priority the rank of the requests; 0 is the most urgent
 * @param destinations the services with their weights, at least one
 * @param maxAttempts the most backend servers that may run one request
 * @param isResumable whether a stream may go on at another backend server
 * @param targetEventGap the longest pause between events of a stream that is still on time,
 * zero where the route has none
 */
public record Route(String name, String host, String pathPrefix, Kind kind, Duration timeout, Duration targetLatency,
		int priority, List<Destination> destinations, int maxAttempts, boolean isResumable, Duration targetEventGap) {

	/**
	 * Checks the arguments.
	 * @throws IllegalArgumentException if a number, prefix or list is out of range
	 */
	public Route {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(host, "host");
		Objects.requireNonNull(kind, "kind");
		Objects.requireNonNull(targetLatency, "targetLatency");
		Objects.requireNonNull(targetEventGap, "gapTarget");
		destinations = List.copyOf(destinations);
		if (!pathPrefix.startsWith("/") || !pathPrefix.endsWith("/")) {
			throw new IllegalArgumentException("path prefix must begin and end with a slash: " + pathPrefix);
		}
		if (destinations.isEmpty() || maxAttempts < 1 || timeout.isNegative() || timeout.isZero()) {
			throw new IllegalArgumentException("destinations, attempts or timeout of route " + name + " out of range");
		}
	}

	/**
	 * Returns the service of one request. The same request id always gets the same
	 * service, so that every host splits the traffic alike.
	 * @param requestId the id of the request, not null
	 * @return the service, never null
	 */
	public ServiceId selectService(String requestId) {
		if (this.destinations.size() == 1) {
			return this.destinations.get(0).service();
		}
		long total = this.destinations.stream().mapToLong(Destination::weight).sum();
		long point = Math.floorMod(mix(requestId.hashCode()), Math.max(1, total));
		for (Destination destination : this.destinations) {
			point -= destination.weight();
			if (point < 0) {
				return destination.service();
			}
		}
		return this.destinations.get(0).service();
	}

	private static long mix(long value) {
		long z = (value ^ (value >>> 33)) * 0xff51afd7ed558ccdL;
		return z ^ (z >>> 29);
	}

	/**
	 * Returns whether a request may run more than once.
	 * @return whether it may
	 */
	public boolean isRetryable() {
		return this.kind == Kind.IDEMPOTENT || (this.kind == Kind.STREAM && this.isResumable);
	}

	/**
	 * What may be repeated on a route.
	 */
	public enum Kind {

		/**
		 * Requests may run more than once.
		 */
		IDEMPOTENT,

		/**
		 * Requests run at most once.
		 */
		NON_IDEMPOTENT,

		/**
		 * Answers are event streams.
		 */
		STREAM

	}

	/**
	 * One service of a route with its part of the traffic.
	 *
	 * @param service the service, not null
	 * @param weight its weight among the destinations, zero or more
	 */
	public record Destination(ServiceId service, int weight) {

		/**
		 * Checks the arguments.
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
