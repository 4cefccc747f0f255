package org.celeryhill.base;

import java.util.Objects;

/**
 * Identifier of a model or an adapter with its version, for example
 * {@code mill-a/furnish@3}. Immutable and thread-safe.
 *
 * @param value the identifier as it is written in settings and messages, never blank
 */
public record ModelId(String value) implements Comparable<ModelId> {

	/**
	 * Creates an identifier.
	 * @param value the text of the identifier, not null
	 * @throws IllegalArgumentException if the text is blank
	 */
	public ModelId {
		Objects.requireNonNull(value, "value");
		if (value.isBlank()) {
			throw new IllegalArgumentException("ModelId must not be blank");
		}
	}

	/**
	 * Returns the identifier with the given text.
	 * @param value the text, not null
	 * @return the identifier, never null
	 * @throws IllegalArgumentException if the text is blank
	 */
	public static ModelId of(String value) {
		return new ModelId(value);
	}

	@Override
	public int compareTo(ModelId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
