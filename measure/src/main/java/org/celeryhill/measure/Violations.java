package org.celeryhill.measure;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Counts of broken invariants. Not thread-safe.
 */
final class Violations {

	/** Time after which a draining server must get nothing, in nanoseconds. */
	private static final long DRAIN_GRACE = 5_000_000_000L;

	/** Counts by name. */
	private final Map<String, Long> counts = new LinkedHashMap<>();

	Violations() {
		for (String name : List.of("overcommitted_bytes", "unreachable_model_seconds", "false_not_run", "lost",
				"duplicated", "incomplete", "non_idempotent_run_twice", "sent_to_draining")) {
			this.counts.put(name, 0L);
		}
	}

	/**
	 * Checks a send to a server.
	 * @param leavingSince when it began to drain, -1 if it does not
	 * @param now the time in nanoseconds
	 */
	void checkDraining(long leavingSince, long now) {
		if (leavingSince >= 0 && now - leavingSince > DRAIN_GRACE) {
			add("sent_to_draining", 1);
		}
	}

	/**
	 * Adds to a count.
	 * @param name the name
	 * @param amount the amount
	 */
	void add(String name, long amount) {
		this.counts.merge(name, amount, Long::sum);
	}

	/**
	 * Checks a job at the end of a run.
	 * @param job the job
	 */
	void checkEnd(Job job) {
		if (job.outcomes == 0) {
			add("lost", 1);
		}
		else if (job.outcomes > 1) {
			add("duplicated", 1);
		}
		if (job.outcome == Job.Outcome.COMPLETED && job.delivered != job.output) {
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
	 * Returns the counts.
	 * @return the counts by name
	 */
	Map<String, Long> counts() {
		return this.counts;
	}

	/**
	 * Returns whether any invariant was broken.
	 * @return true if a count is not zero
	 */
	boolean isAny() {
		return this.counts.values().stream().anyMatch((count) -> count != 0);
	}

}
