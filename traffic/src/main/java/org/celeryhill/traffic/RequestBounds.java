package org.celeryhill.traffic;

import java.time.Duration;
import java.util.Objects;

/**
 * Bounds of one request that are closer than those of its priority class, because several
 * routes with different targets share a class. A request with bounds is refused as soon
 * as its wait is foreseen to last too long. Immutable and thread-safe.
 *
 * @param firstToken the target for the time from the arrival to the first token, not
 * null, positive
 * @param latestStart the time from the arrival after which the request is no longer worth
 * sending, not null, positive
 * @param longestReturn the longest Retry-After that the caller follows; told a longer
 * one, it comes back before; not null, not negative
 * @param arrival whether the caller has been refused before, not null
 */
public record RequestBounds(Duration firstToken, Duration latestStart, Duration longestReturn, Arrival arrival) {

	/**
	 * Creates bounds.
	 * @throws IllegalArgumentException if the target or the latest start is not positive,
	 * or the longest return is negative
	 */
	public RequestBounds {
		Objects.requireNonNull(firstToken, "firstToken");
		Objects.requireNonNull(latestStart, "latestStart");
		Objects.requireNonNull(longestReturn, "longestReturn");
		Objects.requireNonNull(arrival, "arrival");
		if (firstToken.isNegative() || firstToken.isZero() || latestStart.isNegative() || latestStart.isZero()) {
			throw new IllegalArgumentException("firstToken and latestStart must be positive");
		}
		if (longestReturn.isNegative()) {
			throw new IllegalArgumentException("longestReturn must not be negative");
		}
	}

	/** Whether a caller has been refused before. */
	public enum Arrival {

		/** The caller comes for the first time, or has repeated its request at once. */
		FIRST,

		/** The caller comes back before the time that it was told. */
		EARLY_RETURN,

		/** The caller comes back at the time that it was told. */
		RETURN_AS_TOLD;

		/**
		 * Returns whether the caller has waited after a refusal.
		 * @return false if it comes for the first time
		 */
		public boolean isReturn() {
			return this != FIRST;
		}

	}

}
