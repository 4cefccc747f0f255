package org.celeryhill.edge;

import java.util.HashMap;
import java.util.Map;

/**
 * Exponentially decaying rates of demand by model. Must be used on the event loop.
 */
final class DemandRates {

	/**
	 * Time constant of the decay. Demand shifts every few seconds, so that older requests
	 * do not predict it.
	 */
	private static final double DECAY_SECONDS = 4;

	private static final double MIN_RATE = 0.01;

	private final Map<DemandMeter.Key, Entry> entries = new HashMap<>();

	// Adds the values of requests and of late requests.
	void add(DemandMeter.Key key, double value, double late) {
		long now = System.nanoTime();
		Entry entry = this.entries.computeIfAbsent(key, (one) -> new Entry(now));
		entry.decay(now);
		entry.value += value / DECAY_SECONDS;
		entry.late += late / DECAY_SECONDS;
		entry.changedNanos = now;
	}

	// Replaces the rates of some models.
	void putAll(Map<DemandMeter.Key, DemandMeter.Rate> rates) {
		long now = System.nanoTime();
		rates.forEach((key, rate) -> {
			Entry entry = new Entry(now);
			entry.value = rate.valuePerSecond();
			entry.late = rate.latePerSecond();
			this.entries.put(key, entry);
		});
	}

	// Returns the current rates of all models in demand.
	Map<DemandMeter.Key, DemandMeter.Rate> current() {
		long now = System.nanoTime();
		Map<DemandMeter.Key, DemandMeter.Rate> result = new HashMap<>();
		this.entries.values().removeIf((entry) -> {
			entry.decay(now);
			return entry.value < MIN_RATE;
		});
		this.entries.forEach((key, entry) -> result.put(key, entry.rate()));
		return result;
	}

	// Returns the current rates of the models for which requests were added at a time or
	// later.
	Map<DemandMeter.Key, DemandMeter.Rate> changedSince(long sinceNanos) {
		long now = System.nanoTime();
		Map<DemandMeter.Key, DemandMeter.Rate> result = new HashMap<>();
		this.entries.forEach((key, entry) -> {
			if (entry.changedNanos - sinceNanos >= 0) {
				entry.decay(now);
				if (entry.value >= MIN_RATE) {
					result.put(key, entry.rate());
				}
			}
		});
		return result;
	}

	private static final class Entry {

		private double value;

		private double late;

		private long updatedNanos;

		private long changedNanos;

		Entry(long now) {
			this.updatedNanos = now;
			this.changedNanos = now;
		}

		private void decay(long now) {
			double factor = Math.exp(-(now - this.updatedNanos) / 1e9 / DECAY_SECONDS);
			this.value *= factor;
			this.late *= factor;
			this.updatedNanos = now;
		}

		private DemandMeter.Rate rate() {
			return new DemandMeter.Rate(this.value, this.late);
		}

	}

}
