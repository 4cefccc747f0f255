package org.celeryhill.soak;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;

/**
 * Counts of requests by their outcome. Thread-safe.
 */
final class Tally {

	private final Map<Outcome, Integer> counts = new EnumMap<>(Outcome.class);

	private final Map<String, Long> lastSuccessNanos = new HashMap<>();

	synchronized void add(Outcome outcome) {
		this.counts.merge(outcome, 1, Integer::sum);
	}

	/**
	 * Records that a daemon answered with a success.
	 * @param daemon the name of the daemon, not null
	 * @param sentNanos the time at which the request was sent
	 */
	synchronized void addSuccess(String daemon, long sentNanos) {
		this.lastSuccessNanos.merge(daemon, sentNanos, Math::max);
	}

	synchronized boolean hasSuccessAfter(String daemon, long nanos) {
		return this.lastSuccessNanos.getOrDefault(daemon, -1L) > nanos;
	}

	synchronized Map<Outcome, Integer> counts() {
		return Map.copyOf(this.counts);
	}

	synchronized int total() {
		return this.counts.values().stream().mapToInt(Integer::intValue).sum();
	}

}
