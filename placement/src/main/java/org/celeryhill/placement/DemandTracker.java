package org.celeryhill.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import org.celeryhill.base.ModelId;
import org.celeryhill.placement.PlanInput.ModelDemand;

/**
 * Smooths the demand for each model with two exponential moving averages. The slow one
 * keeps noise from moving models; the fast one is used when the two differ by a large
 * factor, so that a shift of demand is followed within seconds. Not thread-safe.
 */
final class DemandTracker {

	/** Time constant of the fast average, in seconds. */
	private static final double FAST_SECONDS = 8;

	/** Time constant of the slow average, in seconds. */
	private static final double SLOW_SECONDS = 300;

	/** Ratio between the averages above which demand counts as shifted. */
	private static final double SHIFT_RATIO = 2.5;

	/**
	 * Fraction of the mean engine load that the larger average must exceed for a shift.
	 * The fast average of a model with little traffic is mostly noise.
	 */
	private static final double SHIFT_MIN_LOAD_RATIO = 0.25;

	/** Averages by model. */
	private final Map<ModelId, Averages> averagesByModel = new HashMap<>();

	/** Monotonic time of the last update, in nanoseconds. */
	private long lastNanos;

	/** Whether there has been an update. */
	private boolean isInitialised;

	/**
	 * Updates the averages with the demand of a round.
	 * @param demand the demand by model; a missing model has none
	 * @param knownModels the models to keep averages for; all others are dropped
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	void update(Map<ModelId, ModelDemand> demand, Set<ModelId> knownModels, long nowNanos) {
		double seconds = this.isInitialised ? Math.max(0, nowNanos - this.lastNanos) / 1e9 : 0;
		double fastWeight = 1 - Math.exp(-seconds / FAST_SECONDS);
		double slowWeight = 1 - Math.exp(-seconds / SLOW_SECONDS);
		this.averagesByModel.keySet().retainAll(knownModels);
		for (ModelId model : knownModels) {
			ModelDemand current = demand.getOrDefault(model, ModelDemand.NONE);
			Averages averages = this.averagesByModel.get(model);
			if (averages == null) {
				this.averagesByModel.put(model, new Averages(current));
			}
			else {
				averages.add(current, fastWeight, slowWeight);
			}
		}
		this.lastNanos = nowNanos;
		this.isInitialised = true;
	}

	/**
	 * Returns the estimated demand for a model.
	 * @param model the model or adapter
	 * @param meanLoad the mean load of an engine, in tokens per second
	 * @return the estimate, {@link Estimate#NONE} for an unknown model
	 */
	Estimate estimate(ModelId model, double meanLoad) {
		Averages averages = this.averagesByModel.get(model);
		return (averages != null) ? averages.estimate(meanLoad) : Estimate.NONE;
	}

	/**
	 * Returns the fast average of the demand for all models.
	 * @return the total in tokens per second
	 */
	double totalTokensPerSecond() {
		double total = 0;
		for (Averages averages : this.averagesByModel.values()) {
			total += averages.fastTokens;
		}
		return total;
	}

	/**
	 * Estimated demand for a model.
	 *
	 * @param tokens the load in tokens per second
	 * @param value the value per second of the requests, used for the gain of adding a
	 * replica
	 * @param valueAtRisk the value per second at risk when a replica is removed; without
	 * a shift the higher of both averages, so that a pause in demand does not cost a
	 * replica
	 * @param isShifted whether demand has shifted and the fast average is used
	 */
	record Estimate(double tokens, double value, double valueAtRisk, boolean isShifted) {

		/** No demand. */
		static final Estimate NONE = new Estimate(0, 0, 0, false);

	}

	/** Moving averages of the demand for one model. */
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

		void add(ModelDemand current, double fastWeight, double slowWeight) {
			this.fastTokens += (current.tokensPerSecond() - this.fastTokens) * fastWeight;
			this.slowTokens += (current.tokensPerSecond() - this.slowTokens) * slowWeight;
			this.fastValue += (current.valuePerSecond() - this.fastValue) * fastWeight;
			this.slowValue += (current.valuePerSecond() - this.slowValue) * slowWeight;
		}

		Estimate estimate(double meanLoad) {
			boolean hasRisen = this.fastTokens > SHIFT_RATIO * this.slowTokens
					&& this.fastTokens > SHIFT_MIN_LOAD_RATIO * meanLoad;
			boolean hasFallen = this.slowTokens > SHIFT_RATIO * this.fastTokens
					&& this.slowTokens > SHIFT_MIN_LOAD_RATIO * meanLoad;
			if (hasRisen) {
				return new Estimate(this.fastTokens, this.fastValue, this.fastValue, true);
			}
			if (hasFallen) {
				return new Estimate(this.fastTokens, this.fastValue, this.fastValue * 2, true);
			}
			double maxValue = Math.max(this.fastValue, this.slowValue);
			return new Estimate(this.slowTokens, this.slowValue, maxValue, false);
		}

	}

}
