package org.celeryhill.traffic;

import java.util.ArrayDeque;

import org.celeryhill.base.PriorityClass;

/**
 * Decides which running requests get a second attempt: urgent, idempotent ones without a
 * token after most of their target has passed, within a budget, never while requests
 * wait. Not thread-safe.
 */
final class HedgeRule {

	/** Part of the target for the first token after which a hedge is due. */
	private static final double DELAY_PART = 0.6;

	/** Hedges that may be sent in one burst. */
	private static final double BURST = 5;

	/** Budget as a part of the urgent requests. */
	private final TokenBucket budget;

	/** Requests that may need a hedge, in the order in which it is due. */
	private final ArrayDeque<PendingRequest.Attempt> watched = new ArrayDeque<>();

	/**
	 * Creates a rule.
	 * @param fraction the hedges allowed per urgent request
	 */
	HedgeRule(double fraction) {
		this.budget = new TokenBucket(fraction, (fraction > 0) ? BURST : 0);
	}

	/**
	 * Watches a first attempt.
	 * @param attempt the attempt
	 */
	void watch(PendingRequest.Attempt attempt) {
		TrafficRequest request = attempt.pending.request;
		if (request.priority() == PriorityClass.URGENT && request.isIdempotent() && !attempt.pending.isHedged) {
			this.budget.deposit();
			this.watched.addLast(attempt);
		}
	}

	/**
	 * Returns the next attempt whose request is due for a hedge, and stops watching it.
	 * @param now the time in nanoseconds
	 * @return the attempt, null if none is due
	 */
	PendingRequest.Attempt nextDue(long now) {
		while (!this.watched.isEmpty()) {
			PendingRequest.Attempt attempt = this.watched.peekFirst();
			if (attempt.tokens == 0 && !attempt.isEnded && now - attempt.sent < delay(attempt)) {
				return null;
			}
			this.watched.pollFirst();
			if (attempt.tokens == 0 && !attempt.isEnded) {
				return attempt;
			}
		}
		return null;
	}

	/**
	 * Takes a permit for one hedge.
	 * @return whether one was left
	 */
	boolean take() {
		return this.budget.take();
	}

	private static double delay(PendingRequest.Attempt attempt) {
		return attempt.pending.target.firstToken().toNanos() * DELAY_PART;
	}

}
