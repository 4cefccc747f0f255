package org.celeryhill.entry;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

import org.celeryhill.base.AttemptId;
import org.celeryhill.traffic.AttemptOutcome;

/**
 * The running attempts of one generation; more than one only while it is hedged and has
 * no token. Guarded by the lock of its {@link StreamRelay}.
 */
final class EngineAttempts {

	/** Told of attempts that end. */
	private final AttemptRouter router;

	/** Attempts in the order of sending. */
	private final Map<AttemptId, EngineAttempt> running = new LinkedHashMap<>(2);

	EngineAttempts(AttemptRouter router) {
		this.router = Objects.requireNonNull(router, "router");
	}

	void add(EngineAttempt attempt) {
		this.running.put(attempt.id(), attempt);
	}

	boolean contains(EngineAttempt attempt) {
		return this.running.get(attempt.id()) == attempt;
	}

	boolean isEmpty() {
		return this.running.isEmpty();
	}

	EngineAttempt first() {
		return this.running.values().iterator().next();
	}

	List<EngineAttempt> copy() {
		return List.copyOf(this.running.values());
	}

	/**
	 * Returns whether an attempt is past its first token.
	 * @return true if no hedge may start
	 */
	boolean hasToken() {
		return this.running.values().stream().anyMatch((attempt) -> attempt.phase() != EngineAttempt.Phase.FIRST_TOKEN);
	}

	/**
	 * Ends one attempt.
	 * @param attempt the attempt, not null
	 * @param outcome how it ended, not null
	 * @param isCancelled whether the engine may still run it and is to stop
	 */
	void end(EngineAttempt attempt, AttemptOutcome outcome, boolean isCancelled) {
		this.running.remove(attempt.id());
		if (isCancelled) {
			attempt.cancel();
		}
		else {
			attempt.disconnect();
		}
		this.router.finish(attempt.id(), outcome);
	}

	/**
	 * Cancels all attempts but the one that answers.
	 * @param winner the attempt that answers, not null
	 */
	void cancelOthers(EngineAttempt winner) {
		if (this.running.size() > 1) {
			copy().stream()
				.filter((other) -> other != winner)
				.forEach((other) -> end(other, AttemptOutcome.CANCELLED, true));
		}
	}

	/**
	 * Ends all attempts.
	 * @param isCancelled whether the engines are to stop
	 */
	void endAll(boolean isCancelled) {
		copy().forEach((attempt) -> end(attempt, AttemptOutcome.CANCELLED, isCancelled));
	}

}
