package org.celeryhill.entry;

/**
 * The generated text of one request, as received so far. After a restart, the repeated
 * text is not delivered again but compared with the text that was delivered before. Not
 * thread-safe.
 */
final class GeneratedText {

	/** Text from offset 0; only valid if {@link #isTextKnown}. */
	private final StringBuilder text = new StringBuilder();

	/** Number of tokens received since the start or the last restart. */
	private int offset;

	/** Hash of the text up to {@link #offset}. */
	private long hash = TextHash.EMPTY;

	/** Whether the text is known from offset 0, and not only its hash. */
	private boolean isTextKnown = true;

	/** Number of tokens delivered before the last restart, which are suppressed. */
	private int suppressedUntil;

	/** Hash of the text up to {@link #suppressedUntil}. */
	private long suppressedHash = TextHash.EMPTY;

	private GeneratedText() {
	}

	static GeneratedText empty() {
		return new GeneratedText();
	}

	/**
	 * Returns the state of a response whose stream is resumed, of which only the hash of
	 * the delivered text is known.
	 * @param position the position up to which the text was delivered, not null
	 * @return the state, never null
	 */
	static GeneratedText resumedAt(EventId position) {
		GeneratedText generatedText = new GeneratedText();
		generatedText.offset = position.offset();
		generatedText.hash = position.textHash();
		generatedText.isTextKnown = position.offset() == 0;
		return generatedText;
	}

	/**
	 * Adds the next token.
	 * @param tokenOffset the offset of the token
	 * @param token the text of the token, not null
	 * @return how to handle the token, never null
	 */
	TokenAction append(int tokenOffset, String token) {
		if (tokenOffset != this.offset) {
			return (tokenOffset < this.offset) ? TokenAction.DUPLICATE : TokenAction.GAP;
		}
		this.offset++;
		this.hash = TextHash.append(this.hash, token);
		if (this.isTextKnown) {
			this.text.append(token);
		}
		if (this.offset > this.suppressedUntil) {
			return TokenAction.DELIVER;
		}
		boolean differs = this.offset == this.suppressedUntil && this.hash != this.suppressedHash;
		return differs ? TokenAction.DIVERGED : TokenAction.SUPPRESS;
	}

	/** Restarts at offset 0; tokens that were delivered before are suppressed. */
	void restart() {
		if (this.offset > this.suppressedUntil) {
			this.suppressedUntil = this.offset;
			this.suppressedHash = this.hash;
		}
		this.offset = 0;
		this.hash = TextHash.EMPTY;
		this.text.setLength(0);
		this.isTextKnown = true;
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

	boolean isTextKnown() {
		return this.isTextKnown;
	}

	/**
	 * Returns whether the repeated text has not yet reached the end of the delivered
	 * text.
	 * @return true while tokens are suppressed
	 */
	boolean isReplaying() {
		return this.offset < this.suppressedUntil;
	}

	int deliveredTokens() {
		return Math.max(this.offset, this.suppressedUntil);
	}

	long deliveredHash() {
		return isReplaying() ? this.suppressedHash : this.hash;
	}

	/** How to handle a received token. */
	enum TokenAction {

		/** Send the token to the caller. */
		DELIVER,

		/** Do not send the token again; it was delivered before the restart. */
		SUPPRESS,

		/** Ignore the token; it was received before. */
		DUPLICATE,

		/** Tokens before this one are missing. */
		GAP,

		/** The repeated text differs from the delivered text. */
		DIVERGED

	}

}
