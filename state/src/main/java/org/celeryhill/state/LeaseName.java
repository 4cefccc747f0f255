package org.celeryhill.state;

import java.util.Objects;

import org.celeryhill.base.ServiceId;

/**
 * Name of a lease, which identifies the engine group that the holder of the lease plans.
 * Immutable and thread-safe.
 *
 * @param value the name, never blank
 */
public record LeaseName(String value) implements Comparable<LeaseName> {

	/**
	 * Creates a name.
	 * @throws IllegalArgumentException if the text is blank
	 */
	public LeaseName {
		Objects.requireNonNull(value, "value");
		if (value.isBlank()) {
			throw new IllegalArgumentException("LeaseName must not be blank");
		}
	}

	/**
	 * Returns the lease name for a text.
	 * @param value the text, not null
	 * @return the name, never null
	 * @throws IllegalArgumentException if the text is blank
	 */
	public static LeaseName of(String value) {
		return new LeaseName(value);
	}

	/**
	 * Returns the name of the lease for all engines of a service.
	 * @param service the service, not null
	 * @return the name, never null
	 */
	public static LeaseName of(ServiceId service) {
		return new LeaseName(service.value());
	}

	@Override
	public int compareTo(LeaseName other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
