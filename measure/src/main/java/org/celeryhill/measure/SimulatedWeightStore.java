package org.celeryhill.measure;

import java.util.SplittableRandom;

/**
 * Simulated weight store, which determines the duration of loads: full speed up to the
 * limit of concurrent loads, proportionally longer beyond it. Not thread-safe.
 */
final class SimulatedWeightStore {

	/** Nanoseconds in a second. */
	private static final double NANOS_PER_SECOND = 1e9;

	/** Deployment with the limits and load times. */
	private final Deployment deployment;

	/** Random generator of the adapter load times. */
	private final SplittableRandom random;

	/** Number of running model loads. */
	private int models;

	/** Number of running adapter loads. */
	private int adapters;

	SimulatedWeightStore(Deployment deployment, SplittableRandom random) {
		this.deployment = deployment;
		this.random = random;
	}

	/**
	 * Starts the load of a model.
	 * @return the duration in nanoseconds
	 */
	long startModelLoad() {
		this.models++;
		int atOnce = this.deployment.weightStoreLimits.loadsAtOnce();
		double seconds = atOnce / this.deployment.weightStoreLimits.loadsPerSecond();
		return (long) (seconds * Math.max(1, (double) this.models / atOnce) * NANOS_PER_SECOND);
	}

	/** Ends the load of a model. */
	void endModelLoad() {
		this.models--;
	}

	/**
	 * Starts the load of an adapter.
	 * @return the duration in nanoseconds
	 */
	long startAdapterLoad() {
		this.adapters++;
		double millis = this.random.nextDouble(this.deployment.minAdapterLoadMillis,
				this.deployment.maxAdapterLoadMillis);
		double factor = Math.max(1, (double) this.adapters / this.deployment.weightStoreLimits.adaptersInTransit());
		return (long) (millis * factor * 1e6);
	}

	/** Ends the load of an adapter. */
	void endAdapterLoad() {
		this.adapters--;
	}

}
