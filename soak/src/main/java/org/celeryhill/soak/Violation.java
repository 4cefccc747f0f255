package org.celeryhill.soak;

import java.util.Objects;
import java.util.Optional;

/**
 * A promise that was broken. Immutable, but for what happens to the request later.
 *
 * @param promise the promise, not null
 * @param seconds the time since the start of the soak
 * @param text what was seen, not null
 * @param request the request, empty if it concerns none, not null
 */
record Violation(Promise promise, double seconds, String text, Optional<RequestRecord> request) {

	Violation {
		Objects.requireNonNull(promise, "promise");
		Objects.requireNonNull(text, "text");
		Objects.requireNonNull(request, "request");
	}

	String describe() {
		return String.format("%8.3f s %s %s%s", this.seconds, this.promise, this.text,
				this.request.map((one) -> ": " + one.describe()).orElse(""));
	}

}
