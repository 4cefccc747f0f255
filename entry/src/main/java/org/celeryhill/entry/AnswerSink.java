package org.celeryhill.entry;

/**
 * Where the answer of a generation goes. Calls come one after the other, under the lock
 * of the relay; implementations do not block. Nothing is called after {@link #end},
 * {@link #fail} or {@link #handOver}.
 */
interface AnswerSink {

	/**
	 * Takes the next token.
	 * @param position the position after the token, not null
	 * @param text the text of the token, not null
	 */
	void token(EventId position, String text);

	/**
	 * Ends the answer; it is whole.
	 * @param position the position after the last token, not null
	 * @param finishReason why generation ended, not null
	 */
	void end(EventId position, String finishReason);

	/**
	 * Ends the answer with an error.
	 * @param error the error, not null
	 */
	void fail(ApiError error);

	/**
	 * Ends this connection while the stream goes on; the caller resumes elsewhere.
	 * @param position the position to resume from, not null
	 */
	void handOver(EventId position);

	/**
	 * Returns whether the caller can resume the answer.
	 * @return true for a streamed answer
	 */
	boolean isResumable();

}
