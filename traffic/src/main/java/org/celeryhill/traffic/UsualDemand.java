package org.celeryhill.traffic;

/**
 * Usual engine time that an organisation asks for, as a slow moving average. What goes
 * beyond a multiple of the usual counts as a surge and raises the average only slowly, so
 * that a caller which sends many times its usual, or repeats refused requests, gains no
 * weight by it. Not thread-safe.
 */
final class UsualDemand {

	/** Length of one period, in nanoseconds. */
	private static final long PERIOD_NANOS = 1_000_000_000L;

	/** Weight of a period in the average, which spans about half a minute. */
	private static final double LEARNING_RATE = 1.0 / 30;

	/**
	 * Periods from the first request on in which the average follows the demand at once.
	 */
	private static final int FIRST_PERIODS = 5;

	/** Demand of one period, relative to the usual, that counts at most. */
	private static final double MAX_SURGE = 1.5;

	/** Growth per period that always counts, so that an idle organisation can start. */
	private static final double MIN_GROWTH = 1000;

	/** Average cost asked for in one period. */
	private double usual;

	/** Cost asked for in the current period. */
	private double current;

	/** Periods that have ended. */
	private int periods;

	/** Beginning of the current period, in nanoseconds. */
	private long periodStartNanos;

	/** Whether any request was counted. */
	private boolean isStarted;

	/**
	 * Counts a request, whether it will be admitted or not.
	 * @param cost the estimated engine time
	 * @param now the current time in nanoseconds
	 */
	void add(double cost, long now) {
		if (!this.isStarted) {
			this.isStarted = true;
			this.periodStartNanos = now;
		}
		advance(now);
		this.current += cost;
	}

	/**
	 * Returns the usual demand.
	 * @param now the current time in nanoseconds
	 * @return the average cost per second, 0 until the first period has ended
	 */
	double perSecond(long now) {
		if (this.isStarted) {
			advance(now);
		}
		return this.usual;
	}

	private void advance(long now) {
		long elapsed = (now - this.periodStartNanos) / PERIOD_NANOS;
		if (elapsed <= 0) {
			return;
		}
		endPeriod(this.current);
		this.current = 0;
		long idle = Math.min(elapsed - 1, 3 * Math.round(1 / LEARNING_RATE));
		for (long i = 0; i < idle; i++) {
			endPeriod(0);
		}
		this.periodStartNanos += elapsed * PERIOD_NANOS;
	}

	private void endPeriod(double cost) {
		this.periods++;
		if (this.periods <= FIRST_PERIODS) {
			this.usual += (cost - this.usual) / this.periods;
			return;
		}
		this.usual += LEARNING_RATE * (Math.min(cost, MAX_SURGE * this.usual + MIN_GROWTH) - this.usual);
	}

}
