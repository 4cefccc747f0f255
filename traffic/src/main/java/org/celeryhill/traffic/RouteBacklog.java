package org.celeryhill.traffic;

import java.util.HashMap;
import java.util.Map;

/**
 * Requests that wait for the engines of one model, over all organisations and classes,
 * and the pace at which room for them becomes free. Adapters share the backlog of their
 * model. Not thread-safe.
 */
final class RouteBacklog {

	/** Weight of a new observation in the moving averages. */
	private static final double LEARNING_RATE = 0.25;

	/**
	 * Age above which the observed pace is forgotten, in nanoseconds. Models move among
	 * engines within seconds, and the pace moves with them.
	 */
	private static final long MAX_PACE_AGE_NANOS = 5_000_000_000L;

	/** Promised returns for which room is reserved. */
	final ReturnLedger returns = new ReturnLedger();

	/** Backlogs of the organisations that have requests waiting. */
	private final Map<OrganisationQueue, OrganisationBacklog> organisations = new HashMap<>();

	/** Number of waiting requests of all classes. */
	private int total;

	/** Since when requests have been waiting without interruption, in nanoseconds. */
	private long waitingSinceNanos;

	/** Time of the latest send or, if it is later, the beginning of the wait. */
	private long paceStartNanos;

	/** Moving average of the time between two sends while requests wait, 0 if unknown. */
	private double meanGapNanos;

	/** Time of the latest observation of the pace, in nanoseconds. */
	private long paceUpdatedNanos;

	/**
	 * Counts a request that begins to wait.
	 * @param organisation the queue of its organisation
	 * @param ordinal the ordinal of its class
	 * @param now the current time in nanoseconds
	 * @return the backlog of its organisation
	 */
	OrganisationBacklog add(OrganisationQueue organisation, int ordinal, long now) {
		if (this.total == 0) {
			this.waitingSinceNanos = now;
			this.paceStartNanos = now;
		}
		this.total++;
		OrganisationBacklog own = this.organisations.computeIfAbsent(organisation, OrganisationBacklog::new);
		own.add(ordinal);
		return own;
	}

	/**
	 * Counts a request that no longer waits.
	 * @param own the backlog of its organisation
	 * @param ordinal the ordinal of its class
	 */
	void remove(OrganisationBacklog own, int ordinal) {
		this.total--;
		own.remove(ordinal);
		if (own.isEmpty()) {
			this.organisations.remove(own.organisation);
		}
	}

	/**
	 * Records that a request which had to wait for room was sent.
	 * @param now the current time in nanoseconds
	 */
	void recordSendAfterWait(long now) {
		double gap = now - this.paceStartNanos;
		this.meanGapNanos = (isPaceKnown(now)) ? this.meanGapNanos + LEARNING_RATE * (gap - this.meanGapNanos) : gap;
		this.paceStartNanos = now;
		this.paceUpdatedNanos = now;
	}

	private boolean isPaceKnown(long now) {
		return this.meanGapNanos > 0 && now - this.paceUpdatedNanos <= MAX_PACE_AGE_NANOS;
	}

	/**
	 * Returns the waiting requests that are served before a new one of an organisation.
	 * @param organisation the queue of the organisation
	 * @param ordinal the ordinal of the new request's class
	 * @return those of the organisation, in its class and in more urgent ones
	 */
	int countAhead(OrganisationQueue organisation, int ordinal) {
		OrganisationBacklog own = this.organisations.get(organisation);
		return (own != null) ? own.countAhead(ordinal) : 0;
	}

	/**
	 * Returns the part of the sends that an organisation can rely on.
	 * @param organisation the queue of the organisation
	 * @return its weight among those of the organisations that wait, 1 if it is alone
	 */
	double share(OrganisationQueue organisation) {
		double others = 0;
		for (OrganisationQueue other : this.organisations.keySet()) {
			others += (other != organisation) ? other.weight : 0;
		}
		return organisation.weight / (organisation.weight + others);
	}

	/**
	 * Returns the number of waiting requests of all classes.
	 * @return the number
	 */
	int waitingCount() {
		return this.total;
	}

	/**
	 * Returns how long requests have been waiting without interruption.
	 * @param now the current time in nanoseconds
	 * @return the time in nanoseconds, 0 if none waits
	 */
	long ageNanos(long now) {
		return (this.total > 0) ? now - this.waitingSinceNanos : 0;
	}

	/**
	 * Returns the expected time between two sends: the observed one or, if that is
	 * longer, the time since the latest send.
	 * @param now the current time in nanoseconds
	 * @return the time in nanoseconds, 0 if nothing is known
	 */
	double expectedGapNanos(long now) {
		return Math.max(isPaceKnown(now) ? this.meanGapNanos : 0, nanosSinceSend(now));
	}

	/**
	 * Returns the time since the latest send, or since requests began to wait.
	 * @param now the current time in nanoseconds
	 * @return the time in nanoseconds, 0 if none waits
	 */
	double nanosSinceSend(long now) {
		return (this.total > 0) ? now - this.paceStartNanos : 0;
	}

}
