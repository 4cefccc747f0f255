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
 * Demand for each model at this daemon: arriving tokens and value a second, and waiting
 * requests. Requests that are refused count as demand too. Thread-safe.
 */
final class DemandMeter {

	/** Weight of the latest period in the rates. */
	private static final double NEWEST = 0.5;

	/** Rate below which a model without waiting requests is left out. */
	private static final double NEGLIGIBLE = 0.001;

	/** Value units in one unit of a class target. */
	private static final double VALUE_SCALE = 1000;

	/** Configuration, for the value of a request. */
	private final Supplier<CallerIndex> index;

	/** Counts by model. */
	private final Map<ModelId, Counts> counts = new ConcurrentHashMap<>();

	DemandMeter(Supplier<CallerIndex> index) {
		this.index = Objects.requireNonNull(index, "index");
	}

	void arrived(GenerationJob job) {
		Counts model = counts(job);
		model.tokens.add(job.promptTokens() + (long) job.maxTokens());
		model.value.add((long) (VALUE_SCALE * value(job)));
	}

	void waiting(GenerationJob job, int change) {
		counts(job).waiting.add(change);
	}

	private Counts counts(GenerationJob job) {
		return this.counts.computeIfAbsent(job.model(), (id) -> new Counts());
	}

	private double value(GenerationJob job) {
		return this.index.get()
			.template(job.service())
			.map(ServiceTemplate::classes)
			.map((classes) -> classes.get(job.priority()).value())
			.orElse(1.0);
	}

	/**
	 * Ends a period and returns the demand.
	 * @param seconds the length of the period, positive
	 * @return the document, never null
	 */
	synchronized ObjectNode roll(double seconds) {
		ObjectNode document = JsonNodeFactory.instance.objectNode();
		ObjectNode models = document.putObject("models");
		new TreeMap<>(this.counts).forEach((id, model) -> {
			model.roll(seconds);
			long waiting = model.waiting.sum();
			if (model.tokensPerSecond > NEGLIGIBLE || waiting > 0) {
				ObjectNode one = models.putObject(id.value());
				one.put("tokensPerSecond", model.tokensPerSecond);
				one.put("valuePerSecond", model.valuePerSecond);
				one.put("waiting", waiting);
			}
		});
		return document;
	}

	/** Counts of one model. */
	private static final class Counts {

		/** Tokens since the last period. */
		private final LongAdder tokens = new LongAdder();

		/** Value since the last period, in thousandths. */
		private final LongAdder value = new LongAdder();

		/** Requests that wait. */
		private final LongAdder waiting = new LongAdder();

		/** Smoothed rate of tokens. */
		private double tokensPerSecond;

		/** Smoothed rate of value. */
		private double valuePerSecond;

		private void roll(double seconds) {
			this.tokensPerSecond += NEWEST * (this.tokens.sumThenReset() / seconds - this.tokensPerSecond);
			this.valuePerSecond += NEWEST * (this.value.sumThenReset() / VALUE_SCALE / seconds - this.valuePerSecond);
		}

	}

}
