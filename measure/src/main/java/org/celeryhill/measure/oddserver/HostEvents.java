package org.celeryhill.measure.oddserver;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

import org.celeryhill.forward.Forwarder;

/**
 * Counts the events that the data path logs. Takes the place of the log's output while it
 * is installed. Thread-safe.
 */
final class HostEvents extends Handler {

	private static final Logger DATA_PATH = Logger.getLogger(Forwarder.class.getPackageName());

	/** Reasons and causes have details after this. */
	private static final char DETAIL_SEPARATOR = ':';

	private final Map<String, Long> failedEnds = new HashMap<>();

	private final Map<String, Long> failedAttempts = new HashMap<>();

	private final Map<String, Long> waitingSince = new HashMap<>();

	private long sends;

	private long secondSends;

	private long sendsOnNewConnections;

	private long unexpectedBytes;

	private long waitedNanos;

	/**
	 * Starts to receive the events of all hosts of this process.
	 * @return the counts
	 */
	static HostEvents install() {
		HostEvents events = new HostEvents();
		DATA_PATH.setLevel(Level.INFO);
		DATA_PATH.setUseParentHandlers(false);
		DATA_PATH.addHandler(events);
		return events;
	}

	@Override
	public synchronized void publish(LogRecord entry) {
		LogLine line = LogLine.parse(entry.getMessage());
		switch (line.event()) {
			case "request_sent" -> recordSend(line);
			case "request_again" -> recordRetry(line);
			case "request_ended" -> recordEnd(line);
			case "attempt_failed" -> count(this.failedAttempts, attemptLabel(line));
			case "response_unexpected", "bytes_unexpected" -> this.unexpectedBytes++;
			default -> {
				// Other events are not measured.
			}
		}
	}

	private void recordSend(LogLine line) {
		this.sends++;
		boolean isFirst = line.number("send") == 1;
		if (!isFirst) {
			this.secondSends++;
		}
		if (connectionUse(line) == 1) {
			this.sendsOnNewConnections++;
		}
		this.waitedNanos += isFirst ? TimeUnit.MILLISECONDS.toNanos(line.number("waited_ms"))
				: endWait(line.text("request"));
	}

	private void recordRetry(LogLine line) {
		if (line.text("refused").equals("no")) {
			this.waitingSince.put(line.text("request"), System.nanoTime());
		}
	}

	private void recordEnd(LogLine line) {
		boolean isSent = line.number("sends") > 0;
		this.waitedNanos += isSent ? endWait(line.text("request")) : TimeUnit.MILLISECONDS.toNanos(line.number("ms"));
		if (!line.text("reason").equals("complete")) {
			count(this.failedEnds, endLabel(line));
		}
	}

	private long endWait(String request) {
		Long start = this.waitingSince.remove(request);
		return (start != null) ? System.nanoTime() - start : 0;
	}

	private static String endLabel(LogLine line) {
		String status = line.text("status").equals("0") ? "broken off" : line.text("status");
		return status + " " + withoutDetail(line.text("reason")) + ((line.number("sends") == 0) ? ", not sent" : "");
	}

	private static String attemptLabel(LogLine line) {
		String connection = (connectionUse(line) == 1) ? "new" : "kept";
		return withoutDetail(line.text("cause")) + ", " + connection + " connection";
	}

	// A connection is logged with the number of the exchange on it, from 1.
	private static int connectionUse(LogLine line) {
		String connection = line.text("connection");
		return Integer.parseInt(connection.substring(connection.indexOf('.') + 1));
	}

	private static String withoutDetail(String text) {
		int end = text.indexOf(DETAIL_SEPARATOR);
		return (end < 0) ? text : text.substring(0, end);
	}

	private static void count(Map<String, Long> counts, String label) {
		counts.merge(label, 1L, Long::sum);
	}

	/**
	 * Returns the counts so far.
	 * @return a copy of the counts
	 */
	synchronized HostFigures figures() {
		return new HostFigures(this.failedEnds, this.failedAttempts, this.sends, this.secondSends,
				this.sendsOnNewConnections, this.unexpectedBytes, this.waitedNanos / 1e9);
	}

	@Override
	public void flush() {
		// Nothing is buffered.
	}

	@Override
	public void close() {
		DATA_PATH.removeHandler(this);
	}

}
