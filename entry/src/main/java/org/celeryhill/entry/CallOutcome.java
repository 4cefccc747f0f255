package org.celeryhill.entry;

import java.util.Map;
import java.util.Objects;

import org.celeryhill.base.Execution;

/**
 * What became of a non-idempotent call. Immutable and thread-safe.
 *
 * @param execution what is known about whether it ran, not null
 * @param status the HTTP status of the answer, 0 without one
 * @param headers the headers of the answer, not null
 * @param body the body of the answer, not null; not copied
 * @param isBodyKept whether the body is complete; it is left out if it is too large
 */
record CallOutcome(Execution execution, int status, Map<String, String> headers, byte[] body, boolean isBodyKept) {

	/** Largest body that is kept for repetition, in bytes. */
	static final int MAX_KEPT_BYTES = 64 * 1024;

	CallOutcome {
		Objects.requireNonNull(execution, "execution");
		Objects.requireNonNull(body, "body");
		headers = Map.copyOf(headers);
	}

	static CallOutcome ran(int status, Map<String, String> headers, byte[] body) {
		return new CallOutcome(Execution.RAN, status, headers, body, true);
	}

	static CallOutcome unknown() {
		return new CallOutcome(Execution.UNKNOWN, 0, Map.of(), new byte[0], true);
	}

	/**
	 * Returns the outcome in the form that is stored.
	 * @return this, or a copy without a body that is too large
	 */
	CallOutcome toStored() {
		return (this.body.length <= MAX_KEPT_BYTES) ? this
				: new CallOutcome(this.execution, this.status, this.headers, new byte[0], false);
	}

}
