package org.celeryhill.soak;

import java.util.Objects;

/**
 * Fault of a schedule. Immutable.
 *
 * @param atMillis the time of its begin, in milliseconds since the first request
 * @param kind the kind, not null
 * @param target the index of the daemon or server
 * @param millis the duration in milliseconds; for daemons that end, the time until the
 * restart
 */
record FaultStep(long atMillis, FaultKind kind, int target, long millis) {

	FaultStep {
		Objects.requireNonNull(kind, "kind");
	}

	@Override
	public String toString() {
		return String.format("%8.3f s %s target=%d ms=%d", this.atMillis / 1e3, this.kind, this.target, this.millis);
	}

}
