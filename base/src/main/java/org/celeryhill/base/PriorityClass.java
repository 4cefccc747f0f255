package org.celeryhill.base;

import java.util.Locale;
import java.util.Objects;

/**
 * Priority class of a request, from most to least urgent. Immutable and thread-safe.
 */
public enum PriorityClass {

	/** Requests that a person is waiting for; they have the strictest latency targets. */
	URGENT,

	/** Ordinary interactive requests. */
	NORMAL,

	/** Bulk requests, such as those for reports and letters. */
	BATCH;

	/**
	 * Returns whether this class is more urgent than another.
	 * @param other the class to compare with, not null
	 * @return true if this class is strictly more urgent
	 */
	public boolean isMoreUrgentThan(PriorityClass other) {
		return ordinal() < Objects.requireNonNull(other, "other").ordinal();
	}

	/**
	 * Returns the name used in settings, headers and metrics.
	 * @return the lower-case name, never null
	 */
	public String toLabel() {
		return name().toLowerCase(Locale.ROOT);
	}

	/**
	 * Parses a label as returned by {@link #toLabel()}.
	 * @param label the label, not null
	 * @return the class, never null
	 * @throws IllegalArgumentException if no class has the label
	 */
	public static PriorityClass parse(String label) {
		Objects.requireNonNull(label, "label");
		for (PriorityClass priority : values()) {
			if (priority.toLabel().equals(label)) {
				return priority;
			}
		}
		throw new IllegalArgumentException("unknown priority class '" + label + "', expected urgent, normal or batch");
	}

}
