package org.celeryhill.soak;

/**
 * How a request ended for its caller.
 */
enum Outcome {

	/** Whole success. */
	SUCCESS,

	/** Whole failure of a server. */
	SERVER_FAILURE,

	/** Refused by the system as not run. */
	REFUSED,

	/** Failed by the system; may have run. */
	SYSTEM_FAILURE,

	/** The connection ended without a whole response. */
	CUT,

	/** No whole response within the deadline. */
	TIMED_OUT,

	/** The caller closed the connection before the response. */
	LEFT;

	static Outcome of(CallerResponse response) {
		if (response.isSuccess()) {
			return SUCCESS;
		}
		if (!response.signature().isEmpty()) {
			return SERVER_FAILURE;
		}
		return response.isRefusal() ? REFUSED : SYSTEM_FAILURE;
	}

}
