package org.celeryhill.entry;

import java.time.Duration;
import java.util.Objects;

/**
 * Timeouts of generations. Immutable and thread-safe.
 *
 * @param firstToken the longest wait for the first token after sending, not null
 * @param stall the longest wait between tokens, not null
 * @param resume the longest wait for the first event after a resumption, not null
 */
record GenerationLimits(Duration firstToken, Duration stall, Duration resume) {

	GenerationLimits {
		Objects.requireNonNull(firstToken, "firstToken");
		Objects.requireNonNull(stall, "stall");
		Objects.requireNonNull(resume, "resume");
	}

	/**
	 * Returns the longest wait in a phase.
	 * @param phase the phase, not null
	 * @return the time in nanoseconds
	 */
	long nanos(EngineAttempt.Phase phase) {
		return switch (phase) {
			case FIRST_TOKEN -> this.firstToken.toNanos();
			case NEXT_TOKEN -> this.stall.toNanos();
			case RESUMED -> this.resume.toNanos();
		};
	}

}
