package org.celeryhill.measure.oddserver;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;

/**
 * Writes the figures of a sweep side by side as a Markdown table.
 */
final class SweepTable {

	private static final double PERCENT = 100;

	private final List<ShareFigures> sweep;

	private final StringBuilder text = new StringBuilder();

	private SweepTable(List<ShareFigures> sweep) {
		this.sweep = List.copyOf(sweep);
	}

	/**
	 * Formats the figures.
	 * @param sweep the figures of each share; the first one is what the others are
	 * related to
	 * @return the table with a line end
	 */
	static String format(List<ShareFigures> sweep) {
		return new SweepTable(sweep).format();
	}

	private String format() {
		addRow("odd answers in 100", (run) -> number(run.share(), 1));
		this.text.append("| --- |").append(" --- |".repeat(this.sweep.size())).append('\n');
		addAnswers();
		addLabels("ends in 1000: ", ShareFigures::failedEnds);
		addConnections();
		addLabels("attempts failed in 1000: ", ShareFigures::failedAttempts);
		addTimes();
		addLabels("violations: ", ShareFigures::violations);
		addRow("load average", (run) -> number(run.loadAverage(), 1));
		return this.text.toString();
	}

	private void addAnswers() {
		double first = this.sweep.get(0).ownPerSecond();
		addRow("requests", (run) -> Long.toString(run.requests()));
		addRow("own answers a second", (run) -> number(run.ownPerSecond(), 1));
		addRow("own answers, relative to the first share", (run) -> number(run.ownPerSecond() / first, 3));
		addRow("latency of own answers p50 / p99 (ms)",
				(run) -> number(run.latencyP50(), 1) + " / " + number(run.latencyP99(), 1));
		addNumbers("own answers in 100", (run) -> run.percent(Answer.OWN));
		addNumbers("502 in 100", (run) -> run.percent(Answer.BAD_GATEWAY));
		addNumbers("503 in 100", (run) -> run.percent(Answer.NOT_RUN));
		addNumbers("504 in 100", (run) -> run.percent(Answer.TIMEOUT));
		addNumbers("broken streams in 100", (run) -> run.percent(Answer.BROKEN_STREAM));
	}

	private void addConnections() {
		addNumbers("odd answers sent in 1000", (run) -> run.perThousand(run.oddAnswers()));
		addNumbers("new connections in 1000", (run) -> run.perThousand(run.connections()));
		addNumbers("sends in 1000", (run) -> run.perThousand(run.sends()));
		addNumbers("second attempts in 1000", (run) -> run.perThousand(run.secondSends()));
		addNumbers("sends on new connections in 1000", (run) -> run.perThousand(run.sendsOnNewConnections()));
		addNumbers("sends behind extra bytes in 1000", (run) -> run.perThousand(run.sendsBehindExtraBytes()));
		addNumbers("unexpected bytes between requests in 1000", (run) -> run.perThousand(run.unexpectedBytes()));
	}

	private void addTimes() {
		addRow("servers left out, times", (run) -> Long.toString(run.suspicions()));
		addNumbers("servers left out, time in 100", (run) -> PERCENT * run.leftOut());
		addNumbers("callers' time waiting for a server in 100", (run) -> PERCENT * run.waited());
		addNumbers("callers' time waiting for answers in 100", (run) -> PERCENT * run.answering());
	}

	private void addNumbers(String label, ToDoubleFunction<ShareFigures> value) {
		addRow(label, (run) -> number(value.applyAsDouble(run), 1));
	}

	private void addLabels(String prefix, Function<ShareFigures, Map<String, Long>> counts) {
		boolean isViolations = prefix.startsWith("violations");
		TreeSet<String> labels = new TreeSet<>();
		this.sweep.forEach((run) -> labels.addAll(counts.apply(run).keySet()));
		for (String label : labels) {
			addRow(prefix + label, (run) -> {
				long count = counts.apply(run).getOrDefault(label, 0L);
				return isViolations ? Long.toString(count) : number(run.perThousand(count), 1);
			});
		}
	}

	private void addRow(String label, Function<ShareFigures, String> cell) {
		this.text.append("| ").append(label).append(" |");
		this.sweep.forEach((run) -> this.text.append(' ').append(cell.apply(run)).append(" |"));
		this.text.append('\n');
	}

	private static String number(double value, int digits) {
		return String.format(Locale.ROOT, "%." + digits + "f", value);
	}

}
