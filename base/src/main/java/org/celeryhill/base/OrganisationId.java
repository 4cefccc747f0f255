package org.celeryhill.base;

import java.util.Objects;

/**
 * Identifier of an organisation whose models are served. Immutable and thread-safe.
 *
 * @param value the identifier as it is written in settings and messages, never blank
 */
public record OrganisationId(String value) implements Comparable<OrganisationId> {

	/**
	 * Creates an identifier.
	 * @param value the text of the identifier, not null
	 * @throws IllegalArgumentException if the text is blank
	 */
	public OrganisationId {
		Objects.requireNonNull(value, "value");
		if (value.isBlank()) {
			throw new IllegalArgumentException("OrganisationId must not be blank");
		}
	}

	/**
	 * Returns the identifier with the given text.
	 * @param value the text, not null
	 * @return the identifier, never null
	 * @throws IllegalArgumentException if the text is blank
	 */
	public static OrganisationId of(String value) {
		return new OrganisationId(value);
	}

	@Override
	public int compareTo(OrganisationId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
