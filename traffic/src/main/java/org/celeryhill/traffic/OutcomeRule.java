package org.celeryhill.traffic;

/**
 * What the daemon learns from the end of an attempt.
 */
final class OutcomeRule {

	/** Failures in a row after which a broken answer makes a backend server suspect. */
	private static final int BROKEN_LIMIT = 2;

	/** Weight of a new answer in the learned answer length. */
	private static final double LEARNING_RATE = 0.05;

	private OutcomeRule() {
	}

	/**
	 * Learns from the end of an attempt.
	 * @param pool the service
	 * @param attempt the attempt
	 * @param outcome how it ended
	 * @param now the time in nanoseconds
	 */
	static void learn(ServicePool pool, PendingRequest.Attempt attempt, AttemptOutcome outcome, long now) {
		BackendState backend = attempt.backend;
		if (outcome == AttemptOutcome.COMPLETED) {
			backend.failures = 0;
			learnLength(attempt);
		}
		else if (outcome != AttemptOutcome.CANCELLED) {
			attempt.pending.avoid(backend.id);
		}
		if (outcome.isBackendFailure()) {
			backend.failures++;
			if (outcome == AttemptOutcome.UNREACHABLE || backend.failures >= BROKEN_LIMIT) {
				pool.suspect(backend, now);
			}
		}
	}

	private static void learnLength(PendingRequest.Attempt attempt) {
		int max = attempt.pending.request.maxTokens();
		if (max > 0 && attempt.tokens > 0) {
			ClassQueue queue = attempt.pending.flow.parent;
			double part = Math.min(1, (double) attempt.tokens / max);
			queue.outputPart += LEARNING_RATE * (part - queue.outputPart);
		}
	}

}
