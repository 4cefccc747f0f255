package org.celeryhill.traffic;

import java.util.ArrayList;
import java.util.List;

import org.celeryhill.base.RequestId;

/**
 * Bounded record of decisions; the oldest is overwritten. Text is made only when it is
 * read. Not thread-safe.
 */
final class DecisionLog {

	/** Entries in the order of a ring. */
	private final Entry[] ring;

	/** Number of decisions ever recorded. */
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
	 * @param now the time in nanoseconds
	 * @param what the decision
	 * @param subject the backend server or reason, may be null
	 * @param estimate the expected milliseconds to the first token or of waiting
	 */
	void add(RequestId request, long now, String what, Object subject, double estimate) {
		this.ring[(int) (this.count % this.ring.length)] = new Entry(request, now, what, subject, estimate);
		this.count++;
	}

	/**
	 * Returns the decisions about a request.
	 * @param request the request
	 * @return the lines, oldest first
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

	private record Entry(RequestId request, long now, String what, Object subject, double estimate) {

		String toLine() {
			String about = (this.subject != null) ? " subject=" + this.subject : "";
			return "at_nanos=" + this.now + " decision=" + this.what + about + " estimate_ms="
					+ Math.round(this.estimate * 10) / 10.0;
		}

	}

}
