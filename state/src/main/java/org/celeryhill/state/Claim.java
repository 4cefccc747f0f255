package org.celeryhill.state;

import java.util.Objects;

import org.celeryhill.base.AttemptId;

/**
 * Row of a claim on an idempotency key. The request digest and the deciding system never
 * change. Immutable and thread-safe.
 *
 * @param attempt the attempt that wrote the claim and alone may send the call, not null
 * @param requestDigest the digest of the request, not null
 * @param system the system that runs the call, not null
 * @param state how far the call is, not null
 * @param epoch the claim epoch when the claim was written, for garbage collection
 * @param outcome the stored answer, null unless the state is {@link State#FINISHED}
 */
public record Claim(AttemptId attempt, String requestDigest, ServingSystem system, State state, long epoch,
		StoredOutcome outcome) {

	/**
	 * Creates a claim.
	 * @throws IllegalArgumentException if the outcome does not fit the state
	 */
	public Claim {
		Objects.requireNonNull(attempt, "attempt");
		Objects.requireNonNull(requestDigest, "requestDigest");
		Objects.requireNonNull(system, "system");
		Objects.requireNonNull(state, "state");
		if ((state == State.FINISHED) != (outcome != null)) {
			throw new IllegalArgumentException("outcome does not fit state " + state);
		}
	}

	/**
	 * Returns a new claim.
	 * @param attempt the attempt that will send the call, not null
	 * @param requestDigest the digest of the request, not null
	 * @param system the system that runs the call, not null
	 * @param epoch the claim epoch
	 * @return the claim, never null
	 */
	public static Claim running(AttemptId attempt, String requestDigest, ServingSystem system, long epoch) {
		return new Claim(attempt, requestDigest, system, State.RUNNING, epoch, null);
	}

	/**
	 * Returns whether an attempt wrote this claim and it has not ended.
	 * @param candidate the attempt, not null
	 * @return true if the attempt may send the call
	 */
	public boolean isRunningBy(AttemptId candidate) {
		return this.state == State.RUNNING && this.attempt.equals(candidate);
	}

	/**
	 * Returns the claim with the stored answer.
	 * @param answer the answer, not null
	 * @return the claim, never null
	 */
	public Claim asFinished(StoredOutcome answer) {
		return new Claim(this.attempt, this.requestDigest, this.system, State.FINISHED, this.epoch, answer);
	}

	/**
	 * Returns the claim after its writer lost track of the call.
	 * @return the claim, never null
	 */
	public Claim asUnknown() {
		return new Claim(this.attempt, this.requestDigest, this.system, State.UNKNOWN, this.epoch, null);
	}

	/**
	 * Returns the claim after its writer gave it up without sending a byte.
	 * @return the claim, never null
	 */
	public Claim asWithdrawn() {
		return new Claim(this.attempt, this.requestDigest, this.system, State.WITHDRAWN, this.epoch, null);
	}

	/**
	 * Returns the claim of another attempt after this one was withdrawn. The deciding
	 * system is kept.
	 * @param newAttempt the attempt that will send the call, not null
	 * @param newEpoch the claim epoch
	 * @return the claim, never null
	 */
	public Claim reclaim(AttemptId newAttempt, long newEpoch) {
		return running(newAttempt, this.requestDigest, this.system, newEpoch);
	}

	/** How far a call is. */
	public enum State {

		/** The call may be running. */
		RUNNING,

		/** The call has run and its answer is stored. */
		FINISHED,

		/** The call may have run; nobody knows its answer. */
		UNKNOWN,

		/** The call was not run; the key can be claimed again. */
		WITHDRAWN

	}

}
