package org.celeryhill.quota;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * Result of a request for admission. Immutable and thread-safe.
 */
public sealed interface QuotaDecision {

	/**
	 * The request is within the quota and its units are taken.
	 */
	record Admitted() implements QuotaDecision {
	}

	/**
	 * The request is beyond the quota and no units are taken.
	 *
	 * @param reason why, not null
	 * @param retryAfter the time until the units will probably be available to this
	 * request, not null; empty if they never will
	 */
	record Rejected(Reason reason, Optional<Duration> retryAfter) implements QuotaDecision {

		/** Creates a rejection. */
		public Rejected {
			Objects.requireNonNull(reason, "reason");
			Objects.requireNonNull(retryAfter, "retryAfter");
		}

	}

	/**
	 * Why a request is rejected.
	 */
	enum Reason {

		/** The organisation has used its quota. */
		EXHAUSTED,

		/** The request is larger than the burst. */
		LARGER_THAN_BURST,

		/** This host has no share of the quota and hears from no other host. */
		NO_SHARE

	}

}
