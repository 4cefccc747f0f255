package org.celeryhill.soak;

/**
 * Promise of the system that the soak checks.
 */
enum Promise {

	/** A response is the whole, unchanged response of a run of that very request. */
	MIXED,

	/** A request that may not be repeated runs once at most. */
	TWICE,

	/** A request that is refused as not run never runs. */
	REFUSED,

	/** What runs was sent by a caller with the same method, target and body. */
	UNASKED,

	/**
	 * A request that was passed on to a sound server is not cut off without an answer.
	 */
	LOST,

	/** Streams have no gap, no repeated event and no early end that looks complete. */
	ORDER,

	/** Proper requests are not rejected as wrong. */
	DENIED,

	/** No process ends by itself. */
	ENDED,

	/** The memory of each process stays bounded. */
	MEMORY,

	/** Each process serves again after the last fault. */
	RECOVER

}
