package org.celeryhill.measure;

import java.util.Map;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * Formats a tree of figures as indented text.
 */
final class TextReport {

	private TextReport() {
	}

	/**
	 * Formats a value.
	 * @param value a value that Jackson can convert to a map
	 * @return the text, with a line for each leaf
	 */
	static String of(Object value) {
		Map<String, Object> tree = new ObjectMapper().convertValue(value, new TypeReference<>() {
		});
		StringBuilder text = new StringBuilder();
		append(text, tree, "");
		return text.toString();
	}

	private static void append(StringBuilder text, Map<?, ?> tree, String indent) {
		tree.forEach((key, value) -> {
			if (value instanceof Map<?, ?> inner && inner.values().stream().anyMatch(Map.class::isInstance)) {
				text.append(indent).append(key).append(":\n");
				append(text, inner, indent + "  ");
			}
			else if (value instanceof java.util.List<?> list) {
				text.append(indent).append(key).append(":\n");
				list.forEach((one) -> text.append(indent).append("  ").append(one).append('\n'));
			}
			else {
				text.append(indent).append(key).append(": ").append(value).append('\n');
			}
		});
	}

}
