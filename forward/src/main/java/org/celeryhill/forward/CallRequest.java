package org.celeryhill.forward;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.celeryhill.access.Organisation;
import org.celeryhill.base.RequestId;
import org.celeryhill.base.ServiceId;
import org.celeryhill.traffic.RequestBounds;
import org.celeryhill.traffic.TrafficRequest;

/**
 * Describes the request of a caller to the traffic controller.
 *
 * @param key the key of the request on this host, not null
 * @param metadata what the caller says of the request, not null
 * @param route the route that was found, not null
 * @param service the service that was selected, not null
 * @param organisation the organisation of the caller, empty if it needs none, not null
 * @param arrivedNanos the time of the arrival in nanoseconds
 */
record CallRequest(RequestId key, RequestMetadata metadata, Route route, ServiceId service,
		Optional<Organisation> organisation, long arrivedNanos) {

	private static final Duration DEFAULT_DEADLINE = Duration.ofSeconds(30);

	/**
	 * Shortest time in which a request may start, for callers with hardly any time left.
	 */
	private static final Duration MIN_START = Duration.ofMillis(1);

	// Returns the longest time from the arrival to the response.
	Duration limit() {
		Duration deadline = this.metadata.deadline().orElse(DEFAULT_DEADLINE);
		return (deadline.compareTo(this.route.timeout()) < 0) ? deadline : this.route.timeout();
	}

	long deadlineNanos() {
		return this.arrivedNanos + limit().toNanos();
	}

	// Returns whether the caller has been refused before.
	RequestBounds.Arrival arrival(CallerPatience patience) {
		return this.metadata.deadline()
			.map((timeLeft) -> patience.classify(this.route.name(), timeLeft))
			.orElse(RequestBounds.Arrival.FIRST);
	}

	TrafficRequest toTrafficRequest(Forwarder forwarder, List<Long> prefixBlockHashes, RequestBounds.Arrival arrival) {
		TrafficRequest unbounded = new TrafficRequest(this.key,
				this.organisation.map(Organisation::id).orElse(RevisionMapping.ORGANISATION), this.service,
				this.metadata.model().map(RequestMetadata.ModelName::toId),
				forwarder.priority(this.route, this.organisation), this.metadata.promptTokens(),
				this.metadata.maxTokens(), prefixBlockHashes, true, this.arrivedNanos);
		return this.metadata.model().isPresent() ? unbounded.withBounds(bounds(arrival)) : unbounded;
	}

	private RequestBounds bounds(RequestBounds.Arrival arrival) {
		Duration limit = limit();
		Duration latest = arrival.isReturn() ? AbsentModelCheck.longestWait(this.route)
				: RevisionMapping.latestStart(this.route);
		Duration start = (latest.compareTo(limit) < 0) ? latest : limit;
		Duration target = this.route.targetLatency();
		return new RequestBounds(isPositive(target) ? target : start, isPositive(start) ? start : MIN_START,
				CallerPatience.longestReturn(limit), arrival);
	}

	private static boolean isPositive(Duration duration) {
		return !duration.isZero() && !duration.isNegative();
	}

}
