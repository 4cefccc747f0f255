package org.celeryhill.traffic;

/**
 * Budget that grows with a fraction of the work it protects, so that retries or hedges
 * never exceed that fraction by more than the burst. Not thread-safe.
 */
final class TokenBucket {

	/** Permits gained by one unit of work. */
	private final double fraction;

	/** Largest number of permits kept. */
	private final double burst;

	/** Permits left. */
	private double permits;

	/**
	 * Creates a full bucket.
	 * @param fraction the permits gained by one unit of work
	 * @param burst the largest number of permits kept
	 */
	TokenBucket(double fraction, double burst) {
		this.fraction = fraction;
		this.burst = burst;
		this.permits = burst;
	}

	/** Counts one unit of work. */
	void deposit() {
		this.permits = Math.min(this.burst, this.permits + this.fraction);
	}

	/**
	 * Takes one permit.
	 * @return whether a permit was left
	 */
	boolean take() {
		if (this.permits < 1) {
			return false;
		}
		this.permits -= 1;
		return true;
	}

	/**
	 * Returns the permits left.
	 * @return the permits
	 */
	double permits() {
		return this.permits;
	}

}
