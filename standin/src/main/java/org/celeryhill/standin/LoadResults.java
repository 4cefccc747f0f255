package org.celeryhill.standin;

import java.io.PrintStream;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;

import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * Latencies and outcomes of the requests of a load run. The caller passes only requests
 * whose scheduled start lies in the measured period. Thread-safe.
 */
final class LoadResults {

	/** Largest latency that is recorded, in microseconds; longer ones count as this. */
	private static final long MAX_LATENCY_MICROS = TimeUnit.MINUTES.toMicros(5);

	/** Time from the scheduled start to the first token, in microseconds. */
	private final Histogram firstToken = new ConcurrentHistogram(MAX_LATENCY_MICROS, 3);

	/** Time between consecutive tokens of a stream, in microseconds. */
	private final Histogram betweenTokens = new ConcurrentHistogram(MAX_LATENCY_MICROS, 3);

	/** Time from the scheduled to the actual start, in microseconds. */
	private final Histogram startDelay = new ConcurrentHistogram(MAX_LATENCY_MICROS, 3);

	/** Number of complete streams. */
	private final LongAdder completeStreams = new LongAdder();

	/** Number of streams without an end marker or with a wrong number of tokens. */
	private final LongAdder incompleteStreams = new LongAdder();

	/** Number of tokens received. */
	private final LongAdder tokens = new LongAdder();

	/** Number of errors by code. */
	private final Map<String, LongAdder> errors = new ConcurrentSkipListMap<>();

	void recordStart(long delayNanos) {
		this.startDelay.recordValue(toMicros(delayNanos));
	}

	void firstToken(long nanos) {
		this.tokens.increment();
		this.firstToken.recordValue(toMicros(nanos));
	}

	void nextToken(long nanos) {
		this.tokens.increment();
		this.betweenTokens.recordValue(toMicros(nanos));
	}

	void recordComplete() {
		this.completeStreams.increment();
	}

	void recordIncomplete() {
		this.incompleteStreams.increment();
	}

	void recordError(String code) {
		this.errors.computeIfAbsent(code, (key) -> new LongAdder()).increment();
	}

	long countFailures() {
		return this.incompleteStreams.sum() + this.errors.values().stream().mapToLong(LongAdder::sum).sum();
	}

	private static long toMicros(long nanos) {
		return Math.max(0, Math.min(MAX_LATENCY_MICROS, TimeUnit.NANOSECONDS.toMicros(nanos)));
	}

	void print(PrintStream out, double seconds, int maxActiveStreams) {
		out.printf("requests: whole=%d incomplete=%d errors=%s%n", this.completeStreams.sum(),
				this.incompleteStreams.sum(), this.errors);
		out.printf("throughput: requests_per_second=%.1f tokens_per_second=%.0f most_streams=%d%n",
				this.completeStreams.sum() / seconds, this.tokens.sum() / seconds, maxActiveStreams);
		print(out, "first_token_ms", this.firstToken);
		print(out, "between_tokens_ms", this.betweenTokens);
		print(out, "start_delay_ms", this.startDelay);
	}

	private static void print(PrintStream out, String name, Histogram histogram) {
		out.printf("%s: p50=%.2f p95=%.2f p99=%.2f max=%.2f count=%d%n", name, histogram.getValueAtPercentile(50) / 1e3,
				histogram.getValueAtPercentile(95) / 1e3, histogram.getValueAtPercentile(99) / 1e3,
				histogram.getMaxValue() / 1e3, histogram.getTotalCount());
	}

}
