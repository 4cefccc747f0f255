package org.celeryhill.entry;

/**
 * Receives the response of a generation. Methods are called one at a time, under the lock
 * of the relay, and must not block. No method is called after {@link #complete},
 * {@link #fail} or {@link #handOver}.
 */
interface ResponseSink {

	/**
	 * Receives the next token.
	 * @param position the position after the token, not null
	 * @param text the text of the token, not null
	 */
	void token(EventId position, String text);

	/**
	 * Completes the response.
	 * @param position the position after the last token, not null
	 * @param finishReason why generation ended, not null
	 */
	void complete(EventId position, String finishReason);

	/**
	 * Ends the response with an error.
	 * @param error the error to report, not null
	 */
	void fail(ApiError error);

	/**
	 * Ends this connection while the engine continues the stream, and asks the caller to
	 * resume through another daemon.
	 * @param position the position to resume from, not null
	 */
	void handOver(EventId position);

	/**
	 * Returns whether the caller can resume the response.
	 * @return true for a streamed response
	 */
	boolean isResumable();

}
