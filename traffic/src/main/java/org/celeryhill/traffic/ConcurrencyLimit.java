package org.celeryhill.traffic;

/**
 * Adaptive limit of the KV tokens in use on one engine. The limit increases additively
 * while the engine is used near the limit and the time between tokens stays well below
 * the target, and decreases multiplicatively when the time between tokens approaches the
 * target. Not thread-safe.
 */
final class ConcurrencyLimit {

	/** Shortest length of an observation window, in nanoseconds. */
	private static final long MIN_WINDOW_NANOS = 250_000_000L;

	/** Samples that a window needs before it ends. */
	private static final int MIN_SAMPLES = 4;

	/** Time between tokens, relative to the target, above which the limit decreases. */
	private static final double DECREASE_THRESHOLD = 0.92;

	/**
	 * Time between tokens, relative to the target, below which the limit may increase.
	 */
	private static final double INCREASE_THRESHOLD = 0.82;

	/** Factor of a decrease. */
	private static final double DECREASE_FACTOR = 0.93;

	/** Increase as a fraction of the KV cache. */
	private static final double INCREASE_STEP = 0.02;

	/** Initial limit as a fraction of the KV cache. */
	private static final double INITIAL_FRACTION = 0.6;

	/** Lowest limit as a fraction of the KV cache. */
	private static final double MIN_FRACTION = 0.05;

	/** Highest limit as a fraction of the KV cache; the rest absorbs wrong estimates. */
	private static final double MAX_FRACTION = 0.92;

	/** Current limit as a fraction of the KV cache. */
	private double fraction = INITIAL_FRACTION;

	/** Sum of the samples in the window, each relative to the target. */
	private double ratioSum;

	/** Number of samples in the window. */
	private int sampleCount;

	/** Start of the window, in nanoseconds. */
	private long windowStartNanos;

	/**
	 * Adds a sample and adapts the limit at the end of a window.
	 * @param ratio the time between tokens relative to the target
	 * @param load the KV tokens in use relative to the limit
	 * @param now the current time in nanoseconds
	 */
	void addSample(double ratio, double load, long now) {
		this.ratioSum += ratio;
		this.sampleCount++;
		if (now - this.windowStartNanos >= MIN_WINDOW_NANOS && this.sampleCount >= MIN_SAMPLES) {
			adapt(load);
			startWindow(now);
		}
	}

	/**
	 * Lowers the limit to the KV tokens in use because requests queue in the engine,
	 * which means that its batch is full.
	 * @param usedFraction the fraction of the KV cache in use
	 */
	void lowerTo(double usedFraction) {
		this.fraction = Math.max(MIN_FRACTION, Math.min(this.fraction, usedFraction));
	}

	private void adapt(double load) {
		double mean = this.ratioSum / this.sampleCount;
		if (mean > DECREASE_THRESHOLD) {
			this.fraction = Math.max(MIN_FRACTION, this.fraction * DECREASE_FACTOR);
		}
		else if (mean < INCREASE_THRESHOLD && load > 0.8) {
			this.fraction = Math.min(MAX_FRACTION, this.fraction + INCREASE_STEP);
		}
	}

	private void startWindow(long now) {
		this.ratioSum = 0;
		this.sampleCount = 0;
		this.windowStartNanos = now;
	}

	/**
	 * Returns the current limit.
	 * @return the fraction of the KV cache that may be in use, between 0 and 1
	 */
	double fraction() {
		return this.fraction;
	}

}
