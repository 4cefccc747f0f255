package org.celeryhill.http;

/**
 * Names and values of the HTTP headers that the clients and servers share.
 */
public final class HttpHeaderNames {

	/** What is known about whether a request ran: not_run, unknown or ran. */
	public static final String EXECUTION = "X-Execution";

	/** Attempt that a request belongs to, repeated in the answer. */
	public static final String ATTEMPT = "X-Attempt-Id";

	/** Value of {@link #EXECUTION} for a request that did not run. */
	public static final String NOT_RUN = "not_run";

	private HttpHeaderNames() {
	}

	/**
	 * Returns whether an answer says that the request was refused before it ran. Only
	 * status 429 and 503 can say so, so that an error page of another component that
	 * happens to carry the header is not taken for a refusal.
	 * @param status the HTTP status
	 * @param execution the value of {@link #EXECUTION}, null if absent
	 * @return true if the request did not run
	 */
	public static boolean isNotRun(int status, String execution) {
		return (status == 429 || status == 503) && NOT_RUN.equals(execution);
	}

}
