package org.celeryhill.forward;

/**
 * Counts what happens to requests. Called on the event loop.
 */
public interface ForwardMetrics {

	/**
	 * Counts a request that ends without being offered to a backend server.
	 * @param reason the reason in one word, not null
	 */
	void refused(String reason);

	/**
	 * Counts a send to a backend server.
	 * @param isFirst whether it is the first of its request
	 */
	void recordSend(boolean isFirst);

	/**
	 * Counts the end of a request.
	 * @param status the status of its answer, zero if it was broken off
	 * @param seconds the time since its head arrived
	 */
	void recordEnd(int status, double seconds);

	/**
	 * Records the time to the first event of a stream.
	 * @param seconds the time since the head of the request arrived
	 */
	void recordFirstEvent(double seconds);

}
