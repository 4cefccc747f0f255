package org.celeryhill.standin;

import java.io.PrintStream;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;

import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * Latencies and outcomes of a load run. Only requests whose intended start lies in the
 * measured period count. Thread-safe.
 */
final class LoadResults {

	/** Largest latency that is told apart, in microseconds. */
	private static final long MAX_MICROS = TimeUnit.MINUTES.toMicros(5);

	/** Time from the intended start to the first token, in microseconds. */
	private final Histogram firstToken = new ConcurrentHistogram(MAX_MICROS, 3);

	/** Time between tokens, in microseconds. */
	private final Histogram betweenTokens = new ConcurrentHistogram(MAX_MICROS, 3);

	/** Delay of starts behind their schedule, in microseconds. */
	private final Histogram startDelay = new ConcurrentHistogram(MAX_MICROS, 3);

	/** Complete answers. */
	private final LongAdder whole = new LongAdder();

	/** Answers that ended without an end marker or with a wrong number of tokens. */
	private final LongAdder incomplete = new LongAdder();

	/** Tokens. */
	private final LongAdder tokens = new LongAdder();

	/** Errors by code. */
	private final Map<String, LongAdder> errors = new ConcurrentSkipListMap<>();

	void started(long delayNanos) {
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

	void whole() {
		this.whole.increment();
	}

	void incomplete() {
		this.incomplete.increment();
	}

	void error(String code) {
		this.errors.computeIfAbsent(code, (key) -> new LongAdder()).increment();
	}

	long failures() {
		return this.incomplete.sum() + this.errors.values().stream().mapToLong(LongAdder::sum).sum();
	}

	private static long toMicros(long nanos) {
		return Math.max(0, Math.min(MAX_MICROS, TimeUnit.NANOSECONDS.toMicros(nanos)));
	}

	void print(PrintStream out, double seconds, int mostStreams) {
		out.printf("requests: whole=%d incomplete=%d errors=%s%n", this.whole.sum(), this.incomplete.sum(),
				this.errors);
		out.printf("throughput: requests_per_second=%.1f tokens_per_second=%.0f most_streams=%d%n",
				this.whole.sum() / seconds, this.tokens.sum() / seconds, mostStreams);
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
