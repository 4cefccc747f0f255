package org.celeryhill.traffic;

import java.time.Duration;
import java.util.Optional;

/**
 * Decides whether a request may join its queue. A request whose expected wait goes beyond
 * its deadline is refused immediately, so that the caller learns early that it has not
 * run. Immutable and thread-safe.
 */
final class AdmissionPolicy {

	/**
	 * Waiting requests of a class below which no request is refused for its expected
	 * wait.
	 */
	private static final int MIN_WAITING_REQUESTS = 4;

	/**
	 * Time that requests of a class must have been waiting before one is refused for its
	 * expected wait, in nanoseconds. The send rate of an idle class is no estimate for a
	 * burst that has not been dispatched yet.
	 */
	private static final long MIN_BACKLOG_NANOS = 100_000_000L;

	/** Shortest Retry-After, in seconds. */
	private static final double MIN_RETRY_SECONDS = 1;

	/** Longest Retry-After, in seconds. */
	private static final double MAX_RETRY_SECONDS = 60;

	/** Largest number of waiting requests of one organisation and class. */
	private final int queueLimit;

	/**
	 * Creates a policy.
	 * @param queueLimit the largest number of waiting requests of one organisation and
	 * class
	 */
	AdmissionPolicy(int queueLimit) {
		this.queueLimit = queueLimit;
	}

	/**
	 * Checks whether a request may join its queue.
	 * @param pool the service of the request
	 * @param pending the request
	 * @param now the current time in nanoseconds
	 * @return empty if the request may join, else the reason for the refusal
	 */
	Optional<TrafficAction.Reason> check(ServicePool pool, PendingRequest pending, long now) {
		ClassQueue queue = pending.flow.classQueue;
		if (queue.waitingCount() >= this.queueLimit) {
			return Optional.of(TrafficAction.Reason.QUEUE_FULL);
		}
		if (now >= pending.deadline) {
			return Optional.of(TrafficAction.Reason.DEADLINE);
		}
		boolean isBacklogged = queue.waitingCount() >= MIN_WAITING_REQUESTS
				&& now - queue.backlogStartNanos() >= MIN_BACKLOG_NANOS;
		if (isBacklogged && now + expectedWaitSeconds(pool, queue, queue.tokensAhead(), now) * 1e9 > pending.deadline) {
			return Optional.of(TrafficAction.Reason.DEADLINE);
		}
		return Optional.empty();
	}

	/**
	 * Returns the expected time until waiting requests of a class have been sent. It is
	 * based on the send rate of the class or, if that is higher, on the class's entitled
	 * part of the service's send rate.
	 * @param pool the service
	 * @param queue the class
	 * @param tokens the estimated tokens of the waiting requests
	 * @param now the current time in nanoseconds
	 * @return the time in seconds
	 */
	double expectedWaitSeconds(ServicePool pool, ClassQueue queue, long tokens, long now) {
		if (queue.waitingCount() == 0) {
			return 0;
		}
		OrganisationQueue organisation = queue.organisation;
		double entitledRate = pool.rate.perSecond(now) * organisation.weight / pool.queue.activeWeight()
				* organisation.share(queue.priority);
		double rate = Math.max(queue.rate.perSecond(now), entitledRate);
		return tokens / Math.max(1, rate);
	}

	/**
	 * Returns the time after which the caller of a refused request may try again.
	 * @param pool the service
	 * @param queue the class
	 * @param now the current time in nanoseconds
	 * @return the expected time to send the backlog of the class, in whole seconds
	 */
	Duration retryAfter(ServicePool pool, ClassQueue queue, long now) {
		double seconds = Math.ceil(expectedWaitSeconds(pool, queue, queue.tokens(), now));
		return Duration.ofSeconds((long) Math.min(MAX_RETRY_SECONDS, Math.max(MIN_RETRY_SECONDS, seconds)));
	}

}
