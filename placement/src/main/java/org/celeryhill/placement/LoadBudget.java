package org.celeryhill.placement;

import org.celeryhill.config.PlacementLimits;

/**
 * Part of the weight store's limits that this planner may use: loads per second, loads at
 * once and adapters in flight, each divided by the number of planners. Not thread-safe.
 */
final class LoadBudget {

	/**
	 * Seconds of unused rate that are kept. Covers the time between two planning rounds,
	 * so that a rate below one load per round is still fully used.
	 */
	private static final double BURST_SECONDS = 2;

	/** Loads that the store's rate allows. */
	private final TokenBucket rate = new TokenBucket(1);

	/** Model loads that may still start now. */
	private int slots;

	/** Adapter loads that may still start now. */
	private int adapterSlots;

	/**
	 * Starts a round.
	 * @param limits the limits of the whole store
	 * @param divisor the number of planners that share them, at least 1
	 * @param modelsInFlight the model loads not finished
	 * @param adaptersInFlight the adapter loads not finished
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	void startRound(PlacementLimits limits, int divisor, int modelsInFlight, int adaptersInFlight, long nowNanos) {
		double perSecond = limits.loadsPerSecond() / divisor;
		this.rate.refill(perSecond, 1 + perSecond * BURST_SECONDS, nowNanos);
		this.slots = Math.max(1, limits.loadsAtOnce() / divisor) - modelsInFlight;
		this.adapterSlots = Math.max(1, limits.adaptersInTransit() / divisor) - adaptersInFlight;
	}

	/**
	 * Returns whether a model load may start now.
	 * @return true if rate and concurrency allow it
	 */
	boolean isModelAllowed() {
		return this.slots > 0 && this.rate.isAvailable();
	}

	/**
	 * Returns whether an adapter load may start now.
	 * @return true if the bound on adapters in flight allows it
	 */
	boolean isAdapterAllowed() {
		return this.adapterSlots > 0;
	}

	/** Takes the budget of one model load. */
	void takeModel() {
		this.slots--;
		this.rate.take();
	}

	/** Takes the budget of one adapter load. */
	void takeAdapter() {
		this.adapterSlots--;
	}

}
