package org.celeryhill.measure;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Counts the violations of each invariant. Not thread-safe.
 */
final class Violations {

	/**
	 * Time after the start of draining from which a server must get no new work, in
	 * nanoseconds.
	 */
	private static final long DRAIN_GRACE_NANOS = 5_000_000_000L;

	/** Number of violations by invariant. */
	private final Map<String, Long> counts = new LinkedHashMap<>();

	Violations() {
		for (String name : List.of("overcommitted_bytes", "unreachable_model_seconds", "false_not_run", "lost",
				"duplicated", "incomplete", "non_idempotent_run_twice", "sent_to_draining")) {
			this.counts.put(name, 0L);
		}
	}

	/**
	 * Checks that a server that gets a request is not draining.
	 * @param drainingSinceNanos the time at which draining started, in nanoseconds, -1 if
	 * the server is not draining
	 * @param now the current time, in nanoseconds
	 */
	void checkDraining(long drainingSinceNanos, long now) {
		if (drainingSinceNanos >= 0 && now - drainingSinceNanos > DRAIN_GRACE_NANOS) {
			add("sent_to_draining", 1);
		}
	}

	/**
	 * Adds violations of an invariant.
	 * @param name the name of the invariant
	 * @param amount the number to add
	 */
	void add(String name, long amount) {
		this.counts.merge(name, amount, Long::sum);
	}

	/**
	 * Checks the outcome of a job at the end of a run.
	 * @param job the job to check
	 */
	void checkOutcome(Job job) {
		if (job.outcomeCount == 0) {
			add("lost", 1);
		}
		else if (job.outcomeCount > 1) {
			add("duplicated", 1);
		}
		if (job.outcome == Job.Outcome.COMPLETED && job.deliveredTokens != job.output) {
			add("incomplete", 1);
		}
		if (job.outcome == Job.Outcome.REFUSED && job.executions > 0) {
			add("false_not_run", 1);
		}
		if (job.isBooking() && job.executions > 1) {
			add("non_idempotent_run_twice", 1);
		}
	}

	/**
	 * Returns the number of violations of all invariants.
	 * @return the numbers by name of the invariant
	 */
	Map<String, Long> counts() {
		return this.counts;
	}

	/**
	 * Returns whether any invariant was violated.
	 * @return true if a count is not zero
	 */
	boolean hasAny() {
		return this.counts.values().stream().anyMatch((count) -> count != 0);
	}

}
