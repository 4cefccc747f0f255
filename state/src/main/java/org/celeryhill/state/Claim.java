package org.celeryhill.state;

import java.util.Objects;

import org.celeryhill.base.AttemptId;

/**
 * Row of a claim on an idempotency key. The request digest and the serving system of a
 * claim never change. Immutable and thread-safe.
 *
 * @param attempt the attempt that wrote the claim, the only one that may send the call,
 * not null
 * @param requestDigest the digest of the request, not null
 * @param system the serving system that executes the call, not null
 * @param state the state of the call, not null
 * @param epoch the claim epoch in which the claim was written, used to delete old claims
 * @param outcome the stored response, null unless the state is {@link State#FINISHED}
 */
public record Claim(AttemptId attempt, String requestDigest, ServingSystem system, State state, long epoch,
		StoredOutcome outcome) {

	/**
	 * Creates a claim.
	 * @throws IllegalArgumentException if the state is {@link State#FINISHED} and the
	 * outcome is null, or the other way round
	 */
	public Claim {
		Objects.requireNonNull(attempt, "attempt");
		Objects.requireNonNull(requestDigest, "requestDigest");
		Objects.requireNonNull(system, "system");
		Objects.requireNonNull(state, "state");
		if ((state == State.FINISHED) != (outcome != null)) {
			throw new IllegalArgumentException("outcome must be present in state FINISHED only, state is " + state);
		}
	}

	/**
	 * Returns the claim of a call that is about to be sent.
	 * @param attempt the attempt that will send the call, not null
	 * @param requestDigest the digest of the request, not null
	 * @param system the serving system that executes the call, not null
	 * @param epoch the current claim epoch
	 * @return the claim, never null
	 */
	public static Claim running(AttemptId attempt, String requestDigest, ServingSystem system, long epoch) {
		return new Claim(attempt, requestDigest, system, State.RUNNING, epoch, null);
	}

	/**
	 * Returns whether the call is running under this claim and the claim belongs to an
	 * attempt.
	 * @param candidate the attempt, not null
	 * @return true if the claim is running and was written by the attempt
	 */
	public boolean isRunningBy(AttemptId candidate) {
		return this.state == State.RUNNING && this.attempt.equals(candidate);
	}

	/**
	 * Returns a copy in the state {@link State#FINISHED} with the response to the call.
	 * @param answer the response, not null
	 * @return the claim, never null
	 */
	public Claim asFinished(StoredOutcome answer) {
		return new Claim(this.attempt, this.requestDigest, this.system, State.FINISHED, this.epoch, answer);
	}

	/**
	 * Returns a copy in the state {@link State#UNKNOWN}, for a call that may have been
	 * executed without a known response.
	 * @return the claim, never null
	 */
	public Claim asUnknown() {
		return new Claim(this.attempt, this.requestDigest, this.system, State.UNKNOWN, this.epoch, null);
	}

	/**
	 * Returns a copy in the state {@link State#WITHDRAWN}, for a call of which no byte
	 * was sent.
	 * @return the claim, never null
	 */
	public Claim asWithdrawn() {
		return new Claim(this.attempt, this.requestDigest, this.system, State.WITHDRAWN, this.epoch, null);
	}

	/**
	 * Returns the claim of another attempt on the same key after this one was withdrawn.
	 * The serving system is kept.
	 * @param newAttempt the attempt that will send the call, not null
	 * @param newEpoch the current claim epoch
	 * @return the claim, never null
	 */
	public Claim reclaim(AttemptId newAttempt, long newEpoch) {
		return running(newAttempt, this.requestDigest, this.system, newEpoch);
	}

	/** State of a call. */
	public enum State {

		/** The call may be running. */
		RUNNING,

		/** The call was executed and its response is stored. */
		FINISHED,

		/** The call may have been executed, but its response is lost. */
		UNKNOWN,

		/** The call was not executed and the key can be claimed again. */
		WITHDRAWN

	}

}
