package org.celeryhill.measure;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

import org.celeryhill.base.ModelId;
import org.celeryhill.placement.PlanInput;

/**
 * Measures the demand by model since the last planning round. The demand for an adapter
 * counts for its base model, whose replicas serve it. Not thread-safe.
 */
final class DemandMeter {

	/** Base model of each adapter. */
	private final Map<ModelId, ModelId> bases;

	/** Tokens, value and number of waiting requests by model, in this order. */
	private final Map<ModelId, double[]> sums = new TreeMap<>();

	DemandMeter(Map<ModelId, ModelId> bases) {
		this.bases = bases;
	}

	/**
	 * Adds the tokens and the value of a job that arrives; plain calls are ignored.
	 * @param job the arriving job
	 */
	void arrived(Job job) {
		if (!job.isBooking()) {
			double[] sum = sum(job);
			sum[0] += job.prompt + job.maxTokens / 2.0;
			sum[1] += job.target.value();
		}
	}

	/**
	 * Adds a waiting job; plain calls are ignored.
	 * @param job the job that starts to wait
	 */
	void queued(Job job) {
		if (!job.isBooking()) {
			sum(job)[2]++;
		}
	}

	/**
	 * Removes a waiting job; plain calls are ignored.
	 * @param job the job that no longer waits
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
	 * Returns the demand since the last call and resets tokens and value.
	 * @param seconds the time since the last call, in seconds
	 * @return the demand by model
	 */
	Map<ModelId, PlanInput.ModelDemand> readAndReset(double seconds) {
		Map<ModelId, PlanInput.ModelDemand> demand = new HashMap<>();
		this.sums.forEach((model, sum) -> {
			demand.put(model, new PlanInput.ModelDemand(sum[0] / seconds, sum[1] / seconds, (int) Math.max(0, sum[2])));
			sum[0] = 0;
			sum[1] = 0;
		});
		return demand;
	}

}
