package org.celeryhill.base;

import java.util.Objects;

/**
 * Identifier of a service, such as a group of model engines or a plain service. Immutable
 * and thread-safe.
 *
 * @param value the identifier as it is written in settings and messages, never blank
 */
public record ServiceId(String value) implements Comparable<ServiceId> {

	/**
	 * Creates an identifier.
	 * @param value the text of the identifier, not null
	 * @throws IllegalArgumentException if the text is blank
	 */
	public ServiceId {
		Objects.requireNonNull(value, "value");
		if (value.isBlank()) {
			throw new IllegalArgumentException("ServiceId must not be blank");
		}
	}

	/**
	 * Returns the identifier with the given text.
	 * @param value the text, not null
	 * @return the identifier, never null
	 * @throws IllegalArgumentException if the text is blank
	 */
	public static ServiceId of(String value) {
		return new ServiceId(value);
	}

	@Override
	public int compareTo(ServiceId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
