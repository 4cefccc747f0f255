package org.celeryhill.base;

import java.util.Objects;

/**
 * Identifier of a region, a group of data centres. Immutable and thread-safe.
 *
 * @param value the identifier as it is written in settings and messages, never blank
 */
public record Region(String value) implements Comparable<Region> {

	/**
	 * Creates an identifier.
	 * @param value the text of the identifier, not null
	 * @throws IllegalArgumentException if the text is blank
	 */
	public Region {
		Objects.requireNonNull(value, "value");
		if (value.isBlank()) {
			throw new IllegalArgumentException("Region must not be blank");
		}
	}

	/**
	 * Returns the identifier with the given text.
	 * @param value the text, not null
	 * @return the identifier, never null
	 * @throws IllegalArgumentException if the text is blank
	 */
	public static Region of(String value) {
		return new Region(value);
	}

	@Override
	public int compareTo(Region other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
