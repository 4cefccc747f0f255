package org.celeryhill.access;

import java.util.List;

/**
 * The API keys that a caller sent with a request, as received. Its text form contains no
 * key. Immutable and thread-safe.
 */
public final class PresentedKeys {

	/** The keys of a request that was sent without any. */
	public static final PresentedKeys NONE = new PresentedKeys(List.of());

	private final List<String> values;

	private PresentedKeys(List<String> values) {
		this.values = values;
	}

	/**
	 * Creates keys.
	 * @param values the values in the order in which they were received, not null
	 * @return the keys, never null
	 */
	public static PresentedKeys of(List<String> values) {
		return values.isEmpty() ? NONE : new PresentedKeys(List.copyOf(values));
	}

	// Returns the distinct values. A key that is sent twice is still one key.
	List<String> distinctValues() {
		return (this.values.size() > 1) ? this.values.stream().distinct().toList() : this.values;
	}

	@Override
	public String toString() {
		return "PresentedKeys[count=" + this.values.size() + "]";
	}

}
