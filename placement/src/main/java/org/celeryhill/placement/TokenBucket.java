package org.celeryhill.placement;

/**
 * Token bucket whose clock is the time that the caller passes in. Not thread-safe.
 */
final class TokenBucket {

	/** Nanoseconds in a second. */
	private static final double NANOS_PER_SECOND = 1e9;

	/** Available tokens, at most the capacity of the last refill. */
	private double tokens;

	/** Monotonic time of the last refill, in nanoseconds. */
	private long lastNanos;

	/** Whether the bucket has been refilled at least once. */
	private boolean isInitialised;

	/**
	 * Creates a bucket.
	 * @param initialTokens the tokens that are available at the first refill
	 */
	TokenBucket(double initialTokens) {
		this.tokens = initialTokens;
	}

	/**
	 * Adds the tokens for the time since the last refill.
	 * @param ratePerSecond the tokens added per second
	 * @param capacity the maximum number of tokens kept
	 * @param nowNanos the monotonic time in nanoseconds; a time before the last refill
	 * adds nothing
	 */
	void refill(double ratePerSecond, double capacity, long nowNanos) {
		if (this.isInitialised) {
			double seconds = Math.max(0, nowNanos - this.lastNanos) / NANOS_PER_SECOND;
			this.tokens += seconds * ratePerSecond;
		}
		this.tokens = Math.min(capacity, this.tokens);
		this.lastNanos = nowNanos;
		this.isInitialised = true;
	}

	/**
	 * Returns whether a whole token is available.
	 * @return true if {@link #consume()} may be called
	 */
	boolean isAvailable() {
		// The tolerance absorbs rounding errors of many small refills.
		return this.tokens >= 1 - 1e-9;
	}

	/** Removes one token. */
	void consume() {
		this.tokens -= 1;
	}

}
