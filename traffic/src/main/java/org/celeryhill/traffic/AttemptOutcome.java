package org.celeryhill.traffic;

/**
 * How an attempt ended. Immutable and thread-safe.
 */
public enum AttemptOutcome {

	/** The complete answer arrived. */
	COMPLETED,

	/** The backend server refused before running it. */
	REFUSED,

	/** The backend server was not reached. */
	UNREACHABLE,

	/** The answer broke off. */
	BROKEN,

	/** The attempt was cancelled by this daemon or its caller. */
	CANCELLED;

	/**
	 * Returns whether the outcome speaks against the backend server.
	 * @return true if the backend server becomes suspect
	 */
	public boolean isBackendFailure() {
		return this == UNREACHABLE || this == BROKEN;
	}

}
