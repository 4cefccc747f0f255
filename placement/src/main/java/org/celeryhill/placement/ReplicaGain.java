package org.celeryhill.placement;

/**
 * Estimates the value per second that is gained by adding a replica or lost by removing
 * one. The fraction of value lost with n replicas is the fraction of the load that
 * exceeds what n replicas can carry, plus a congestion term that falls with 1/n.
 * Immutable and thread-safe.
 *
 * @param tokensPerReplica the load that one replica is expected to carry, in tokens per
 * second
 * @param minGain the gain that a load must exceed to be worth its cost, in value per
 * second
 */
record ReplicaGain(double tokensPerReplica, double minGain) {

	/**
	 * Fraction of the mean engine load that one replica carries. Below 1 because replicas
	 * share engines with other models.
	 */
	private static final double REPLICA_LOAD_RATIO = 0.7;

	/** Weight of the congestion term relative to the overload term. */
	private static final double CONGESTION_WEIGHT = 0.3;

	/** Fraction of the mean value per engine that a load must gain. */
	private static final double MIN_GAIN_RATIO = 0.02;

	/**
	 * Returns the estimator for a fleet.
	 * @param meanLoad the mean load of an engine, in tokens per second
	 * @param meanValue the mean value per second of an engine
	 * @return the estimator
	 */
	static ReplicaGain of(double meanLoad, double meanValue) {
		return new ReplicaGain(REPLICA_LOAD_RATIO * meanLoad, MIN_GAIN_RATIO * meanValue);
	}

	/** Returns the value per second that is gained by adding one replica. */
	double ofAdding(ModelView model) {
		int n = Math.max(1, model.expected());
		return model.demand.value() * gainFactor(model, n);
	}

	/** Returns the value per second that is lost by removing one replica. */
	double ofRemoving(ModelView model) {
		int n = Math.max(1, model.expected() - 1);
		return model.demand.valueAtRisk() * gainFactor(model, n);
	}

	private double gainFactor(ModelView model, int n) {
		double congestion = CONGESTION_WEIGHT * model.congestion / (n * (n + 1.0));
		return overloadRatio(model, n) - overloadRatio(model, n + 1) + congestion;
	}

	private double overloadRatio(ModelView model, int n) {
		double tokens = model.demand.tokens();
		return (tokens > 0) ? Math.max(0, 1 - n * this.tokensPerReplica / tokens) : 0;
	}

}
