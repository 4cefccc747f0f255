package org.celeryhill.entry;

import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Supplier;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.celeryhill.base.ModelId;
import org.celeryhill.config.ServiceTemplate;

/**
 * Measures the demand for each model at this daemon: requested tokens and value per
 * second, and the number of waiting requests. Refused requests count as demand too.
 * Thread-safe.
 */
final class DemandMeter {

	/** Weight of the latest period in the smoothed rates. */
	private static final double LATEST_WEIGHT = 0.5;

	/** Tokens per second below which a model without waiting requests is omitted. */
	private static final double MIN_REPORTED_RATE = 0.001;

	/** Factor from the value of a request to the integer that is summed up. */
	private static final double VALUE_SCALE = 1000;

	/** Returns the configuration with the value of a request of each priority class. */
	private final Supplier<CallerIndex> index;

	/** Demand by model. */
	private final Map<ModelId, ModelDemand> demandByModel = new ConcurrentHashMap<>();

	DemandMeter(Supplier<CallerIndex> index) {
		this.index = Objects.requireNonNull(index, "index");
	}

	void recordArrival(GenerationJob job) {
		ModelDemand model = demandOf(job);
		model.tokens.add(job.estimatedPromptTokens() + (long) job.maxTokens());
		model.value.add((long) (VALUE_SCALE * value(job)));
	}

	void waiting(GenerationJob job, int change) {
		demandOf(job).waiting.add(change);
	}

	private ModelDemand demandOf(GenerationJob job) {
		return this.demandByModel.computeIfAbsent(job.model(), (id) -> new ModelDemand());
	}

	private double value(GenerationJob job) {
		return this.index.get()
			.template(job.service())
			.map(ServiceTemplate::classes)
			.map((classes) -> classes.get(job.priority()).value())
			.orElse(1.0);
	}

	/**
	 * Ends a measurement period and returns the demand.
	 * @param seconds the length of the period in seconds, positive
	 * @return the JSON document to publish, never null
	 */
	synchronized ObjectNode endPeriod(double seconds) {
		ObjectNode document = JsonNodeFactory.instance.objectNode();
		ObjectNode models = document.putObject("models");
		new TreeMap<>(this.demandByModel).forEach((id, model) -> {
			model.updateRates(seconds);
			long waiting = model.waiting.sum();
			if (model.tokensPerSecond > MIN_REPORTED_RATE || waiting > 0) {
				ObjectNode entry = models.putObject(id.value());
				entry.put("tokensPerSecond", model.tokensPerSecond);
				entry.put("valuePerSecond", model.valuePerSecond);
				entry.put("waiting", waiting);
			}
		});
		return document;
	}

	/** Demand for one model. */
	private static final class ModelDemand {

		/** Requested tokens in the current period. */
		private final LongAdder tokens = new LongAdder();

		/** Value of the requests in the current period, in thousandths. */
		private final LongAdder value = new LongAdder();

		/** Number of requests that wait to be sent. */
		private final LongAdder waiting = new LongAdder();

		/** Smoothed rate of requested tokens. */
		private double tokensPerSecond;

		/** Smoothed rate of the value of requests. */
		private double valuePerSecond;

		private void updateRates(double seconds) {
			this.tokensPerSecond += LATEST_WEIGHT * (this.tokens.sumThenReset() / seconds - this.tokensPerSecond);
			this.valuePerSecond += LATEST_WEIGHT
					* (this.value.sumThenReset() / VALUE_SCALE / seconds - this.valuePerSecond);
		}

	}

}
