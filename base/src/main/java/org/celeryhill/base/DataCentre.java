package org.celeryhill.base;

import java.util.Objects;

/**
 * Identifier of a data centre. Immutable and thread-safe.
 *
 * @param value the identifier as it is written in settings and messages, never blank
 */
public record DataCentre(String value) implements Comparable<DataCentre> {

	/**
	 * Creates an identifier.
	 * @param value the text of the identifier, not null
	 * @throws IllegalArgumentException if the text is blank
	 */
	public DataCentre {
		Objects.requireNonNull(value, "value");
		if (value.isBlank()) {
			throw new IllegalArgumentException("DataCentre must not be blank");
		}
	}

	/**
	 * Returns the identifier with the given text.
	 * @param value the text, not null
	 * @return the identifier, never null
	 * @throws IllegalArgumentException if the text is blank
	 */
	public static DataCentre of(String value) {
		return new DataCentre(value);
	}

	@Override
	public int compareTo(DataCentre other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
