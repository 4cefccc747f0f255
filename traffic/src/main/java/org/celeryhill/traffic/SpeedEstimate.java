package org.celeryhill.traffic;

/**
 * Observed times of requests relative to the expected ones, as a moving average of
 * logarithms. A single very long or short time moves it by a bounded step. Not
 * thread-safe.
 */
final class SpeedEstimate {

	/** Weight of a new observation when there are many. */
	private static final double LEARNING_RATE = 0.05;

	/** Observations after which a new one counts no more than this. */
	private static final int SETTLED_COUNT = 4;

	/** Largest distance of an observation that is believed, as a logarithm. */
	private static final double MAX_STEP = 1;

	/** Observations that give the measured speed of a server half of its weight. */
	private static final double PRIOR_COUNT = 8;

	/** Largest factor between the speed of a server and that of its service. */
	private static final double MAX_FACTOR_LOG = Math.log(4);

	/** Time after which an observation has lost most of its weight, in nanoseconds. */
	private static final double MEMORY_NANOS = 60e9;

	/** Average of the logarithms. */
	private double logarithm;

	/** Number of observations. */
	private int count;

	/** Time of the latest observation, in nanoseconds. */
	private long observedNanos;

	/**
	 * Adds an observation.
	 * @param ratio the observed time divided by the expected one; ignored unless positive
	 * @param now the current time in nanoseconds
	 */
	void add(double ratio, long now) {
		if (!(ratio > 0) || Double.isInfinite(ratio)) {
			return;
		}
		double step = Math.log(ratio) - this.logarithm;
		if (this.count >= SETTLED_COUNT) {
			step = Math.max(-MAX_STEP, Math.min(MAX_STEP, step));
		}
		this.count++;
		this.logarithm += Math.max(LEARNING_RATE, 1.0 / this.count) * step;
		this.observedNanos = now;
	}

	/**
	 * Returns the observed ratio.
	 * @param initial the ratio expected without observations
	 * @return the ratio
	 */
	double ratio(double initial) {
		return (this.count > 0) ? Math.exp(this.logarithm) : initial;
	}

	/**
	 * Returns how much longer requests take on this server than on average. Few or old
	 * observations count little.
	 * @param service the observations on all servers of the service
	 * @param now the current time in nanoseconds
	 * @return the factor, above 1 for a slow server
	 */
	double factor(SpeedEstimate service, long now) {
		if (this.count == 0) {
			return 1;
		}
		double weight = this.count / (this.count + PRIOR_COUNT)
				* Math.exp(-Math.max(0, now - this.observedNanos) / MEMORY_NANOS);
		double difference = this.logarithm - service.logarithm;
		return Math.exp(weight * Math.max(-MAX_FACTOR_LOG, Math.min(MAX_FACTOR_LOG, difference)));
	}

}
