package org.celeryhill.cli;

import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Text table with a header line and aligned columns. Immutable and thread-safe.
 */
final class TextTable {

	/** Spaces between columns. */
	private static final int COLUMN_GAP = 2;

	/** Cells by line; the first line is the header. Empty if there are no rows. */
	private final List<List<String>> lines;

	/** Width of each column in characters. */
	private final List<Integer> widths;

	private TextTable(List<List<String>> lines, List<Integer> widths) {
		this.lines = lines;
		this.widths = widths;
	}

	static TextTable of(List<Map<String, Object>> rows) {
		Map<String, Integer> columns = new LinkedHashMap<>();
		rows.forEach((row) -> row.keySet().forEach((name) -> columns.putIfAbsent(name, columns.size())));
		List<List<String>> lines = new ArrayList<>();
		if (!rows.isEmpty()) {
			lines.add(List.copyOf(columns.keySet()));
		}
		for (Map<String, Object> row : rows) {
			lines.add(columns.keySet().stream().map((name) -> toText(row.get(name))).toList());
		}
		List<Integer> widths = new ArrayList<>();
		for (int i = 0; i < columns.size(); i++) {
			int column = i;
			widths.add(lines.stream().mapToInt((line) -> line.get(column).length()).max().orElse(0));
		}
		return new TextTable(lines, widths);
	}

	private static String toText(Object value) {
		return (value != null) ? value.toString() : "";
	}

	void print(PrintWriter out) {
		for (List<String> line : this.lines) {
			StringBuilder text = new StringBuilder();
			for (int i = 0; i < line.size(); i++) {
				text.append(line.get(i)).append(" ".repeat(this.widths.get(i) - line.get(i).length() + COLUMN_GAP));
			}
			out.println(text.toString().stripTrailing());
		}
		out.flush();
	}

}
