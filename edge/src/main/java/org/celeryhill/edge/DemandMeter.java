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
	private static final double MEMORY_SECONDS = 4;

	private static final double LEAST_RATE = 0.01;

	private final Map<Key, Rates> rates = new HashMap<>();

	@Override
	public void onRequest(ServiceId service, ModelId model, double value) {
		find(service, model).value += value / MEMORY_SECONDS;
	}

	@Override
	public void onLateRequest(ServiceId service, ModelId model, double value) {
		find(service, model).late += value / MEMORY_SECONDS;
	}

	private Rates find(ServiceId service, ModelId model) {
		Rates found = this.rates.computeIfAbsent(new Key(service, model), (key) -> new Rates());
		found.decay(System.nanoTime());
		return found;
	}

	// Returns the rates of all models that are asked for.
	Map<Key, Rate> rates() {
		long now = System.nanoTime();
		Map<Key, Rate> result = new HashMap<>();
		this.rates.values().removeIf((one) -> {
			one.decay(now);
			return one.value < LEAST_RATE;
		});
		this.rates.forEach((key, one) -> result.put(key, new Rate(one.value, one.late)));
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
	 * @param valuePerSecond the worth that is asked for
	 * @param latePerSecond the worth that was answered late or not at all
	 */
	record Rate(double valuePerSecond, double latePerSecond) {

		Rate plus(Rate other) {
			return new Rate(this.valuePerSecond + other.valuePerSecond, this.latePerSecond + other.latePerSecond);
		}

	}

	private static final class Rates {

		private double value;

		private double late;

		private long updated = System.nanoTime();

		private void decay(long now) {
			double part = Math.exp(-(now - this.updated) / 1e9 / MEMORY_SECONDS);
			this.value *= part;
			this.late *= part;
			this.updated = now;
		}

	}

}
