package org.celeryhill.traffic;

/**
 * Requests of one organisation that wait for the engines of one model. Not thread-safe.
 */
final class OrganisationBacklog {

	/** Queue of the organisation. */
	final OrganisationQueue organisation;

	/** Waiting requests by ordinal of their class. */
	private final int[] waiting = new int[org.celeryhill.base.PriorityClass.values().length];

	/** Requests that have left, by ordinal of their class. */
	private final long[] left = new long[org.celeryhill.base.PriorityClass.values().length];

	/** Number of waiting requests of all classes. */
	private int total;

	/**
	 * Creates an empty backlog.
	 * @param organisation the queue of the organisation
	 */
	OrganisationBacklog(OrganisationQueue organisation) {
		this.organisation = organisation;
	}

	/**
	 * Counts a request that begins to wait.
	 * @param ordinal the ordinal of its class
	 */
	void add(int ordinal) {
		this.total++;
		this.waiting[ordinal]++;
	}

	/**
	 * Counts a request that no longer waits.
	 * @param ordinal the ordinal of its class
	 */
	void remove(int ordinal) {
		this.total--;
		this.waiting[ordinal]--;
		this.left[ordinal]++;
	}

	/**
	 * Returns whether no request waits.
	 * @return true if none waits
	 */
	boolean isEmpty() {
		return this.total == 0;
	}

	/**
	 * Returns the waiting requests that are served before a new one.
	 * @param ordinal the ordinal of the new request's class
	 * @return those of its class and of more urgent ones
	 */
	int countAhead(int ordinal) {
		int count = 0;
		for (int i = 0; i <= ordinal; i++) {
			count += this.waiting[i];
		}
		return count;
	}

	/**
	 * Returns how many requests of a class and of more urgent ones have left.
	 * @param ordinal the ordinal of the class
	 * @return the number since the first of them began to wait
	 */
	long countLeft(int ordinal) {
		long count = 0;
		for (int i = 0; i <= ordinal; i++) {
			count += this.left[i];
		}
		return count;
	}

}
