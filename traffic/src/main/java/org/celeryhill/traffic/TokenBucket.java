package org.celeryhill.traffic;

/**
 * Token bucket that limits retries or hedges to a fraction of the regular sends. Each
 * regular send adds a fraction of a permit; a burst may exceed the fraction by the
 * capacity of the bucket. Not thread-safe.
 */
final class TokenBucket {

	/** Permits added per regular send. */
	private final double permitsPerSend;

	/** Largest number of permits kept. */
	private double burst;

	/** Available permits. */
	private double permits;

	/**
	 * Creates a full bucket.
	 * @param permitsPerSend the permits added per regular send
	 * @param burst the largest number of permits kept
	 */
	TokenBucket(double permitsPerSend, double burst) {
		this.permitsPerSend = permitsPerSend;
		this.burst = burst;
		this.permits = burst;
	}

	/**
	 * Changes the largest number of permits kept. Permits beyond it are lost.
	 * @param limit the number
	 */
	void setBurst(double limit) {
		this.burst = limit;
		this.permits = Math.min(this.permits, limit);
	}

	/** Adds the permits for one regular send. */
	void deposit() {
		this.permits = Math.min(this.burst, this.permits + this.permitsPerSend);
	}

	/**
	 * Takes one permit if available.
	 * @return true if a permit was taken
	 */
	boolean tryAcquire() {
		if (this.permits < 1) {
			return false;
		}
		this.permits -= 1;
		return true;
	}

	/**
	 * Returns the available permits.
	 * @return the permits, possibly with a fraction
	 */
	double permits() {
		return this.permits;
	}

}
