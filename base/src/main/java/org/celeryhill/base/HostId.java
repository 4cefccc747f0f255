package org.celeryhill.base;

import java.util.Objects;

/**
 * Identifier of an entry host, that is, of a host that runs the processes of this system.
 * Immutable and thread-safe.
 *
 * @param value the identifier as it is written in settings and messages, never blank
 */
public record HostId(String value) implements Comparable<HostId> {

	/**
	 * Creates an identifier.
	 * @param value the text of the identifier, not null
	 * @throws IllegalArgumentException if the text is blank
	 */
	public HostId {
		Objects.requireNonNull(value, "value");
		if (value.isBlank()) {
			throw new IllegalArgumentException("HostId must not be blank");
		}
	}

	/**
	 * Returns the identifier with the given text.
	 * @param value the text, not null
	 * @return the identifier, never null
	 * @throws IllegalArgumentException if the text is blank
	 */
	public static HostId of(String value) {
		return new HostId(value);
	}

	@Override
	public int compareTo(HostId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
