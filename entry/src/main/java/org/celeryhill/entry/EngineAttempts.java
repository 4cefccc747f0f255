package org.celeryhill.entry;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

import org.celeryhill.base.AttemptId;
import org.celeryhill.traffic.AttemptOutcome;

/**
 * The running attempts of one generation. There is more than one only while the
 * generation is hedged and has received no token. Guarded by the lock of its
 * {@link GenerationRelay}.
 */
final class EngineAttempts {

	/** Receives the outcomes of attempts. */
	private final AttemptRouter router;

	/** Running attempts in the order in which they were sent. */
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

	List<EngineAttempt> snapshot() {
		return List.copyOf(this.running.values());
	}

	/**
	 * Returns whether an attempt has received its first token or was resumed.
	 * @return true if no hedge may start
	 */
	boolean hasToken() {
		return this.running.values().stream().anyMatch((attempt) -> attempt.phase() != EngineAttempt.Phase.FIRST_TOKEN);
	}

	/**
	 * Ends one attempt and reports its outcome.
	 * @param attempt the attempt, not null
	 * @param outcome how the attempt ended, not null
	 * @param isCancelled whether the engine is asked to stop the stream
	 */
	void end(EngineAttempt attempt, AttemptOutcome outcome, boolean isCancelled) {
		this.running.remove(attempt.id());
		if (isCancelled) {
			attempt.cancel();
		}
		else {
			attempt.unsubscribe();
		}
		this.router.finishAttempt(attempt.id(), outcome);
	}

	/**
	 * Cancels all attempts except one.
	 * @param kept the attempt to keep, whose tokens are delivered, not null
	 */
	void cancelOthers(EngineAttempt kept) {
		if (this.running.size() > 1) {
			snapshot().stream()
				.filter((other) -> other != kept)
				.forEach((other) -> end(other, AttemptOutcome.CANCELLED, true));
		}
	}

	/**
	 * Ends all attempts.
	 * @param isCancelled whether the engines are asked to stop the streams
	 */
	void endAll(boolean isCancelled) {
		snapshot().forEach((attempt) -> end(attempt, AttemptOutcome.CANCELLED, isCancelled));
	}

}
