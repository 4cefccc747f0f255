package org.celeryhill.measure.oddserver;

/**
 * What a backend server makes of a request.
 */
enum Outcome {

	/** Runs it and answers with a success. */
	SUCCESS(200),

	/** Runs it and answers with a failure of its own. */
	FAILURE(500),

	/** Refuses it without running it. */
	REFUSAL(503),

	/** Runs it and resets the connection instead of an answer. */
	RESET(0);

	/** Status of the answer, 0 for none. */
	final int status;

	Outcome(int status) {
		this.status = status;
	}

	boolean isExecuted() {
		return this != REFUSAL;
	}

}
