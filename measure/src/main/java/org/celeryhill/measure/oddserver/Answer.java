package org.celeryhill.measure.oddserver;

/**
 * What a caller got for a request.
 */
enum Answer {

	/** The whole response of a run of the request: a success or a failure of its own. */
	OWN(false),

	/** 502: the request may have run. */
	BAD_GATEWAY(false),

	/** 503: the request has not run. */
	NOT_RUN(false),

	/** 504: the request has not ended in time. */
	TIMEOUT(false),

	/** A stream that ended without its end marker. */
	BROKEN_STREAM(false),

	/** A success or failure that is not the whole response of a run of the request. */
	FOREIGN(true),

	/** A status that neither the host nor the servers may send. */
	UNKNOWN_STATUS(true),

	/** No complete answer of a request that is not for a stream. */
	MISSING(true);

	private final boolean isViolation;

	Answer(boolean isViolation) {
		this.isViolation = isViolation;
	}

	boolean isViolation() {
		return this.isViolation;
	}

}
