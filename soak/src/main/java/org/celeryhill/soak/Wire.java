package org.celeryhill.soak;

/**
 * Names of headers and paths that callers and backend servers of the platform use, as the
 * stand-ins of the soak write and read them.
 */
final class Wire {

	static final String ATTEMPT_ID = "X-Attempt-Id";

	static final String DEADLINE_MS = "X-Deadline-Ms";

	static final String SIGNATURE = "X-Response-Signature";

	static final String EXPECT_INSTANCE = "X-Expect-Instance";

	static final String INSTANCE_ID = "X-Instance-Id";

	static final String NOT_EXECUTED = "X-Not-Executed";

	/** Number of running requests, waiting requests and slots, comma-separated. */
	static final String SERVER_LOAD = "X-Server-Load";

	static final String MODEL = "X-Model";

	/** Number of prompt tokens and maximum number of output tokens, comma-separated. */
	static final String TOKEN_COUNTS = "X-Token-Counts";

	static final String PROMPT_PREFIX = "X-Prompt-Prefix";

	static final String LAST_EVENT_ID = "Last-Event-Id";

	static final String REPORT_PATH = "/-/report";

	static final String ORDER_PATH = "/-/order";

	static final String READY_PATH = "/-/ready";

	static final String HEALTH_PATH = "/health";

	private Wire() {
	}

}
