package org.celeryhill.fuzz;

import java.util.List;
import java.util.Optional;

/**
 * Result of fuzzing one promise. Immutable and thread-safe.
 *
 * @param cases the cases that were run
 * @param steps the steps that were run, without those of shrinking
 * @param failure the failure that ended the run, empty if there was none
 */
record FuzzResult(long cases, long steps, Optional<Failure> failure) {

	/**
	 * A broken promise.
	 *
	 * @param message what the oracle saw
	 * @param step the step of the case at which the promise broke, counted from 1
	 * @param trace the shrunk steps that break it
	 */
	record Failure(String message, int step, List<Step> trace) {

		Failure {
			trace = List.copyOf(trace);
		}

	}

}
