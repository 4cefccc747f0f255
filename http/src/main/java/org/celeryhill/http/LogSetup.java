package org.celeryhill.http;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.PrintStream;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

import org.celeryhill.base.EventLog;

/**
 * Configures java.util.logging to write to standard output, one line of key=value pairs
 * per log record. Thread-safe.
 */
public final class LogSetup {

	private LogSetup() {
	}

	/**
	 * Replaces the handlers of the root logger. To be called once at process start.
	 * @param level the minimum level of records that are written, not null
	 */
	public static void install(Level level) {
		Logger root = Logger.getLogger("");
		for (Handler handler : root.getHandlers()) {
			root.removeHandler(handler);
		}
		Handler handler = new BoundedLogHandler(new PrintStream(new FileOutputStream(FileDescriptor.out)));
		handler.setFormatter(new KeyValueFormatter());
		handler.setLevel(level);
		root.addHandler(handler);
		root.setLevel(level);
	}

	/**
	 * Writes the records logged so far. To be called before the process exits.
	 */
	public static void flush() {
		for (Handler handler : Logger.getLogger("").getHandlers()) {
			handler.flush();
		}
	}

	/**
	 * Formats a record, including its exception and the top stack frame, as one line.
	 */
	static final class KeyValueFormatter extends Formatter {

		private final LogTimestamp timestamp = new LogTimestamp();

		@Override
		public String format(LogRecord entry) {
			boolean isPlain = entry.getParameters() == null && entry.getResourceBundle() == null;
			String message = isPlain ? String.valueOf(entry.getMessage()) : formatMessage(entry);
			String head = "time=" + this.timestamp.format(entry.getInstant()) + " level=" + entry.getLevel().getName()
					+ " logger=" + entry.getLoggerName() + " ";
			String body = message.startsWith("event=") ? message : EventLog.format("message", "text", message);
			Throwable thrown = entry.getThrown();
			String tail = (thrown != null) ? " " + formatThrown(thrown) : "";
			return head + body + tail + System.lineSeparator();
		}

		private static String formatThrown(Throwable thrown) {
			StackTraceElement[] trace = thrown.getStackTrace();
			String throwLocation = (trace.length > 0) ? trace[0].toString() : "";
			return EventLog.format("x", "exception", thrown, "at", throwLocation).substring("event=x ".length());
		}

	}

}
