package org.celeryhill.measure.oddserver;

import java.util.HashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A line of an {@link org.celeryhill.base.EventLog}.
 *
 * @param event the name of the event, not null
 * @param pairs the values by their keys, not null
 */
record LogLine(String event, Map<String, String> pairs) {

	private static final Pattern PAIR = Pattern.compile("([a-z_]+)=(\"(?:[^\"\\\\]|\\\\.)*\"|\\S*)");

	private static final Pattern ESCAPE = Pattern.compile("\\\\(.)");

	/**
	 * Creates a line with a copy of the pairs.
	 */
	LogLine {
		pairs = Map.copyOf(pairs);
	}

	/**
	 * Parses a line.
	 * @param text the line
	 * @return the event with its pairs; escaped line ends are not restored
	 */
	static LogLine parse(String text) {
		Map<String, String> pairs = new HashMap<>();
		Matcher matcher = PAIR.matcher(text);
		while (matcher.find()) {
			pairs.put(matcher.group(1), unquote(matcher.group(2)));
		}
		String event = pairs.getOrDefault("event", "");
		pairs.remove("event");
		return new LogLine(event, pairs);
	}

	private static String unquote(String value) {
		if (!value.startsWith("\"")) {
			return value;
		}
		return ESCAPE.matcher(value.substring(1, value.length() - 1)).replaceAll("$1");
	}

	String text(String key) {
		return this.pairs.getOrDefault(key, "");
	}

	long number(String key) {
		return Long.parseLong(this.pairs.getOrDefault(key, "0"));
	}

}
