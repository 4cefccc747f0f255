package org.celeryhill.base;

import java.util.Objects;

/**
 * Identifier of one attempt to send a request, a command or a write. Immutable and
 * thread-safe.
 *
 * @param value the identifier as it is written in settings and messages, never blank
 */
public record AttemptId(String value) implements Comparable<AttemptId> {

	/**
	 * Creates an identifier.
	 * @param value the text of the identifier, not null
	 * @throws IllegalArgumentException if the text is blank
	 */
	public AttemptId {
		Objects.requireNonNull(value, "value");
		if (value.isBlank()) {
			throw new IllegalArgumentException("AttemptId must not be blank");
		}
	}

	/**
	 * Returns the identifier with the given text.
	 * @param value the text, not null
	 * @return the identifier, never null
	 * @throws IllegalArgumentException if the text is blank
	 */
	public static AttemptId of(String value) {
		return new AttemptId(value);
	}

	@Override
	public int compareTo(AttemptId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
