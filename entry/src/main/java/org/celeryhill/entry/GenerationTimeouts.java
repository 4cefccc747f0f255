package org.celeryhill.entry;

import java.time.Duration;
import java.util.Objects;

/**
 * Timeouts of generations. Immutable and thread-safe.
 *
 * @param firstToken the maximum wait for the first token after sending, not null
 * @param stall the maximum wait between tokens, not null
 * @param resume the maximum wait for the first event after a resumption, not null
 */
record GenerationTimeouts(Duration firstToken, Duration stall, Duration resume) {

	GenerationTimeouts {
		Objects.requireNonNull(firstToken, "firstToken");
		Objects.requireNonNull(stall, "stall");
		Objects.requireNonNull(resume, "resume");
	}

	/**
	 * Returns the maximum wait for the next event in a phase.
	 * @param phase the phase of the attempt, not null
	 * @return the timeout in nanoseconds
	 */
	long timeoutNanos(EngineAttempt.Phase phase) {
		return switch (phase) {
			case FIRST_TOKEN -> this.firstToken.toNanos();
			case NEXT_TOKEN -> this.stall.toNanos();
			case RESUMED -> this.resume.toNanos();
		};
	}

}
