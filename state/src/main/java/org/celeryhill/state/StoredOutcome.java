package org.celeryhill.state;

import java.util.Arrays;
import java.util.Map;
import java.util.Objects;

/**
 * The stored response to a non-idempotent call, returned to every caller that uses the
 * same idempotency key. Immutable and thread-safe.
 *
 * @param status the HTTP status code
 * @param headers the response headers to return, not null
 * @param body the response body, not null; not copied, so callers must not modify it
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
