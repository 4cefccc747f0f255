package org.celeryhill.traffic;

import java.time.Duration;
import java.util.Optional;

/**
 * Decides whether a request joins its queue. A request whose expected wait exceeds what
 * is left until its deadline is refused at once, so that the caller learns early and
 * truthfully that it has not run. Immutable and thread-safe.
 */
final class AdmissionRule {

	/** Waiting requests of a class below which none is refused for its deadline. */
	private static final int MIN_WAITING = 4;

	/**
	 * Time for which requests must have been waiting before one is refused for its
	 * deadline, in nanoseconds. The rate of an idle class says nothing about a burst that
	 * has not been dispatched yet.
	 */
	private static final long MIN_BACKLOG = 100_000_000L;

	/** Shortest Retry-After. */
	private static final double MIN_RETRY_SECONDS = 1;

	/** Longest Retry-After. */
	private static final double MAX_RETRY_SECONDS = 60;

	/** Waiting requests allowed for one organisation and class. */
	private final int queueLimit;

	/**
	 * Creates a rule.
	 * @param queueLimit the waiting requests allowed for one organisation and class
	 */
	AdmissionRule(int queueLimit) {
		this.queueLimit = queueLimit;
	}

	/**
	 * Checks a request.
	 * @param pool the service
	 * @param pending the request
	 * @param now the time in nanoseconds
	 * @return empty if it may join, else why not
	 */
	Optional<TrafficAction.Reason> check(ServicePool pool, PendingRequest pending, long now) {
		ClassQueue queue = pending.flow.parent;
		if (queue.count() >= this.queueLimit) {
			return Optional.of(TrafficAction.Reason.QUEUE_FULL);
		}
		if (now >= pending.deadline) {
			return Optional.of(TrafficAction.Reason.DEADLINE);
		}
		boolean isBacklogged = queue.count() >= MIN_WAITING && now - queue.backloggedSince() >= MIN_BACKLOG;
		if (isBacklogged && now + waitSeconds(pool, queue, queue.tokensAhead(), now) * 1e9 > pending.deadline) {
			return Optional.of(TrafficAction.Reason.DEADLINE);
		}
		return Optional.empty();
	}

	/**
	 * Returns the expected time to send waiting requests of a class.
	 * @param pool the service
	 * @param queue the class
	 * @param tokens the estimated tokens of the requests
	 * @param now the time in nanoseconds
	 * @return the time in seconds
	 */
	double waitSeconds(ServicePool pool, ClassQueue queue, long tokens, long now) {
		if (queue.count() == 0) {
			return 0;
		}
		OrganisationQueue organisation = queue.organisation;
		double entitled = pool.rate.perSecond(now) * organisation.weight / pool.queue.activeWeight()
				* organisation.share(queue.priority);
		double rate = Math.max(queue.rate.perSecond(now), entitled);
		return tokens / Math.max(1, rate);
	}

	/**
	 * Returns when a refused caller may try again.
	 * @param pool the service
	 * @param queue the class
	 * @param now the time in nanoseconds
	 * @return the time to drain the backlog, in whole seconds
	 */
	Duration retryAfter(ServicePool pool, ClassQueue queue, long now) {
		double seconds = Math.ceil(waitSeconds(pool, queue, queue.tokens(), now));
		return Duration.ofSeconds((long) Math.min(MAX_RETRY_SECONDS, Math.max(MIN_RETRY_SECONDS, seconds)));
	}

}
