package org.celeryhill.measure;

import java.util.SplittableRandom;

/**
 * Times of loads from the weight store: at full speed up to the limit of loads at once,
 * proportionally longer beyond it. Not thread-safe.
 */
final class WeightStoreModel {

	/** Nanoseconds in a second. */
	private static final double SECOND = 1e9;

	/** Deployment that gives the figures. */
	private final Deployment deployment;

	/** Source of the adapter load times. */
	private final SplittableRandom random;

	/** Model loads in flight. */
	private int models;

	/** Adapter loads in flight. */
	private int adapters;

	WeightStoreModel(Deployment deployment, SplittableRandom random) {
		this.deployment = deployment;
		this.random = random;
	}

	/**
	 * Begins the load of a model.
	 * @return the duration in nanoseconds
	 */
	long beginModel() {
		this.models++;
		int atOnce = this.deployment.limits.loadsAtOnce();
		double seconds = atOnce / this.deployment.limits.loadsPerSecond();
		return (long) (seconds * Math.max(1, (double) this.models / atOnce) * SECOND);
	}

	/** Ends the load of a model. */
	void endModel() {
		this.models--;
	}

	/**
	 * Begins the load of an adapter.
	 * @return the duration in nanoseconds
	 */
	long beginAdapter() {
		this.adapters++;
		double millis = this.random.nextDouble(this.deployment.adapterLoadMin, this.deployment.adapterLoadMax);
		double factor = Math.max(1, (double) this.adapters / this.deployment.limits.adaptersInTransit());
		return (long) (millis * factor * 1e6);
	}

	/** Ends the load of an adapter. */
	void endAdapter() {
		this.adapters--;
	}

}
