package org.celeryhill.traffic;

/**
 * Limit of the KV tokens in use on one engine. It grows additively while the engine is
 * used near the limit and the time between tokens stays well within the target, and
 * shrinks by a factor when it does not. Not thread-safe.
 */
final class ConcurrencyLimit {

	/** Length of one observation window, in nanoseconds. */
	private static final long WINDOW = 250_000_000L;

	/** Samples without which a window is extended. */
	private static final int MIN_SAMPLES = 4;

	/** Part of the target above which the limit shrinks. */
	private static final double HIGH = 0.92;

	/** Part of the target below which the limit may grow. */
	private static final double LOW = 0.82;

	/** Factor of a decrease. */
	private static final double DECREASE = 0.93;

	/** Part of the KV cache added by an increase. */
	private static final double INCREASE = 0.02;

	/** Part of the KV cache in use at the start. */
	private static final double INITIAL = 0.6;

	/** Least part of the KV cache in use. */
	private static final double LEAST = 0.05;

	/** Largest part of the KV cache in use; the rest absorbs wrong estimates. */
	private static final double MOST = 0.92;

	/** Limit as a part of the KV cache. */
	private double part = INITIAL;

	/** Sum of the samples of the window, each relative to the target. */
	private double sum;

	/** Samples of the window. */
	private int samples;

	/** Start of the window, in nanoseconds. */
	private long start;

	/**
	 * Adds an observation.
	 * @param ratio the time between tokens relative to the target
	 * @param load the KV tokens in use relative to the limit
	 * @param now the time in nanoseconds
	 */
	void observe(double ratio, double load, long now) {
		this.sum += ratio;
		this.samples++;
		if (now - this.start >= WINDOW && this.samples >= MIN_SAMPLES) {
			adapt(load);
			reset(now);
		}
	}

	/**
	 * Takes note that requests wait in the engine, so its batch is full.
	 * @param usedPart the part of the KV cache in use
	 */
	void saturated(double usedPart) {
		this.part = Math.max(LEAST, Math.min(this.part, usedPart));
	}

	private void adapt(double load) {
		double mean = this.sum / this.samples;
		if (mean > HIGH) {
			this.part = Math.max(LEAST, this.part * DECREASE);
		}
		else if (mean < LOW && load > 0.8) {
			this.part = Math.min(MOST, this.part + INCREASE);
		}
	}

	private void reset(long now) {
		this.sum = 0;
		this.samples = 0;
		this.start = now;
	}

	/**
	 * Returns the limit.
	 * @return the part of the KV cache that may be in use, between 0 and 1
	 */
	double part() {
		return this.part;
	}

}
