package org.celeryhill.access;

import java.util.Locale;
import java.util.Objects;
import java.util.Optional;

/**
 * Result of the check of a request's keys. Immutable and thread-safe.
 */
public sealed interface AccessDecision {

	/**
	 * The request may be served.
	 *
	 * @param organisation the organisation of the request, not null; empty if the request
	 * needs no key
	 */
	record Granted(Optional<Organisation> organisation) implements AccessDecision {

		/** Creates a decision. */
		public Granted {
			Objects.requireNonNull(organisation, "organisation");
		}

	}

	/**
	 * The request may not be served.
	 *
	 * @param reason why, not null
	 */
	record Denied(Reason reason) implements AccessDecision {

		/** Creates a decision. */
		public Denied {
			Objects.requireNonNull(reason, "reason");
		}

	}

	/**
	 * Why a request may not be served.
	 */
	enum Reason {

		/** It has no key, or an empty one. */
		KEY_MISSING,

		/** It has different keys, so that its organisation is ambiguous. */
		SEVERAL_KEYS,

		/** Its key is longer than any key may be, or contains control characters. */
		KEY_MALFORMED,

		/** Its key belongs to no organisation. */
		KEY_UNKNOWN;

		/**
		 * Returns the name used in logs and metrics.
		 * @return the lower-case name, never null
		 */
		public String toLabel() {
			return name().toLowerCase(Locale.ROOT);
		}

	}

}
