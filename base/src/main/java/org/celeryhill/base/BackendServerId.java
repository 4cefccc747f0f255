package org.celeryhill.base;

import java.util.Objects;

/**
 * Identifier of a backend server: a model engine or a plain service. Immutable and
 * thread-safe.
 *
 * @param value the identifier as it is written in settings and messages, never blank
 */
public record BackendServerId(String value) implements Comparable<BackendServerId> {

	/**
	 * Creates an identifier.
	 * @param value the text of the identifier, not null
	 * @throws IllegalArgumentException if the text is blank
	 */
	public BackendServerId {
		Objects.requireNonNull(value, "value");
		if (value.isBlank()) {
			throw new IllegalArgumentException("BackendServerId must not be blank");
		}
	}

	/**
	 * Returns the identifier with the given text.
	 * @param value the text, not null
	 * @return the identifier, never null
	 * @throws IllegalArgumentException if the text is blank
	 */
	public static BackendServerId of(String value) {
		return new BackendServerId(value);
	}

	@Override
	public int compareTo(BackendServerId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
