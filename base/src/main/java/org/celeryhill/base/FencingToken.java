package org.celeryhill.base;

/**
 * Number that grows with each grant of a lease, so that a receiver can reject commands of
 * an earlier holder. Immutable and thread-safe.
 *
 * @param value the number, zero or more; zero precedes every granted lease
 */
public record FencingToken(long value) implements Comparable<FencingToken> {

	/** Token that precedes every granted lease. */
	public static final FencingToken ZERO = new FencingToken(0);

	/**
	 * Creates a token.
	 * @param value the number
	 * @throws IllegalArgumentException if the number is negative
	 */
	public FencingToken {
		if (value < 0) {
			throw new IllegalArgumentException("fencing token must not be negative: " + value);
		}
	}

	/**
	 * Returns the token of the next grant.
	 * @return a token one higher, never null
	 */
	public FencingToken next() {
		return new FencingToken(this.value + 1);
	}

	@Override
	public int compareTo(FencingToken other) {
		return Long.compare(this.value, other.value);
	}

}
