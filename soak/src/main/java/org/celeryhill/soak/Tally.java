package org.celeryhill.soak;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;

/**
 * Counts of requests by their kind and outcome. Thread-safe.
 */
final class Tally {

	private final Map<RequestKind, Map<Outcome, Integer>> counts = new EnumMap<>(RequestKind.class);

	private final Map<String, Long> lastSuccessNanos = new HashMap<>();

	private int failedConnects;

	synchronized void add(RequestKind kind, Outcome outcome) {
		this.counts.computeIfAbsent(kind, (one) -> new EnumMap<>(Outcome.class)).merge(outcome, 1, Integer::sum);
	}

	synchronized void addFailedConnect() {
		this.failedConnects++;
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

	/**
	 * Returns the counts, after the last request has ended.
	 * @return the counts by kind and outcome, never null
	 */
	synchronized Map<RequestKind, Map<Outcome, Integer>> counts() {
		return new EnumMap<>(this.counts);
	}

	synchronized int failedConnects() {
		return this.failedConnects;
	}

}
