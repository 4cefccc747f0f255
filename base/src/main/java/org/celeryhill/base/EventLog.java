package org.celeryhill.base;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Objects;

/**
 * Writes one line of key=value pairs for each event through {@link System.Logger}.
 * Thread-safe.
 */
public final class EventLog {

	/** Logger that receives the formatted lines. */
	private final Logger logger;

	private EventLog(Logger logger) {
		this.logger = logger;
	}

	/**
	 * Returns the event log of a class.
	 * @param owner the class that logs; its name is the name of the logger, not null
	 * @return the log, never null
	 */
	public static EventLog of(Class<?> owner) {
		return new EventLog(System.getLogger(owner.getName()));
	}

	/**
	 * Writes an event at level info.
	 * @param event the name of the event in snake case, not null
	 * @param pairs alternating keys and values, values may be null
	 * @throws IllegalArgumentException if a key has no value
	 */
	public void info(String event, Object... pairs) {
		log(Level.INFO, event, pairs);
	}

	/**
	 * Writes an event at level warning.
	 * @param event the name of the event in snake case, not null
	 * @param pairs alternating keys and values, values may be null
	 * @throws IllegalArgumentException if a key has no value
	 */
	public void warn(String event, Object... pairs) {
		log(Level.WARNING, event, pairs);
	}

	/**
	 * Writes an event at level debug.
	 * @param event the name of the event in snake case, not null
	 * @param pairs alternating keys and values, values may be null
	 * @throws IllegalArgumentException if a key has no value
	 */
	public void debug(String event, Object... pairs) {
		log(Level.DEBUG, event, pairs);
	}

	private void log(Level level, String event, Object... pairs) {
		if (!this.logger.isLoggable(level)) {
			return;
		}
		this.logger.log(level, format(event, pairs));
	}

	/**
	 * Formats an event as one line. A value is quoted if it is empty or contains blanks,
	 * control characters, quotes, equals signs or backslashes.
	 * @param event the name of the event, not null
	 * @param pairs alternating keys and values, values may be null
	 * @return the line without a line terminator, never null
	 * @throws IllegalArgumentException if a key has no value
	 */
	public static String format(String event, Object... pairs) {
		Objects.requireNonNull(event, "event");
		if (pairs.length % 2 != 0) {
			throw new IllegalArgumentException("key without a value in event " + event);
		}
		StringBuilder line = new StringBuilder("event=").append(event);
		for (int i = 0; i < pairs.length; i += 2) {
			line.append(' ').append(pairs[i]).append('=').append(quote(String.valueOf(pairs[i + 1])));
		}
		return line.toString();
	}

	private static String quote(String value) {
		boolean plain = !value.isEmpty();
		for (int i = 0; i < value.length() && plain; i++) {
			char c = value.charAt(i);
			plain = c > ' ' && c != '"' && c != '=' && c != '\\';
		}
		if (plain) {
			return value;
		}
		return '"' + value.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n").replace("\r", "\\r") + '"';
	}

}
