package org.celeryhill.edge;

import java.util.HashMap;
import java.util.Map;

import org.celeryhill.base.ModelId;
import org.celeryhill.base.ServiceId;
import org.celeryhill.forward.DemandListener;

/**
 * Measures the demand for each model at this host as exponentially decaying rates. Must
 * be used on the event loop.
 */
final class DemandMeter implements DemandListener {

	/**
	 * Time constant of the decay. Demand shifts every few seconds, so that older requests
	 * do not predict it.
	 */
	private static final double DECAY_SECONDS = 4;

	private static final double MIN_RATE = 0.01;

	private final Map<Key, Rates> rates = new HashMap<>();

	@Override
	public void onRequest(ServiceId service, ModelId model, double value) {
		findDecayed(service, model).value += value / DECAY_SECONDS;
	}

	@Override
	public void onLateRequest(ServiceId service, ModelId model, double value) {
		findDecayed(service, model).late += value / DECAY_SECONDS;
	}

	private Rates findDecayed(ServiceId service, ModelId model) {
		Rates found = this.rates.computeIfAbsent(new Key(service, model), (key) -> new Rates());
		found.decay(System.nanoTime());
		return found;
	}

	// Returns the current rates of all models in demand.
	Map<Key, Rate> rates() {
		long now = System.nanoTime();
		Map<Key, Rate> result = new HashMap<>();
		this.rates.values().removeIf((one) -> {
			one.decay(now);
			return one.value < MIN_RATE;
		});
		this.rates.forEach((key, one) -> result.put(key, new Rate(one.value, one.late)));
		return result;
	}

	/**
	 * Identifies a model of a service.
	 *
	 * @param service the service, not null
	 * @param model the model, not null
	 */
	record Key(ServiceId service, ModelId model) {
	}

	/**
	 * Demand for one model, as the value of requests per second.
	 *
	 * @param valuePerSecond the value of all requests
	 * @param latePerSecond the value of the requests that were answered late or not at
	 * all
	 */
	record Rate(double valuePerSecond, double latePerSecond) {

		Rate plus(Rate other) {
			return new Rate(this.valuePerSecond + other.valuePerSecond, this.latePerSecond + other.latePerSecond);
		}

	}

	private static final class Rates {

		private double value;

		private double late;

		private long updatedNanos = System.nanoTime();

		private void decay(long now) {
			double factor = Math.exp(-(now - this.updatedNanos) / 1e9 / DECAY_SECONDS);
			this.value *= factor;
			this.late *= factor;
			this.updatedNanos = now;
		}

	}

}
