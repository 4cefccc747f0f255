package org.celeryhill.traffic;

/**
 * Estimate of a figure that is reported at irregular times and changes all the time.
 * Dense reports are averaged over a short time. The older the latest report is, the
 * nearer the estimate is to the mean over a long time. Not thread-safe.
 */
final class DecayingEstimate {

	/** Time over which the mean is taken, in nanoseconds. */
	private static final double MEAN_NANOS = 10e9;

	/** Time over which reports are averaged, in nanoseconds. */
	private final double recentNanos;

	/** Mean over a long time. */
	private double mean;

	/** Average of the recent reports at the time of the latest one. */
	private double recent;

	/** Number of reports. */
	private long count;

	/** Time of the latest report, in nanoseconds. */
	private long reportedNanos;

	/**
	 * Creates an estimate without any report.
	 * @param initial the value expected before the first report
	 * @param recentNanos the time over which reports are averaged and after which the
	 * latest one has lost most of its weight, in nanoseconds, positive
	 */
	DecayingEstimate(double initial, double recentNanos) {
		this.mean = initial;
		this.recent = initial;
		this.recentNanos = recentNanos;
	}

	/**
	 * Adds a report.
	 * @param value the reported figure
	 * @param now the current time in nanoseconds
	 */
	void add(double value, long now) {
		double age = Math.max(0, now - this.reportedNanos);
		double recentWeight = (this.count > 0) ? 1 - Math.exp(-age / this.recentNanos) : 1;
		double firstWeight = 1.0 / (this.count + 2);
		double meanWeight = (this.count > 0) ? 1 - Math.exp(-age / MEAN_NANOS) : 0;
		this.recent += Math.max(recentWeight, firstWeight) * (value - this.recent);
		this.mean += Math.max(meanWeight, Math.min(firstWeight, recentWeight)) * (value - this.mean);
		this.count++;
		this.reportedNanos = now;
	}

	/**
	 * Returns the expected figure at a time.
	 * @param now the current time in nanoseconds
	 * @return the average of the recent reports, or the mean if they are old
	 */
	double at(long now) {
		return this.mean + (this.recent - this.mean) * (1 - staleness(now));
	}

	/**
	 * Returns how little the latest report still says about the figure.
	 * @param now the current time in nanoseconds
	 * @return 0 right after a report, near 1 long after it or without one
	 */
	double staleness(long now) {
		return (this.count > 0) ? 1 - Math.exp(-Math.max(0, now - this.reportedNanos) / this.recentNanos) : 1;
	}

	/**
	 * Returns the age of the latest report.
	 * @param now the current time in nanoseconds
	 * @return the age in nanoseconds, -1 without a report
	 */
	long ageNanos(long now) {
		return (this.count > 0) ? now - this.reportedNanos : -1;
	}

	/**
	 * Returns how uncertain the mean is because of few reports.
	 * @return 1 with one report or none, near 0 with many
	 */
	double meanUncertainty() {
		return 1.0 / Math.max(1, this.count);
	}

	/**
	 * Returns the mean over a long time.
	 * @return the mean, the initial value without a report
	 */
	double mean() {
		return this.mean;
	}

}
