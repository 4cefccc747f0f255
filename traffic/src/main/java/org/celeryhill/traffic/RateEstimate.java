package org.celeryhill.traffic;

/**
 * Exponentially weighted moving average of an amount per second. Not thread-safe.
 */
final class RateEstimate {

	/** Time constant of the average, in seconds. */
	private static final double TIME_CONSTANT_SECONDS = 3;

	/** Rate at the time of the last addition, per second. */
	private double rate;

	/** Time of the last addition, in nanoseconds. */
	private long updatedNanos;

	/**
	 * Adds an amount.
	 * @param amount the amount, zero or more
	 * @param now the current time in nanoseconds
	 */
	void add(double amount, long now) {
		this.rate = perSecond(now) + amount / TIME_CONSTANT_SECONDS;
		this.updatedNanos = now;
	}

	/**
	 * Returns the rate, which decays exponentially since the last addition.
	 * @param now the current time in nanoseconds
	 * @return the amount per second
	 */
	double perSecond(long now) {
		double seconds = (now - this.updatedNanos) / 1e9;
		return (seconds <= 0) ? this.rate : this.rate * Math.exp(-seconds / TIME_CONSTANT_SECONDS);
	}

}
