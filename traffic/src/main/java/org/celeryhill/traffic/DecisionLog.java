package org.celeryhill.traffic;

import java.util.ArrayList;
import java.util.List;

import org.celeryhill.base.RequestId;

/**
 * Bounded log of decisions in memory that overwrites the oldest entry. Entries are
 * formatted only when they are read. Not thread-safe.
 */
final class DecisionLog {

	/** Ring buffer of the entries. */
	private final Entry[] ring;

	/** Number of decisions recorded so far. */
	private long count;

	/**
	 * Creates an empty log.
	 * @param size the number of decisions kept
	 */
	DecisionLog(int size) {
		this.ring = new Entry[size];
	}

	/**
	 * Records a decision.
	 * @param request the request
	 * @param now the current time in nanoseconds
	 * @param decision the kind of decision
	 * @param subject the backend server, attempt, outcome or reason, may be null
	 * @param estimate a time in milliseconds: the expected time to the first token of a
	 * send or hedge, the duration of a finished attempt, or the retry delay of a refusal
	 */
	void record(RequestId request, long now, String decision, Object subject, double estimate) {
		this.ring[(int) (this.count % this.ring.length)] = new Entry(request, now, decision, subject, estimate);
		this.count++;
	}

	/**
	 * Returns the decisions about a request.
	 * @param request the request
	 * @return one line for each decision, oldest first
	 */
	List<String> explain(RequestId request) {
		List<String> lines = new ArrayList<>();
		long first = Math.max(0, this.count - this.ring.length);
		for (long i = first; i < this.count; i++) {
			Entry entry = this.ring[(int) (i % this.ring.length)];
			if (entry.request.equals(request)) {
				lines.add(entry.toLine());
			}
		}
		return lines;
	}

	private record Entry(RequestId request, long atNanos, String decision, Object subject, double estimate) {

		String toLine() {
			String about = (this.subject != null) ? " subject=" + this.subject : "";
			return "at_nanos=" + this.atNanos + " decision=" + this.decision + about + " estimate_ms="
					+ Math.round(this.estimate * 10) / 10.0;
		}

	}

}
