package org.celeryhill.placement;

import org.celeryhill.config.PlacementLimits;

/**
 * Limits the loads that this planner starts to its share of the weight store's limits:
 * model loads per second, concurrent model loads and concurrent adapter loads, each
 * divided by the number of planners. Not thread-safe.
 */
final class LoadBudget {

	/**
	 * Time for which unused rate is kept. Covers the interval between two planning
	 * rounds, so that a rate below one load per round is still fully used.
	 */
	private static final double BURST_SECONDS = 2;

	/** Model loads that the rate limit of the weight store allows now. */
	private final TokenBucket rate = new TokenBucket(1);

	/** Model loads that may start before the concurrency limit is reached. */
	private int slots;

	/** Adapter loads that may start before the concurrency limit is reached. */
	private int adapterSlots;

	/**
	 * Starts a planning round.
	 * @param limits the limits of the whole weight store
	 * @param budgetDivisor the number of planners that share the limits, at least 1
	 * @param modelsInFlight the model loads that have not finished
	 * @param adaptersInFlight the adapter loads that have not finished
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	void startRound(PlacementLimits limits, int budgetDivisor, int modelsInFlight, int adaptersInFlight,
			long nowNanos) {
		double perSecond = limits.loadsPerSecond() / budgetDivisor;
		this.rate.refill(perSecond, 1 + perSecond * BURST_SECONDS, nowNanos);
		this.slots = Math.max(1, limits.loadsAtOnce() / budgetDivisor) - modelsInFlight;
		this.adapterSlots = Math.max(1, limits.adaptersInTransit() / budgetDivisor) - adaptersInFlight;
	}

	/**
	 * Returns whether a model load may start now.
	 * @return true if the limits on rate and concurrency allow it
	 */
	boolean isModelLoadAllowed() {
		return this.slots > 0 && this.rate.isAvailable();
	}

	/**
	 * Returns whether an adapter load may start now.
	 * @return true if the limit on concurrent adapter loads allows it
	 */
	boolean isAdapterLoadAllowed() {
		return this.adapterSlots > 0;
	}

	/** Deducts one model load from the budget. */
	void consumeModelLoad() {
		this.slots--;
		this.rate.consume();
	}

	/** Deducts one adapter load from the budget. */
	void consumeAdapterLoad() {
		this.adapterSlots--;
	}

}
