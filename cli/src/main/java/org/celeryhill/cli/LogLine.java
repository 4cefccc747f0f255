package org.celeryhill.cli;

import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * A line of key=value pairs of a daemon's log. Immutable and thread-safe.
 *
 * @param time when it was written, not null
 * @param source the text before the pairs, such as the host, not null
 * @param fields the pairs in order, not null
 */
record LogLine(Instant time, String source, Map<String, String> fields) {

	/** Start of the pairs. */
	private static final String START = "time=";

	LogLine {
		fields = Collections.unmodifiableMap(new LinkedHashMap<>(fields));
	}

	static Optional<LogLine> parse(String text) {
		int start = text.indexOf(START);
		if (start < 0) {
			return Optional.empty();
		}
		Map<String, String> fields = fields(text.substring(start));
		try {
			Instant time = Instant.parse(fields.getOrDefault("time", ""));
			return fields.containsKey("event") ? Optional.of(new LogLine(time, source(text, start), fields))
					: Optional.empty();
		}
		catch (DateTimeParseException ex) {
			return Optional.empty();
		}
	}

	// The last word before the pairs, as collectors of logs put the host there.
	private static String source(String text, int start) {
		String[] words = text.substring(0, start).trim().split("\\s+");
		return words[words.length - 1];
	}

	private static Map<String, String> fields(String text) {
		Map<String, String> fields = new LinkedHashMap<>();
		int at = 0;
		while (at < text.length()) {
			int equals = text.indexOf('=', at);
			if (equals < 0) {
				return fields;
			}
			String key = text.substring(at, equals).trim();
			boolean isQuoted = equals + 1 < text.length() && text.charAt(equals + 1) == '"';
			int end = isQuoted ? endOfQuoted(text, equals + 2) : endOfPlain(text, equals + 1);
			String value = isQuoted ? unquote(text.substring(equals + 2, end)) : text.substring(equals + 1, end);
			fields.put(key, value);
			at = end + 1;
		}
		return fields;
	}

	private static int endOfPlain(String text, int from) {
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

	boolean has(String name, String value) {
		return value.equals(this.fields.get(name));
	}

	// Returns the pairs without those that are shown apart.
	String details() {
		StringBuilder text = new StringBuilder();
		this.fields.forEach((key, value) -> {
			if (!key.equals("time") && !key.equals("level") && !key.equals("logger") && !key.equals("event")) {
				text.append((text.length() > 0) ? " " : "").append(key).append('=').append(value);
			}
		});
		return text.toString();
	}

}
