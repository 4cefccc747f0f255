package org.celeryhill.fuzz;

import java.util.List;
import java.util.Optional;

/**
 * Result of fuzzing one promise. Immutable and thread-safe.
 *
 * @param cases the number of cases that were run
 * @param steps the number of steps that were run, excluding those run for shrinking
 * @param failure the failure that ended the run, empty if the promise held
 */
record FuzzResult(long cases, long steps, Optional<Failure> failure) {

	/**
	 * A violation of a promise or an unexpected exception.
	 *
	 * @param message the violation that the oracle reported, or the exception
	 * @param step the step of the original case at which it occurred, counted from 1
	 * @param trace the shrunk steps that reproduce it
	 */
	record Failure(String message, int step, List<Step> trace) {

		Failure {
			trace = List.copyOf(trace);
		}

	}

}
