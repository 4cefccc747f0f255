package org.celeryhill.quota;

import java.util.Objects;

/**
 * Limit on the requests of one organisation over all hosts. Immutable and thread-safe.
 *
 * @param unit what is counted, not null
 * @param ratePerSecond the units that become available each second, positive
 * @param burst the largest number of units that are available at once, positive
 * @param defaultTokens the units of a request that states no token counts, if tokens are
 * counted; not negative
 */
public record QuotaLimit(Unit unit, double ratePerSecond, double burst, long defaultTokens) {

	/**
	 * Creates a limit.
	 * @throws IllegalArgumentException if the rate or the burst is not a positive number,
	 * or the default is negative
	 */
	public QuotaLimit {
		Objects.requireNonNull(unit, "unit");
		boolean isPositive = ratePerSecond > 0 && burst > 0;
		if (!isPositive || Double.isInfinite(ratePerSecond) || Double.isInfinite(burst) || defaultTokens < 0) {
			throw new IllegalArgumentException("rate and burst must be positive, the default tokens not negative");
		}
	}

	/**
	 * What a limit counts.
	 */
	public enum Unit {

		/** Each request counts as one. */
		REQUESTS {
			@Override
			public long cost(long tokens) {
				return 1;
			}
		},

		/** Each request counts as its tokens. */
		TOKENS {
			@Override
			public long cost(long tokens) {
				return tokens;
			}
		};

		/**
		 * Returns the units of a request.
		 * @param tokens the tokens of the request, not negative
		 * @return the units, not negative
		 */
		public abstract long cost(long tokens);

	}

}
