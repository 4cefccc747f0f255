package org.celeryhill.edge;

import java.util.HashMap;
import java.util.Map;

import org.celeryhill.base.ModelId;
import org.celeryhill.base.ServiceId;
import org.celeryhill.forward.DemandListener;

/**
 * Measures what is asked for of each model at this host, as rates that forget the past
 * within seconds. Must be used on the event loop.
 */
final class DemandMeter implements DemandListener {

	/** Demand moves every few seconds, so older requests say little. */
	private static final double MEMORY_SECONDS = 2.5;

	private static final double LEAST_RATE = 0.01;

	private final Map<Key, Rates> rates = new HashMap<>();

	@Override
	public void requested(ServiceId service, ModelId model, int tokens, double value) {
		Rates found = this.rates.computeIfAbsent(new Key(service, model), (key) -> new Rates());
		found.decay(System.nanoTime());
		found.tokens += tokens / MEMORY_SECONDS;
		found.value += value / MEMORY_SECONDS;
	}

	// Returns the rates of all models that are asked for.
	Map<Key, Rate> rates() {
		long now = System.nanoTime();
		Map<Key, Rate> result = new HashMap<>();
		this.rates.values().removeIf((one) -> {
			one.decay(now);
			return one.value < LEAST_RATE;
		});
		this.rates.forEach((key, one) -> result.put(key, new Rate(one.tokens, one.value)));
		return result;
	}

	/**
	 * A model of a service.
	 *
	 * @param service the service, not null
	 * @param model the model, not null
	 */
	record Key(ServiceId service, ModelId model) {
	}

	/**
	 * Demand for one model.
	 *
	 * @param tokensPerSecond the tokens that are asked for
	 * @param valuePerSecond the worth that is asked for
	 */
	record Rate(double tokensPerSecond, double valuePerSecond) {

		Rate plus(Rate other) {
			return new Rate(this.tokensPerSecond + other.tokensPerSecond, this.valuePerSecond + other.valuePerSecond);
		}

	}

	private static final class Rates {

		private double tokens;

		private double value;

		private long updated = System.nanoTime();

		private void decay(long now) {
			double part = Math.exp(-(now - this.updated) / 1e9 / MEMORY_SECONDS);
			this.tokens *= part;
			this.value *= part;
			this.updated = now;
		}

	}

}
