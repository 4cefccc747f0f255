package org.celeryhill.traffic;

import java.util.ArrayDeque;

import org.celeryhill.base.PriorityClass;

/**
 * Decides which running requests get a second attempt: urgent, idempotent requests that
 * have produced no token although most of their target for the first token has passed.
 * Hedges are limited by a budget, and the controller sends none while requests wait. Not
 * thread-safe.
 */
final class HedgePolicy {

	/** Fraction of the target for the first token after which a hedge is due. */
	private static final double DELAY_FRACTION = 0.6;

	/** Largest number of hedges that may be sent in one burst. */
	private static final double MAX_BURST = 5;

	/** Budget of hedges, a fraction of the urgent requests. */
	private final TokenBucket budget;

	/** Attempts that may need a hedge, in the order in which they were sent. */
	private final ArrayDeque<PendingRequest.Attempt> watchedAttempts = new ArrayDeque<>();

	/**
	 * Creates a policy.
	 * @param fraction the hedges allowed per urgent request
	 */
	HedgePolicy(double fraction) {
		this.budget = new TokenBucket(fraction, (fraction > 0) ? MAX_BURST : 0);
	}

	/**
	 * Watches an attempt if its request may be hedged.
	 * @param attempt the attempt
	 */
	void watch(PendingRequest.Attempt attempt) {
		TrafficRequest request = attempt.pending.request;
		if (request.priority() == PriorityClass.URGENT && request.isIdempotent() && !attempt.pending.isHedged) {
			this.budget.deposit();
			this.watchedAttempts.addLast(attempt);
		}
	}

	/**
	 * Returns the next attempt whose request is due for a hedge and stops watching it.
	 * @param now the current time in nanoseconds
	 * @return the attempt, null if none is due
	 */
	PendingRequest.Attempt pollDue(long now) {
		while (!this.watchedAttempts.isEmpty()) {
			PendingRequest.Attempt attempt = this.watchedAttempts.peekFirst();
			if (attempt.tokens == 0 && !attempt.isEnded && now - attempt.sentNanos < delayNanos(attempt)) {
				return null;
			}
			this.watchedAttempts.pollFirst();
			if (attempt.tokens == 0 && !attempt.isEnded) {
				return attempt;
			}
		}
		return null;
	}

	/**
	 * Takes a permit for one hedge if the budget allows it.
	 * @return true if a permit was taken
	 */
	boolean tryAcquire() {
		return this.budget.tryAcquire();
	}

	private static double delayNanos(PendingRequest.Attempt attempt) {
		return attempt.pending.firstTokenTargetNanos * DELAY_FRACTION;
	}

}
