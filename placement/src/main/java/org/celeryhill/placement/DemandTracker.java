package org.celeryhill.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import org.celeryhill.base.ModelId;
import org.celeryhill.placement.PlanInput.ModelDemand;

/**
 * Smooths the demand by model. A slow average keeps the placement steady against noise; a
 * fast one takes over when it exceeds the slow one by far, so that a shift is followed
 * within seconds. Not thread-safe.
 */
final class DemandTracker {

	/** Time constant of the fast average, in seconds. */
	private static final double FAST_SECONDS = 8;

	/** Time constant of the slow average, in seconds. */
	private static final double SLOW_SECONDS = 300;

	/** Ratio of fast to slow average from which demand counts as shifted. */
	private static final double SHIFT_RATIO = 2.5;

	/**
	 * Part of the mean load of an engine that a model must reach for its fast average to
	 * count. The fast average of a model with little traffic is mostly noise.
	 */
	private static final double SHIFT_MIN_LOAD = 0.25;

	/** Averages by model. */
	private final Map<ModelId, Averages> byModel = new HashMap<>();

	/** Monotonic time of the last update, in nanoseconds. */
	private long lastNanos;

	/** Whether an update has been seen. */
	private boolean isStarted;

	/**
	 * Takes in the demand of a round.
	 * @param demand the demand by model
	 * @param known the models to keep averages for
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	void update(Map<ModelId, ModelDemand> demand, Set<ModelId> known, long nowNanos) {
		double seconds = this.isStarted ? Math.max(0, nowNanos - this.lastNanos) / 1e9 : 0;
		double fast = 1 - Math.exp(-seconds / FAST_SECONDS);
		double slow = 1 - Math.exp(-seconds / SLOW_SECONDS);
		this.byModel.keySet().retainAll(known);
		for (ModelId model : known) {
			ModelDemand now = demand.getOrDefault(model, ModelDemand.NONE);
			Averages averages = this.byModel.get(model);
			if (averages == null) {
				this.byModel.put(model, new Averages(now));
			}
			else {
				averages.add(now, fast, slow);
			}
		}
		this.lastNanos = nowNanos;
		this.isStarted = true;
	}

	/**
	 * Returns the demand to decide by.
	 * @param model the model
	 * @param meanLoad the mean load of an engine, in tokens per second
	 * @return the estimate
	 */
	Estimate estimate(ModelId model, double meanLoad) {
		Averages averages = this.byModel.get(model);
		return (averages != null) ? averages.estimate(meanLoad) : Estimate.NONE;
	}

	/**
	 * Returns the fast average of the total demand.
	 * @return the tokens per second over all models
	 */
	double totalTokens() {
		double total = 0;
		for (Averages averages : this.byModel.values()) {
			total += averages.fastTokens;
		}
		return total;
	}

	/**
	 * Demand to decide by.
	 *
	 * @param tokens the load in tokens per second
	 * @param value the value per second that a further replica can gain
	 * @param lossValue the value per second at risk when a replica is removed; the higher
	 * of both averages, so that a pause does not cost a replica
	 * @param isShifted whether the fast average is used
	 */
	record Estimate(double tokens, double value, double lossValue, boolean isShifted) {

		/** No demand. */
		static final Estimate NONE = new Estimate(0, 0, 0, false);

	}

	/** Averages of one model. */
	private static final class Averages {

		/** Fast average of the load, in tokens per second. */
		private double fastTokens;

		/** Slow average of the load, in tokens per second. */
		private double slowTokens;

		/** Fast average of the value per second. */
		private double fastValue;

		/** Slow average of the value per second. */
		private double slowValue;

		Averages(ModelDemand first) {
			this.fastTokens = first.tokensPerSecond();
			this.slowTokens = this.fastTokens;
			this.fastValue = first.valuePerSecond();
			this.slowValue = this.fastValue;
		}

		void add(ModelDemand now, double fast, double slow) {
			this.fastTokens += (now.tokensPerSecond() - this.fastTokens) * fast;
			this.slowTokens += (now.tokensPerSecond() - this.slowTokens) * slow;
			this.fastValue += (now.valuePerSecond() - this.fastValue) * fast;
			this.slowValue += (now.valuePerSecond() - this.slowValue) * slow;
		}

		Estimate estimate(double meanLoad) {
			boolean grew = this.fastTokens > SHIFT_RATIO * this.slowTokens
					&& this.fastTokens > SHIFT_MIN_LOAD * meanLoad;
			boolean fell = this.slowTokens > SHIFT_RATIO * this.fastTokens
					&& this.slowTokens > SHIFT_MIN_LOAD * meanLoad;
			if (grew) {
				return new Estimate(this.fastTokens, this.fastValue, this.fastValue, true);
			}
			if (fell) {
				return new Estimate(this.fastTokens, this.fastValue, this.fastValue * 2, true);
			}
			double loss = Math.max(this.fastValue, this.slowValue);
			return new Estimate(this.slowTokens, this.slowValue, loss, false);
		}

	}

}
