package org.celeryhill.measure;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

import org.celeryhill.base.ModelId;
import org.celeryhill.placement.PlanInput;

/**
 * Demand by model since the last planning round. The demand for an adapter counts for its
 * base model, whose replicas carry it. Not thread-safe.
 */
final class DemandMeter {

	/** Base models by adapter. */
	private final Map<ModelId, ModelId> bases;

	/** Tokens, value and waiting requests by model. */
	private final Map<ModelId, double[]> sums = new TreeMap<>();

	DemandMeter(Map<ModelId, ModelId> bases) {
		this.bases = bases;
	}

	/**
	 * Counts a job that arrives.
	 * @param job the job
	 */
	void arrived(Job job) {
		if (!job.isBooking()) {
			double[] sum = sum(job);
			sum[0] += job.prompt + job.maxTokens / 2.0;
			sum[1] += job.target.value();
		}
	}

	/**
	 * Counts a job that waits.
	 * @param job the job
	 */
	void queued(Job job) {
		if (!job.isBooking()) {
			sum(job)[2]++;
		}
	}

	/**
	 * Counts a job that no longer waits.
	 * @param job the job
	 */
	void dequeued(Job job) {
		if (!job.isBooking()) {
			sum(job)[2]--;
		}
	}

	private double[] sum(Job job) {
		return this.sums.computeIfAbsent(this.bases.getOrDefault(job.model, job.model), (id) -> new double[3]);
	}

	/**
	 * Returns the demand since the last call.
	 * @param seconds the time since the last call
	 * @return the demand by model
	 */
	Map<ModelId, PlanInput.ModelDemand> take(double seconds) {
		Map<ModelId, PlanInput.ModelDemand> demand = new HashMap<>();
		this.sums.forEach((model, sum) -> {
			demand.put(model, new PlanInput.ModelDemand(sum[0] / seconds, sum[1] / seconds, (int) Math.max(0, sum[2])));
			sum[0] = 0;
			sum[1] = 0;
		});
		return demand;
	}

}
