package org.celeryhill.traffic;

/**
 * Adaptive limit of the prompt tokens that wait at one engine for their first token. The
 * remaining requests wait in this daemon, where they can still be reordered, sent to
 * another engine or refused. The limit follows the observed waits for the first token: it
 * decreases multiplicatively while they exceed the target and increases additively while
 * they are short. Not thread-safe.
 */
final class PrefillQueueLimit {

	/** Initial limit. */
	private static final double INITIAL_TOKENS = 5000;

	/** Lowest limit. */
	private static final double MIN_TOKENS = 500;

	/** Highest limit. */
	private static final double MAX_TOKENS = 40_000;

	/** Increase per short wait. */
	private static final double INCREASE_TOKENS = 400;

	/** Factor of a decrease. */
	private static final double DECREASE_FACTOR = 0.8;

	/** Fraction of the target below which a wait lets the limit increase. */
	private static final double SHORT_WAIT_FRACTION = 0.5;

	/**
	 * Shortest time between two decreases, in nanoseconds. The long waits of prompts that
	 * were queued together count once.
	 */
	private static final long MIN_DECREASE_INTERVAL_NANOS = 150_000_000L;

	/** Longest wait that does not decrease the limit, in nanoseconds, 0 for no limit. */
	private final long target;

	/** Current limit. */
	private double tokens = INITIAL_TOKENS;

	/** Time of the last decrease, in nanoseconds. */
	private long lastDecreaseNanos = Long.MIN_VALUE / 2;

	/**
	 * Creates a limit.
	 * @param target the target for the wait for the first token, in nanoseconds, 0 for no
	 * limit
	 */
	PrefillQueueLimit(long target) {
		this.target = target;
	}

	/**
	 * Returns whether another prompt may wait. One prompt may always wait, because
	 * without any observed wait the limit could never increase again.
	 * @param waiting the number of prompts that wait already
	 * @param waitingTokens the tokens of these prompts
	 * @param prompt the tokens of the new prompt
	 * @return true if the prompt may be sent
	 */
	boolean allows(int waiting, long waitingTokens, int prompt) {
		return this.target == 0 || waiting == 0 || waitingTokens + prompt <= this.tokens;
	}

	/**
	 * Adapts the limit to an observed wait.
	 * @param waitNanos the time from a send to the first token, in nanoseconds
	 * @param now the current time in nanoseconds
	 */
	void recordWait(long waitNanos, long now) {
		if (waitNanos > this.target && now - this.lastDecreaseNanos >= MIN_DECREASE_INTERVAL_NANOS) {
			this.tokens = Math.max(MIN_TOKENS, this.tokens * DECREASE_FACTOR);
			this.lastDecreaseNanos = now;
		}
		else if (waitNanos < SHORT_WAIT_FRACTION * this.target) {
			this.tokens = Math.min(MAX_TOKENS, this.tokens + INCREASE_TOKENS);
		}
	}

	/**
	 * Returns the current limit.
	 * @return the prompt tokens that may wait
	 */
	double tokens() {
		return this.tokens;
	}

}
