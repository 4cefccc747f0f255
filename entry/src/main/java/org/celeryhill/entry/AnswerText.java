package org.celeryhill.entry;

/**
 * The answer of one request as received so far. A repeated generation is compared with
 * what was delivered before and stays hidden up to that position. Not thread-safe.
 */
final class AnswerText {

	/** Text from offset 0, only complete if {@link #isKnown}. */
	private final StringBuilder text = new StringBuilder();

	/** Tokens received. */
	private int offset;

	/** Hash of the text received. */
	private long hash = TextHash.EMPTY;

	/** Whether the text from offset 0 is known. */
	private boolean isKnown = true;

	/** Tokens that were delivered before and are not delivered again. */
	private int hiddenUntil;

	/** Hash of the text up to {@link #hiddenUntil}. */
	private long hiddenHash = TextHash.EMPTY;

	private AnswerText() {
	}

	static AnswerText empty() {
		return new AnswerText();
	}

	/**
	 * Returns the state of an answer that was delivered up to a position by another
	 * daemon.
	 * @param position the position, not null
	 * @return the state, never null
	 */
	static AnswerText resumedAt(EventId position) {
		AnswerText answer = new AnswerText();
		answer.offset = position.offset();
		answer.hash = position.textHash();
		answer.isKnown = position.offset() == 0;
		return answer;
	}

	/**
	 * Takes the next token.
	 * @param tokenOffset the offset of the token
	 * @param token the text, not null
	 * @return what to do with it, never null
	 */
	Step append(int tokenOffset, String token) {
		if (tokenOffset != this.offset) {
			return (tokenOffset < this.offset) ? Step.REPEATED : Step.GAP;
		}
		this.offset++;
		this.hash = TextHash.append(this.hash, token);
		if (this.isKnown) {
			this.text.append(token);
		}
		if (this.offset > this.hiddenUntil) {
			return Step.DELIVER;
		}
		boolean differs = this.offset == this.hiddenUntil && this.hash != this.hiddenHash;
		return differs ? Step.DIVERGED : Step.HIDDEN;
	}

	/** Starts again from offset 0; what was delivered stays hidden. */
	void restart() {
		if (this.offset > this.hiddenUntil) {
			this.hiddenUntil = this.offset;
			this.hiddenHash = this.hash;
		}
		this.offset = 0;
		this.hash = TextHash.EMPTY;
		this.text.setLength(0);
		this.isKnown = true;
	}

	String text() {
		return this.text.toString();
	}

	int offset() {
		return this.offset;
	}

	long hash() {
		return this.hash;
	}

	boolean isKnown() {
		return this.isKnown;
	}

	/**
	 * Returns whether the answer has not yet reached what was delivered before.
	 * @return true while tokens are hidden
	 */
	boolean isBehind() {
		return this.offset < this.hiddenUntil;
	}

	int deliveredTokens() {
		return Math.max(this.offset, this.hiddenUntil);
	}

	long deliveredHash() {
		return isBehind() ? this.hiddenHash : this.hash;
	}

	/** What to do with a token. */
	enum Step {

		/** Send it to the caller. */
		DELIVER,

		/** It was delivered before. */
		HIDDEN,

		/** It is a duplicate. */
		REPEATED,

		/** Tokens before it are missing. */
		GAP,

		/** The repeated answer differs from the delivered one. */
		DIVERGED

	}

}
