package org.celeryhill.soak;

import java.util.ArrayList;
import java.util.List;

/**
 * Violations of a soak, in the order in which they were found. Thread-safe.
 */
final class ViolationLog {

	private final List<Violation> violations = new ArrayList<>();

	private final SoakClock clock;

	ViolationLog(SoakClock clock) {
		this.clock = clock;
	}

	synchronized void add(Promise promise, String text) {
		this.violations.add(new Violation(promise, this.clock.seconds(), text));
	}

	synchronized boolean isEmpty() {
		return this.violations.isEmpty();
	}

	synchronized List<Violation> all() {
		return List.copyOf(this.violations);
	}

}
