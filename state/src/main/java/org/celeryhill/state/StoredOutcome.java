package org.celeryhill.state;

import java.util.Arrays;
import java.util.Map;
import java.util.Objects;

/**
 * The answer to a non-idempotent call, as it is given to every caller with the same key.
 * Immutable and thread-safe.
 *
 * @param status the HTTP status
 * @param headers the headers to repeat, not null
 * @param body the body, not null; not copied, callers must not change it
 */
public record StoredOutcome(int status, Map<String, String> headers, byte[] body) {

	/** Creates an outcome and copies the headers. */
	public StoredOutcome {
		Objects.requireNonNull(body, "body");
		headers = Map.copyOf(headers);
	}

	@Override
	public boolean equals(Object other) {
		return other instanceof StoredOutcome that && this.status == that.status && this.headers.equals(that.headers)
				&& Arrays.equals(this.body, that.body);
	}

	@Override
	public int hashCode() {
		return Objects.hash(this.status, this.headers, Arrays.hashCode(this.body));
	}

	@Override
	public String toString() {
		return "StoredOutcome[status=" + this.status + ", bytes=" + this.body.length + "]";
	}

}
