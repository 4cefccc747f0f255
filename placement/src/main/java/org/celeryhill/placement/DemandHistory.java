package org.celeryhill.placement;

import java.util.HashMap;
import java.util.Map;

import org.celeryhill.base.ModelId;

/**
 * History of the demand for the models of one service: the decaying peak of each model's
 * value, and the time for which requests for it have waited without a replica. Not
 * thread-safe.
 */
public final class DemandHistory {

	/**
	 * Time constant of the decay of demand peaks. Demand for a model often returns within
	 * minutes.
	 */
	private static final double PEAK_DECAY_NANOS = 120e9;

	private static final double NANOS_PER_SECOND = 1e9;

	private final Map<ModelId, Entry> entries = new HashMap<>();

	private DemandHistory() {
	}

	/**
	 * Creates an empty history.
	 * @return the history, never null
	 */
	public static DemandHistory create() {
		return new DemandHistory();
	}

	/**
	 * Records the current demand for a model. Must be called in each planning round.
	 * @param model the model, not null
	 * @param valuePerSecond the value per second of the requests for it
	 * @param hasReplica whether an engine holds the model
	 * @param nowNanos the current time in nanoseconds
	 * @return the demand since earlier rounds, never null
	 */
	public Summary record(ModelId model, double valuePerSecond, boolean hasReplica, long nowNanos) {
		Entry entry = this.entries.computeIfAbsent(model, (key) -> new Entry(nowNanos));
		entry.updatePeak(valuePerSecond, nowNanos);
		entry.updateUnserved(valuePerSecond > 0 && !hasReplica, nowNanos);
		return new Summary(entry.peakValuePerSecond, entry.unservedSeconds(nowNanos));
	}

	/**
	 * Demand for one model since earlier rounds.
	 *
	 * @param peakValuePerSecond the highest value per second of the last minutes
	 * @param unservedSeconds the seconds for which requests have waited without a replica
	 */
	public record Summary(double peakValuePerSecond, double unservedSeconds) {
	}

	private static final class Entry {

		private double peakValuePerSecond;

		private long peakNanos;

		private boolean isUnserved;

		private long unservedSinceNanos;

		Entry(long nowNanos) {
			this.peakNanos = nowNanos;
		}

		void updatePeak(double valuePerSecond, long nowNanos) {
			double decayFactor = Math.exp(-(nowNanos - this.peakNanos) / PEAK_DECAY_NANOS);
			this.peakValuePerSecond = Math.max(this.peakValuePerSecond * decayFactor, valuePerSecond);
			this.peakNanos = nowNanos;
		}

		void updateUnserved(boolean isUnservedNow, long nowNanos) {
			if (isUnservedNow && !this.isUnserved) {
				this.unservedSinceNanos = nowNanos;
			}
			this.isUnserved = isUnservedNow;
		}

		double unservedSeconds(long nowNanos) {
			return this.isUnserved ? (nowNanos - this.unservedSinceNanos) / NANOS_PER_SECOND : 0;
		}

	}

}
