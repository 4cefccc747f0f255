package org.celeryhill.port;

import java.util.Objects;

import org.celeryhill.base.AttemptId;

/**
 * One event of a stream of generated text. An answer is whole only with {@link End}.
 */
public sealed interface GenerateEvent permits GenerateEvent.Token, GenerateEvent.End, GenerateEvent.Failed {

	/**
	 * Returns the attempt that the event belongs to. An event of another attempt than the
	 * one that was asked is to be dropped.
	 * @return the attempt, never null
	 */
	AttemptId attempt();

	/**
	 * One token.
	 *
	 * @param attempt the attempt, not null
	 * @param offset the position in the complete answer, starting at 0
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
	 * The end marker.
	 *
	 * @param attempt the attempt, not null
	 * @param tokens the number of tokens of the complete answer
	 * @param finishReason {@code stop} or {@code length}, not null
	 */
	record End(AttemptId attempt, int tokens, String finishReason) implements GenerateEvent {

		/** Creates an end marker. */
		public End {
			Objects.requireNonNull(attempt, "attempt");
			Objects.requireNonNull(finishReason, "finishReason");
		}

	}

	/**
	 * The stream broke or was refused; nothing follows.
	 *
	 * @param attempt the attempt, not null
	 * @param failure why, not null
	 * @param detail a short text for logs, not null
	 */
	record Failed(AttemptId attempt, Failure failure, String detail) implements GenerateEvent {

		/** Creates a failure. */
		public Failed {
			Objects.requireNonNull(attempt, "attempt");
			Objects.requireNonNull(failure, "failure");
			Objects.requireNonNull(detail, "detail");
		}

	}

	/** Why a stream ended without an end marker. */
	enum Failure {

		/** No byte of the request reached the engine. */
		NOT_SENT,

		/** The engine refused the request before running any of it. */
		REFUSED,

		/** The engine does not know the stream that was to be resumed. */
		UNKNOWN_STREAM,

		/** The stream broke; the engine may still be running it. */
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
