package org.celeryhill.traffic;

/**
 * Limits the prompt tokens that wait at one engine for their first token, so that the
 * rest waits where it can still be ordered, moved or refused. The limit follows the waits
 * that the engine shows: it shrinks by a factor while they are long and grows by steps
 * while they are short.
 */
final class FirstTokenLimit {

	private static final double INITIAL_TOKENS = 5000;

	private static final double LEAST_TOKENS = 500;

	private static final double MOST_TOKENS = 40_000;

	private static final double STEP_TOKENS = 400;

	private static final double DECREASE = 0.8;

	/** Waits below this part of the target let the limit grow. */
	private static final double SHORT_PART = 0.5;

	private static final long DECREASE_PERIOD = 150_000_000L;

	private final long target;

	private double tokens = INITIAL_TOKENS;

	private long decreased = Long.MIN_VALUE / 2;

	/**
	 * Creates a limit.
	 * @param target the longest wait that is wanted in nanoseconds, 0 for no limit
	 */
	FirstTokenLimit(long target) {
		this.target = target;
	}

	// One request may always wait, as else the limit could never grow again.
	boolean allows(int waiting, long waitingTokens, int prompt) {
		return this.target == 0 || waiting == 0 || waitingTokens + prompt <= this.tokens;
	}

	void observe(long wait, long now) {
		if (wait > this.target && now - this.decreased >= DECREASE_PERIOD) {
			this.tokens = Math.max(LEAST_TOKENS, this.tokens * DECREASE);
			this.decreased = now;
		}
		else if (wait < SHORT_PART * this.target) {
			this.tokens = Math.min(MOST_TOKENS, this.tokens + STEP_TOKENS);
		}
	}

	double tokens() {
		return this.tokens;
	}

}
