package org.celeryhill.port;

import java.util.Objects;

import org.celeryhill.base.AttemptId;

/**
 * One event of a stream of generated text. The text is complete only if the stream ends
 * with {@link End}.
 */
public sealed interface GenerateEvent permits GenerateEvent.Token, GenerateEvent.End, GenerateEvent.Failed {

	/**
	 * Returns the attempt that the event belongs to. Receivers must discard an event of
	 * any attempt other than the one that they requested.
	 * @return the attempt, never null
	 */
	AttemptId attempt();

	/**
	 * One token.
	 *
	 * @param attempt the attempt, not null
	 * @param offset the position in the complete response, starting at 0
	 * @param text the text of the token, not null
	 */
	record Token(AttemptId attempt, int offset, String text) implements GenerateEvent {

		/** Creates a token event. */
		public Token {
			Objects.requireNonNull(attempt, "attempt");
			Objects.requireNonNull(text, "text");
		}

	}

	/**
	 * End of a complete stream.
	 *
	 * @param attempt the attempt, not null
	 * @param tokens the number of tokens of the complete response
	 * @param finishReason {@code stop} or {@code length}, not null
	 */
	record End(AttemptId attempt, int tokens, String finishReason) implements GenerateEvent {

		/** Creates an end event. */
		public End {
			Objects.requireNonNull(attempt, "attempt");
			Objects.requireNonNull(finishReason, "finishReason");
		}

	}

	/**
	 * Last event of a stream that was refused or interrupted.
	 *
	 * @param attempt the attempt, not null
	 * @param failure the kind of failure, not null
	 * @param detail a short text for logs, not null
	 */
	record Failed(AttemptId attempt, Failure failure, String detail) implements GenerateEvent {

		/** Creates a failure event. */
		public Failed {
			Objects.requireNonNull(attempt, "attempt");
			Objects.requireNonNull(failure, "failure");
			Objects.requireNonNull(detail, "detail");
		}

	}

	/** Reason for a stream to end without {@link End}. */
	enum Failure {

		/** No byte of the request reached the engine. */
		NOT_SENT,

		/** The engine refused the request before running any of it. */
		REFUSED,

		/** The engine does not know the stream that was to be resumed. */
		UNKNOWN_STREAM,

		/** The stream was interrupted; the engine may still be running it. */
		BROKEN;

		/**
		 * Returns whether the request certainly did not run.
		 * @return true if no part of it ran
		 */
		public boolean isNotRun() {
			return this == NOT_SENT || this == REFUSED;
		}

	}

}
