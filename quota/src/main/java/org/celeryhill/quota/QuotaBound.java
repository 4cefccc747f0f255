package org.celeryhill.quota;

import java.time.Duration;
import java.util.Objects;

/**
 * Tolerance of a quota. In any window of the given duration all hosts together may admit
 * {@code (rate * window + burst) * (1 + overage) + slack} units of an organisation.
 * Immutable and thread-safe.
 *
 * @param window the duration of the window, not null, not negative
 * @param overage the tolerated excess as a fraction, not negative
 * @param slack the tolerated excess in units of the limit, not negative
 */
public record QuotaBound(Duration window, double overage, double slack) {

	/** A bound without any tolerance. */
	public static final QuotaBound EXACT = new QuotaBound(Duration.ZERO, 0, 0);

	/**
	 * Part of the tolerance that is given to callers. The rest covers what a holder
	 * learns late: two holders for a moment and hosts that have just become silent.
	 */
	private static final double USED_PART = 0.8;

	/**
	 * Creates a bound.
	 * @throws IllegalArgumentException if a value is negative or not finite
	 */
	public QuotaBound {
		Objects.requireNonNull(window, "window");
		if (window.isNegative() || !isTolerance(overage) || !isTolerance(slack)) {
			throw new IllegalArgumentException("window, overage and slack must not be negative");
		}
	}

	private static boolean isTolerance(double value) {
		return value >= 0 && !Double.isInfinite(value);
	}

	/**
	 * Returns the largest number of units that may be available at once. If available
	 * units never exceed it and grow with the rate of the limit, every window keeps the
	 * bound.
	 * @param limit the limit, not null
	 * @return the units, at least the burst of the limit
	 */
	double capacity(QuotaLimit limit) {
		return limit.burst() + USED_PART * (windowLimit(limit) - unitsPerWindow(limit));
	}

	/**
	 * Returns the units that may be admitted in a window.
	 * @param limit the limit, not null
	 * @return the units
	 */
	double windowLimit(QuotaLimit limit) {
		return unitsPerWindow(limit) * (1 + this.overage) + this.slack;
	}

	private double unitsPerWindow(QuotaLimit limit) {
		return limit.ratePerSecond() * this.window.toNanos() / 1e9 + limit.burst();
	}

}
