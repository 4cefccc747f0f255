package org.celeryhill.measure.oddserver;

import java.util.Locale;
import java.util.Map;
import java.util.function.Function;
import java.util.function.IntFunction;
import java.util.function.ToDoubleFunction;

/**
 * Writes the figures of a sweep side by side as a Markdown table: medians of the rounds,
 * sums of violations.
 */
final class SweepTable {

	private static final double PERCENT = 100;

	private final Sweep sweep;

	private final StringBuilder text = new StringBuilder();

	private SweepTable(Sweep sweep) {
		this.sweep = sweep;
	}

	/**
	 * Formats the figures.
	 * @param sweep the figures
	 * @return the table with a line end
	 */
	static String format(Sweep sweep) {
		return new SweepTable(sweep).format();
	}

	private String format() {
		addRow("odd answers in 100", (index) -> number(this.sweep.share(index), 1));
		this.text.append("| --- |").append(" --- |".repeat(this.sweep.size())).append('\n');
		addAnswers();
		addCounts("ends in 1000: ", (run) -> run.host().failedEnds());
		addConnections();
		addCounts("attempts failed in 1000: ", (run) -> run.host().failedAttempts());
		addTimes();
		addViolations();
		addMedians("load average", ShareFigures::loadAverage);
		return this.text.toString();
	}

	private void addAnswers() {
		addMedians("requests", ShareFigures::requests);
		addMedians("own answers a second", ShareFigures::ownPerSecond);
		addRow("own answers, relative to the first share", (index) -> number(this.sweep.relativeOwn(index), 3));
		addMedians("latency of own answers p50 (ms)", ShareFigures::latencyP50);
		addMedians("latency of own answers p99 (ms)", ShareFigures::latencyP99);
		addMedians("own answers in 100", (run) -> run.percent(Answer.OWN));
		addMedians("502 in 100", (run) -> run.percent(Answer.BAD_GATEWAY));
		addMedians("503 in 100", (run) -> run.percent(Answer.NOT_RUN));
		addMedians("504 in 100", (run) -> run.percent(Answer.TIMEOUT));
		addMedians("broken streams in 100", (run) -> run.percent(Answer.BROKEN_STREAM));
	}

	private void addConnections() {
		addMedians("odd answers sent in 1000", (run) -> run.perThousand(run.oddAnswers()));
		addMedians("new connections in 1000", (run) -> run.perThousand(run.connections()));
		addMedians("sends in 1000", (run) -> run.perThousand(run.host().sends()));
		addMedians("second attempts in 1000", (run) -> run.perThousand(run.host().secondSends()));
		addMedians("sends on new connections in 1000", (run) -> run.perThousand(run.host().sendsOnNewConnections()));
		addMedians("sends that met extra bytes in 1000", (run) -> run.perThousand(run.sendsWithExtraBytes()));
		addMedians("unexpected bytes between requests in 1000", (run) -> run.perThousand(run.host().unexpectedBytes()));
	}

	private void addTimes() {
		addMedians("servers left out, times", ShareFigures::suspicions);
		addMedians("servers left out, time in 100", (run) -> PERCENT * run.leftOut());
		addMedians("callers' time waiting for a server in 100", (run) -> PERCENT * run.waited());
		addMedians("callers' time waiting for answers in 100", (run) -> PERCENT * run.answering());
	}

	private void addViolations() {
		for (String label : this.sweep.labels((run) -> run.violations().keySet())) {
			addRow("violations: " + label,
					(index) -> Long.toString(this.sweep.sum(index, (run) -> run.violations().getOrDefault(label, 0L))));
		}
	}

	private void addCounts(String prefix, Function<ShareFigures, Map<String, Long>> counts) {
		for (String label : this.sweep.labels((run) -> counts.apply(run).keySet())) {
			addMedians(prefix + label, (run) -> run.perThousand(counts.apply(run).getOrDefault(label, 0L)));
		}
	}

	private void addMedians(String label, ToDoubleFunction<ShareFigures> figure) {
		addRow(label, (index) -> number(this.sweep.median(index, figure), 1));
	}

	private void addRow(String label, IntFunction<String> cell) {
		this.text.append("| ").append(label).append(" |");
		for (int i = 0; i < this.sweep.size(); i++) {
			this.text.append(' ').append(cell.apply(i)).append(" |");
		}
		this.text.append('\n');
	}

	private static String number(double value, int digits) {
		return String.format(Locale.ROOT, "%." + digits + "f", value);
	}

}
