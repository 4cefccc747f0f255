package org.celeryhill.traffic;

import org.celeryhill.base.PriorityClass;

/**
 * Fraction of a backend server's limit that a request may use, in descending order. The
 * limits are divided among the daemons; a request that is served before all others must
 * not have to wait until one of the few attempts of its own daemon ends. Immutable and
 * thread-safe.
 */
enum CapacityTier {

	/**
	 * Tier of urgent requests of organisations whose urgent usage is within their weight;
	 * they may exceed the limit.
	 */
	OVERCOMMIT(1.25),

	/**
	 * Tier of other urgent requests, and of any request that is served while an urgent
	 * request is ready.
	 */
	FULL(1),

	/** Tier of normal requests. */
	NORMAL(0.9),

	/** Tier of batch requests. */
	BATCH(0.8);

	/** Fraction of the limit at the highest level of urgent demand. */
	private final double fraction;

	CapacityTier(double fraction) {
		this.fraction = fraction;
	}

	/**
	 * Returns the fraction of the limit that may be used.
	 * @param urgentDemand the level of urgent demand, from 0 to 1
	 * @return the fraction, 1 without urgent requests
	 */
	double fraction(double urgentDemand) {
		return 1 + (this.fraction - 1) * urgentDemand;
	}

	/**
	 * Returns the tier of a request that is selected by the start tags while no urgent
	 * request is ready.
	 * @param priority the priority class
	 * @return the tier
	 */
	static CapacityTier forClass(PriorityClass priority) {
		return switch (priority) {
			case URGENT -> FULL;
			case NORMAL -> NORMAL;
			case BATCH -> BATCH;
		};
	}

}
