package org.celeryhill.entry;

import org.celeryhill.base.AttemptId;
import org.celeryhill.base.OrganisationId;

/**
 * Claims of non-idempotent calls, kept in the table service. Calls block. Thread-safe.
 */
interface CallClaims {

	/**
	 * Claims a key, or says what became of an earlier claim.
	 * @param organisation the caller, not null
	 * @param key the idempotency key, not null
	 * @param attempt the unique id of this claim, not null
	 * @param digest the digest of the request, not null
	 * @param system the system that is to run the call if the claim is won, not null
	 * @return the result, never null
	 */
	Result claim(OrganisationId organisation, String key, AttemptId attempt, String digest, ServingSystem system);

	/** Result of a claim. */
	sealed interface Result permits Won, Running, Finished, KeyReused, Unavailable {

	}

	/** A claim that was won; only its holder may send the call. */
	non-sealed interface Won extends Result {

		/**
		 * Returns the system that runs the call, as the row says.
		 * @return the system, never null
		 */
		ServingSystem system();

		/**
		 * Stores the outcome. Blocks; may be repeated.
		 * @param outcome the outcome, not null
		 * @return whether the outcome is stored
		 */
		boolean complete(CallOutcome outcome);

		/**
		 * Gives the key back, since the call certainly did not run and will not. Blocks;
		 * may be repeated.
		 * @return whether the key is free or its row says that the call did not run
		 */
		boolean release();

	}

	/** Another claim of the key runs. */
	record Running() implements Result {

	}

	/**
	 * The call has an outcome, which may be unknown.
	 *
	 * @param outcome the outcome, not null
	 */
	record Finished(CallOutcome outcome) implements Result {

	}

	/** The key was claimed for another request. */
	record KeyReused() implements Result {

	}

	/**
	 * The claim was not written, and the call was not sent.
	 *
	 * @param reason a short text for logs, not null
	 */
	record Unavailable(String reason) implements Result {

	}

}
