package org.celeryhill.soak;

import java.util.Objects;

/**
 * A promise that was broken. Immutable.
 *
 * @param promise the promise, not null
 * @param seconds the time since the start of the soak
 * @param text what was seen, not null
 */
record Violation(Promise promise, double seconds, String text) {

	Violation {
		Objects.requireNonNull(promise, "promise");
		Objects.requireNonNull(text, "text");
	}

}
