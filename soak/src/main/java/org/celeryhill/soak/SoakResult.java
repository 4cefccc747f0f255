package org.celeryhill.soak;

import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * Result of a soak. Immutable.
 *
 * @param violations the promises that were broken, not null
 * @param requests the requests by kind and outcome, not null
 * @param failedConnects the number of connections that could not be opened
 * @param runs the number of runs at servers
 * @param faults the faults that were injected by kind, not null
 * @param seconds the duration
 * @param readInStop the requests that were cut off in a planned stop after they must have
 * been read, but were not passed on
 * @param maxMemoryKilobytes the largest resident memory of a daemon
 */
record SoakResult(List<Violation> violations, Map<RequestKind, Map<Outcome, Integer>> requests, int failedConnects,
		int runs, Map<FaultKind, Integer> faults, double seconds, long readInStop, long maxMemoryKilobytes) {

	SoakResult {
		violations = List.copyOf(violations);
		requests = Map.copyOf(requests);
		faults = Map.copyOf(faults);
	}

	int requestCount() {
		return this.requests.values()
			.stream()
			.flatMap((outcomes) -> outcomes.values().stream())
			.mapToInt(Integer::intValue)
			.sum();
	}

	int faultCount() {
		return this.faults.values().stream().mapToInt(Integer::intValue).sum();
	}

	long violationCount(Promise promise) {
		Objects.requireNonNull(promise, "promise");
		return this.violations.stream().filter((violation) -> violation.promise() == promise).count();
	}

}
