package org.celeryhill.traffic;

/**
 * How an attempt ended. Immutable and thread-safe.
 */
public enum AttemptOutcome {

	/** The complete response arrived. */
	COMPLETED,

	/** The backend server refused the request without running it. */
	REFUSED,

	/** No connection to the backend server could be made. */
	UNREACHABLE,

	/** The response ended before it was complete. */
	BROKEN,

	/** This daemon or the caller cancelled the attempt. */
	CANCELLED;

	/**
	 * Returns whether a backend server may have executed a request that was sent to it.
	 * @return false if it certainly has not
	 */
	public boolean mayHaveRun() {
		return this != REFUSED && this != UNREACHABLE;
	}

	/**
	 * Returns whether the outcome indicates a failure of the backend server.
	 * @return true if it counts towards marking the backend server as suspect
	 */
	public boolean isBackendFailure() {
		return this == UNREACHABLE || this == BROKEN;
	}

}
