package org.celeryhill.measure.oddserver;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * What a backend server does with one request.
 *
 * @param outcome what it makes of the request, not null
 * @param oddity how it answers oddly, not null; empty for a sound answer
 * @param fraction a number from 0 to below 1 that oddities use for lengths
 * @param work the time from the request to the answer, not null
 * @param repeatDelay the time from an answer to its copy, not null
 */
record Decision(Outcome outcome, Optional<Oddity> oddity, double fraction, Duration work, Duration repeatDelay) {

	/**
	 * Creates a decision. A reset has no answer that could be odd.
	 */
	Decision {
		Objects.requireNonNull(outcome, "outcome");
		Objects.requireNonNull(work, "work");
		Objects.requireNonNull(repeatDelay, "repeatDelay");
		oddity = (outcome == Outcome.RESET) ? Optional.empty() : oddity;
	}

}
