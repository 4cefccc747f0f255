package org.celeryhill.port;

import java.util.Objects;

import org.celeryhill.base.AttemptId;

/**
 * A row as read from the table service. Immutable and thread-safe.
 *
 * @param key the key, not null
 * @param version the version, 1 after the first write and incremented by each write, also
 * if the row is deleted and created again
 * @param value the JSON text of the row, not null
 * @param writer the attempt that wrote this version, not null
 */
public record Row(RowKey key, long version, String value, AttemptId writer) {

	/** Creates a row. */
	public Row {
		Objects.requireNonNull(key, "key");
		Objects.requireNonNull(value, "value");
		Objects.requireNonNull(writer, "writer");
	}

}
