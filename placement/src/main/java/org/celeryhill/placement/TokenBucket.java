package org.celeryhill.placement;

/**
 * Token bucket that is filled by the time values the caller passes in. Not thread-safe.
 */
final class TokenBucket {

	/** Nanoseconds in a second. */
	private static final double NANOS = 1e9;

	/** Tokens available now; at most the capacity. */
	private double tokens;

	/** Monotonic time of the last refill, in nanoseconds. */
	private long lastNanos;

	/** Whether the bucket has been refilled at least once. */
	private boolean isStarted;

	/**
	 * Creates a bucket.
	 * @param initial the tokens at the first refill
	 */
	TokenBucket(double initial) {
		this.tokens = initial;
	}

	/**
	 * Adds the tokens of the time since the last refill.
	 * @param ratePerSecond the tokens added per second
	 * @param capacity the most tokens kept
	 * @param nowNanos the monotonic time in nanoseconds; an earlier time than the last
	 * adds nothing
	 */
	void refill(double ratePerSecond, double capacity, long nowNanos) {
		if (this.isStarted) {
			double seconds = Math.max(0, nowNanos - this.lastNanos) / NANOS;
			this.tokens += seconds * ratePerSecond;
		}
		this.tokens = Math.min(capacity, this.tokens);
		this.lastNanos = nowNanos;
		this.isStarted = true;
	}

	/**
	 * Returns whether a whole token is available.
	 * @return true if {@link #take()} may be called
	 */
	boolean isAvailable() {
		// The tolerance absorbs rounding when tokens are added in many small steps.
		return this.tokens >= 1 - 1e-9;
	}

	/** Takes one token. */
	void take() {
		this.tokens -= 1;
	}

}
