package org.celeryhill.placement;

/**
 * Expected value per second of one replica more or less. The value lost with n replicas
 * is the part of the load that exceeds the fair share of n engines, plus a congestion
 * term that falls with 1/n. Immutable and thread-safe.
 *
 * @param shareTokens the load that one replica is expected to carry, in tokens per second
 * @param minGain the least gain worth a load, in value per second
 */
record ReplicaGain(double shareTokens, double minGain) {

	/**
	 * Part of the mean engine load that one replica carries. Below 1 since replicas share
	 * engines with other models.
	 */
	private static final double SHARE = 0.7;

	/** Weight of the congestion term against the overload term. */
	private static final double CONGESTION_WEIGHT = 0.3;

	/** Part of the mean value per engine below which a load is not worth its cost. */
	private static final double MIN_GAIN = 0.02;

	/**
	 * Returns the gains for a fleet.
	 * @param meanLoad the mean load of an engine, in tokens per second
	 * @param meanValue the mean value per engine and second
	 * @return the gains
	 */
	static ReplicaGain of(double meanLoad, double meanValue) {
		return new ReplicaGain(SHARE * meanLoad, MIN_GAIN * meanValue);
	}

	/** Returns the value per second that one more replica gains. */
	double ofAdding(ModelView model) {
		int n = Math.max(1, model.expected());
		return model.demand.value() * factor(model, n);
	}

	/** Returns the value per second that one replica less loses. */
	double ofRemoving(ModelView model) {
		int n = Math.max(1, model.expected() - 1);
		return model.demand.lossValue() * factor(model, n);
	}

	private double factor(ModelView model, int n) {
		double congestion = CONGESTION_WEIGHT * model.congestion / (n * (n + 1.0));
		return overload(model, n) - overload(model, n + 1) + congestion;
	}

	private double overload(ModelView model, int n) {
		double tokens = model.demand.tokens();
		return (tokens > 0) ? Math.max(0, 1 - n * this.shareTokens / tokens) : 0;
	}

}
