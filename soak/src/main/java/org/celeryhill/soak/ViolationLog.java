package org.celeryhill.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

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
		this.violations.add(new Violation(promise, this.clock.seconds(), text, Optional.empty()));
	}

	synchronized void add(Promise promise, String text, RequestRecord request) {
		this.violations.add(new Violation(promise, this.clock.seconds(), text, Optional.of(request)));
	}

	synchronized boolean isEmpty() {
		return this.violations.isEmpty();
	}

	synchronized List<Violation> all() {
		return List.copyOf(this.violations);
	}

}
