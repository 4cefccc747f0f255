package org.celeryhill.cli;

import java.io.PrintWriter;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;

/**
 * Output format of command results. Immutable and thread-safe.
 */
public enum OutputFormat {

	/** Table with aligned columns for human readers. */
	TEXT {
		@Override
		void print(PrintWriter out, List<Map<String, Object>> rows) {
			TextTable.of(rows).print(out);
		}
	},

	/** Indented JSON array with one object for each row. */
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

	/** Serializer of the JSON format. */
	private static final ObjectMapper WRITER = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);

	/**
	 * Prints the rows of a result and flushes the output.
	 * @param out the output, not null
	 * @param rows the rows as values by column name, not null; values are strings,
	 * numbers, booleans, maps or lists
	 */
	abstract void print(PrintWriter out, List<Map<String, Object>> rows);

}
