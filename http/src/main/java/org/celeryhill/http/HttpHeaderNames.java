package org.celeryhill.http;

/**
 * Names and values of HTTP headers that both clients and servers use.
 */
public final class HttpHeaderNames {

	/**
	 * Response header that states whether the request ran: {@code not_run},
	 * {@code unknown} or {@code ran}.
	 */
	public static final String EXECUTION = "X-Execution";

	/** Request header with the attempt id, which the server copies to the response. */
	public static final String ATTEMPT = "X-Attempt-Id";

	/** Value of {@link #EXECUTION} for a request that did not run. */
	public static final String NOT_RUN = "not_run";

	private HttpHeaderNames() {
	}

	/**
	 * Returns whether a response states that the request was refused before it ran. Only
	 * status 429 and 503 count, so that an error response of another component that
	 * happens to contain the header is not treated as a refusal.
	 * @param status the HTTP status
	 * @param execution the value of the header {@link #EXECUTION}, null if absent
	 * @return true if the request did not run
	 */
	public static boolean isNotRun(int status, String execution) {
		return (status == 429 || status == 503) && NOT_RUN.equals(execution);
	}

}
