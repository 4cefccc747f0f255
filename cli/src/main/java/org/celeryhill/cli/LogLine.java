package org.celeryhill.cli;

import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Line of key=value pairs in the log of a daemon. Immutable and thread-safe.
 *
 * @param time the time at which the line was written, not null
 * @param source the last word before the pairs, such as the host, empty if there is none,
 * not null
 * @param fields the values by key in the order of the line, not null
 */
record LogLine(Instant time, String source, Map<String, String> fields) {

	/** First key of the pairs; text before it comes from the log collector. */
	private static final String FIRST_KEY = "time=";

	LogLine {
		fields = Collections.unmodifiableMap(new LinkedHashMap<>(fields));
	}

	/**
	 * Parses a line.
	 * @param text the line
	 * @return the line, empty if it has no valid time or no event
	 */
	static Optional<LogLine> parse(String text) {
		int start = text.indexOf(FIRST_KEY);
		if (start < 0) {
			return Optional.empty();
		}
		Map<String, String> fields = parseFields(text.substring(start));
		try {
			Instant time = Instant.parse(fields.getOrDefault("time", ""));
			return fields.containsKey("event") ? Optional.of(new LogLine(time, source(text, start), fields))
					: Optional.empty();
		}
		catch (DateTimeParseException ex) {
			return Optional.empty();
		}
	}

	// Returns the last word before the pairs, where log collectors put the host.
	private static String source(String text, int start) {
		String[] words = text.substring(0, start).trim().split("\\s+");
		return words[words.length - 1];
	}

	private static Map<String, String> parseFields(String text) {
		Map<String, String> fields = new LinkedHashMap<>();
		int position = 0;
		while (position < text.length()) {
			int equals = text.indexOf('=', position);
			if (equals < 0) {
				return fields;
			}
			String key = text.substring(position, equals).trim();
			boolean isQuoted = equals + 1 < text.length() && text.charAt(equals + 1) == '"';
			int end = isQuoted ? endOfQuoted(text, equals + 2) : endOfUnquoted(text, equals + 1);
			String value = isQuoted ? unquote(text.substring(equals + 2, end)) : text.substring(equals + 1, end);
			fields.put(key, value);
			position = end + 1;
		}
		return fields;
	}

	private static int endOfUnquoted(String text, int from) {
		int end = text.indexOf(' ', from);
		return (end < 0) ? text.length() : end;
	}

	private static int endOfQuoted(String text, int from) {
		for (int i = from; i < text.length(); i++) {
			if (text.charAt(i) == '\\') {
				i++;
			}
			else if (text.charAt(i) == '"') {
				return i;
			}
		}
		return text.length();
	}

	private static String unquote(String text) {
		return text.replace("\\\"", "\"").replace("\\n", "\n").replace("\\r", "\r").replace("\\\\", "\\");
	}

	String event() {
		return this.fields.get("event");
	}

	Optional<String> field(String name) {
		return Optional.ofNullable(this.fields.get(name));
	}

	boolean hasField(String name, String value) {
		return value.equals(this.fields.get(name));
	}

	// Formats the pairs except time, level, logger and event; the caller prints the time
	// and the event itself.
	String formatDetails() {
		StringBuilder text = new StringBuilder();
		this.fields.forEach((key, value) -> {
			if (!key.equals("time") && !key.equals("level") && !key.equals("logger") && !key.equals("event")) {
				text.append((text.length() > 0) ? " " : "").append(key).append('=').append(value);
			}
		});
		return text.toString();
	}

}
