package org.celeryhill.base;

import java.util.Objects;

/**
 * Identifier of one request from a caller. Immutable and thread-safe.
 *
 * @param value the identifier as it is written in settings and messages, never blank
 */
public record RequestId(String value) implements Comparable<RequestId> {

	/**
	 * Creates an identifier.
	 * @param value the text of the identifier, not null
	 * @throws IllegalArgumentException if the text is blank
	 */
	public RequestId {
		Objects.requireNonNull(value, "value");
		if (value.isBlank()) {
			throw new IllegalArgumentException("RequestId must not be blank");
		}
	}

	/**
	 * Returns the identifier with the given text.
	 * @param value the text, not null
	 * @return the identifier, never null
	 * @throws IllegalArgumentException if the text is blank
	 */
	public static RequestId of(String value) {
		return new RequestId(value);
	}

	@Override
	public int compareTo(RequestId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
