package org.celeryhill.measure.oddserver;

import java.util.EnumMap;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;

import org.HdrHistogram.Histogram;
import org.HdrHistogram.SynchronizedHistogram;

/**
 * Counts what the callers got. Thread-safe.
 */
final class CallerFigures {

	private static final int SIGNIFICANT_DIGITS = 3;

	private final Map<Answer, LongAdder> answers = new EnumMap<>(Answer.class);

	private final Queue<String> refusedRequests = new ConcurrentLinkedQueue<>();

	private final Histogram ownLatencyMicros = new SynchronizedHistogram(SIGNIFICANT_DIGITS);

	private final LongAdder answerNanos = new LongAdder();

	CallerFigures() {
		for (Answer answer : Answer.values()) {
			this.answers.put(answer, new LongAdder());
		}
	}

	/**
	 * Records the end of a request.
	 * @param requestId the id of the request
	 * @param answer what the caller got
	 * @param nanos the time since the caller opened its connection
	 */
	void record(String requestId, Answer answer, long nanos) {
		this.answers.get(answer).increment();
		this.answerNanos.add(nanos);
		if (answer == Answer.OWN) {
			this.ownLatencyMicros.recordValue(TimeUnit.NANOSECONDS.toMicros(nanos));
		}
		else if (answer == Answer.NOT_RUN) {
			this.refusedRequests.add(requestId);
		}
	}

	long count(Answer answer) {
		return this.answers.get(answer).sum();
	}

	long count() {
		return this.answers.values().stream().mapToLong(LongAdder::sum).sum();
	}

	double ownLatencyMillis(double percentile) {
		return this.ownLatencyMicros.getValueAtPercentile(percentile) / 1e3;
	}

	/**
	 * Returns the time that all callers together have waited for answers.
	 * @return the time in seconds
	 */
	double answerSeconds() {
		return this.answerNanos.sum() / 1e9;
	}

	/**
	 * Counts the refused requests that a server has run.
	 * @param ledger the runs of the servers
	 * @return the number of requests
	 */
	long countRefusedRuns(RunLedger ledger) {
		return this.refusedRequests.stream().filter((id) -> !ledger.runsOf(id).isEmpty()).count();
	}

}
