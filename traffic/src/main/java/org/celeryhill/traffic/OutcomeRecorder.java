package org.celeryhill.traffic;

/**
 * Updates the failure count of a backend server and the expected output length when an
 * attempt ends.
 */
final class OutcomeRecorder {

	/**
	 * Consecutive failures from which on a broken response marks a backend server as
	 * suspect.
	 */
	private static final int SUSPECT_AFTER_FAILURES = 2;

	/** Weight of a new response in the moving average of the output length. */
	private static final double LEARNING_RATE = 0.05;

	private OutcomeRecorder() {
	}

	/**
	 * Applies the outcome of an attempt.
	 * @param pool the service of the request
	 * @param attempt the attempt that ended
	 * @param outcome how the attempt ended
	 * @param now the current time in nanoseconds
	 */
	static void recordOutcome(ServicePool pool, PendingRequest.Attempt attempt, AttemptOutcome outcome, long now) {
		BackendState backend = attempt.backend;
		if (outcome == AttemptOutcome.COMPLETED) {
			backend.consecutiveFailures = 0;
			updateOutputFraction(attempt);
			if (pool.isPlain()) {
				backend.recordTime(attempt, now);
			}
		}
		else if (outcome != AttemptOutcome.CANCELLED) {
			attempt.pending.avoid(backend.id);
		}
		if (outcome.isBackendFailure() && !backend.wasSuspectedAfter(attempt.sentNanos)) {
			backend.consecutiveFailures++;
			if (outcome == AttemptOutcome.UNREACHABLE || backend.consecutiveFailures >= SUSPECT_AFTER_FAILURES) {
				pool.markSuspect(backend, now);
			}
		}
	}

	private static void updateOutputFraction(PendingRequest.Attempt attempt) {
		int maxTokens = attempt.pending.request.maxTokens();
		if (maxTokens > 0 && attempt.tokens > 0) {
			ClassQueue queue = attempt.pending.flow.classQueue;
			double fraction = Math.min(1, (double) attempt.tokens / maxTokens);
			queue.outputFraction += LEARNING_RATE * (fraction - queue.outputFraction);
		}
	}

}
