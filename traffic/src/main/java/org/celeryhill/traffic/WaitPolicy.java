package org.celeryhill.traffic;

import java.time.Duration;
import java.util.Optional;

/**
 * Refuses requests whose wait is foreseen to last beyond the time at which they are worth
 * sending, when they arrive and while they wait, and tells their callers when room is
 * expected. Applies to requests with bounds of their own. Not thread-safe.
 */
final class WaitPolicy {

	/**
	 * Part of the target for which requests must have been waiting before a new one is
	 * refused, written as a divisor. Shorter waits end by themselves.
	 */
	private static final int MIN_BACKLOG_DIVISOR = 8;

	/**
	 * Shortest Retry-After as a part of the longest one that the caller follows. A caller
	 * that has waited for less cannot be told from one that comes for the first time, so
	 * that no room could be kept for it; it would miss its target as well.
	 */
	private static final double MIN_RETURN_FRACTION = 0.65;

	/**
	 * Part of the room that is promised to callers that come back, written as a divisor.
	 * More would make first requests late, which then come back in their turn.
	 */
	private static final int RETURN_SHARE_DIVISOR = 8;

	/**
	 * Longest wait of a caller that comes back before its time as a part of the target,
	 * written as a divisor.
	 */
	private static final int EARLY_RETURN_DIVISOR = 4;

	/** Retry-After if no end of the wait can be foreseen. */
	private static final Duration UNKNOWN_RETRY_AFTER = Duration.ofSeconds(1);

	/** Longest Retry-After. */
	private static final Duration MAX_RETRY_AFTER = Duration.ofSeconds(60);

	/** Estimates the wait. */
	private final WaitEstimate estimate = new WaitEstimate();

	/** Number of refusals when a request arrived. */
	private long refusedAtArrival;

	/** Number of refusals of waiting requests. */
	private long refusedWhileWaiting;

	/** Number of callers that have come back and were admitted for that. */
	private long honouredReturns;

	/**
	 * Sets the forecast of models that are being loaded.
	 * @param forecast the forecast
	 */
	void setForecast(ModelForecast forecast) {
		this.estimate.setForecast(forecast);
	}

	/**
	 * Checks a request that arrives.
	 * @param pool the service
	 * @param pending the request
	 * @param now the current time in nanoseconds
	 * @return empty if it may wait or be sent, else the reason for the refusal
	 */
	Optional<TrafficAction.Reason> checkArrival(ServicePool pool, PendingRequest pending, long now) {
		if (!pending.isReviewed) {
			return Optional.empty();
		}
		RouteBacklog backlog = pending.flow.route.backlog;
		boolean isReachable = pool.isReachable(pending.flow.route);
		if (isReachable && backlog.ageNanos(now) < pending.firstTokenTargetNanos / MIN_BACKLOG_DIVISOR) {
			return Optional.empty();
		}
		if (isReachable && pending.arrival == RequestBounds.Arrival.RETURN_AS_TOLD
				&& pending.flow.classQueue.returns.redeem(now)) {
			backlog.returns.redeem(now);
			pending.isHonoured = true;
			this.honouredReturns++;
			return Optional.empty();
		}
		int ahead = backlog.countAhead(pending.flow.classQueue.organisation, pending.flow.priority().ordinal());
		double wait = this.estimate.untilSentNanos(pool, pending, ahead, now);
		if (isReachable && !pending.arrival.isReturn()) {
			// Room is reserved for callers that are told to come back before that.
			int reserved = backlog.returns.countBefore(now + (long) wait, now);
			wait += reserved * WaitEstimate.gapNanos(pending.flow.route, now);
		}
		long until = pending.usefulUntilNanos();
		if (isReachable && pending.arrival.isReturn() && until < pending.deadline) {
			// A caller that comes back before its time is late already and only takes
			// room that is free at once.
			until = now + pending.firstTokenTargetNanos / EARLY_RETURN_DIVISOR;
		}
		Optional<TrafficAction.Reason> reason = reasonIfTooLong(until, wait, isReachable, now);
		this.refusedAtArrival += reason.isPresent() ? 1 : 0;
		return reason;
	}

	/**
	 * Checks a request that waits.
	 * @param pool the service
	 * @param pending the request
	 * @param now the current time in nanoseconds
	 * @return empty if it may wait on, else the reason for the refusal
	 */
	Optional<TrafficAction.Reason> checkWaiting(ServicePool pool, PendingRequest pending, long now) {
		double wait = this.estimate.untilSentNanos(pool, pending, pending.countAhead(), now);
		boolean isReachable = pool.isReachable(pending.flow.route);
		Optional<TrafficAction.Reason> reason = reasonIfTooLong(pending.usefulUntilNanos(), wait, isReachable, now);
		boolean wasHopeless = pending.isHopeless;
		pending.isHopeless = !isReachable && reason.isPresent();
		if (pending.isHopeless && !wasHopeless) {
			// A model that has just been loaded may not be listed yet.
			return Optional.empty();
		}
		this.refusedWhileWaiting += reason.isPresent() ? 1 : 0;
		return reason;
	}

	private static Optional<TrafficAction.Reason> reasonIfTooLong(long untilNanos, double waitNanos,
			boolean isReachable, long now) {
		if (waitNanos <= untilNanos - now) {
			return Optional.empty();
		}
		return Optional.of(isReachable ? TrafficAction.Reason.DEADLINE : TrafficAction.Reason.NO_BACKEND);
	}

	/**
	 * Returns the time after which the caller of a refused request finds room, and
	 * reserves room for it if it will come back at that time.
	 * @param pool the service
	 * @param pending the request
	 * @param now the current time in nanoseconds
	 * @return the time, later than that of the callers refused before
	 */
	Duration promiseReturn(ServicePool pool, PendingRequest pending, long now) {
		ModelRoute route = pending.flow.route;
		int ahead = route.backlog.countAhead(pending.flow.classQueue.organisation, pending.flow.priority().ordinal());
		double wait = this.estimate.untilSentNanos(pool, pending, ahead, now);
		if (wait >= WaitEstimate.ENDLESS_NANOS) {
			return UNKNOWN_RETRY_AFTER;
		}
		Duration longest = pending.request.bounds().map(RequestBounds::longestReturn).orElse(Duration.ZERO);
		double earliest = Math.max(wait, MIN_RETURN_FRACTION * longest.toNanos());
		long gap = (long) WaitEstimate.gapNanos(route, now) * RETURN_SHARE_DIVISOR;
		long time = route.backlog.returns.nextFree(now + (long) earliest, gap, now);
		Duration delay = Duration.ofNanos(time - now);
		if (delay.compareTo(longest) <= 0) {
			route.backlog.returns.promise(time);
			pending.flow.classQueue.returns.promise(time);
		}
		return (delay.compareTo(MAX_RETRY_AFTER) < 0) ? delay : MAX_RETRY_AFTER;
	}

	/**
	 * Returns the number of refusals when a request arrived.
	 * @return the number since the start
	 */
	long refusedAtArrival() {
		return this.refusedAtArrival;
	}

	/**
	 * Returns the number of refusals of waiting requests before their deadline.
	 * @return the number since the start
	 */
	long refusedWhileWaiting() {
		return this.refusedWhileWaiting;
	}

	/**
	 * Returns the number of callers that have come back and were admitted for that.
	 * @return the number since the start
	 */
	long honouredReturns() {
		return this.honouredReturns;
	}

}
