package org.celeryhill.cli;

import java.io.PrintWriter;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;

/**
 * How results are printed. Immutable and thread-safe.
 */
public enum OutputFormat {

	/** Aligned lines for people. */
	TEXT {
		@Override
		void print(PrintWriter out, List<Map<String, Object>> rows) {
			TextTable.of(rows).print(out);
		}
	},

	/** One JSON array for programs. */
	JSON {
		@Override
		void print(PrintWriter out, List<Map<String, Object>> rows) {
			try {
				out.println(WRITER.writeValueAsString(rows));
			}
			catch (JsonProcessingException ex) {
				throw new IllegalArgumentException("result cannot be written as JSON", ex);
			}
			out.flush();
		}
	};

	/** Writer of the JSON format. */
	private static final ObjectMapper WRITER = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);

	/**
	 * Prints rows that have the same fields.
	 * @param out where to print, not null
	 * @param rows the rows, not null; values are strings, numbers, booleans, maps or
	 * lists
	 */
	abstract void print(PrintWriter out, List<Map<String, Object>> rows);

}
