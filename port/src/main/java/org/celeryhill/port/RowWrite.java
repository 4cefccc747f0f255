package org.celeryhill.port;

import java.util.Objects;
import java.util.Optional;

/**
 * A conditional write of one row. Immutable and thread-safe.
 *
 * @param key the row, not null
 * @param expectedVersion the version the row must have, {@link #ABSENT} if it must not
 * exist
 * @param value the new JSON text, or empty to delete the row, not null
 */
public record RowWrite(RowKey key, long expectedVersion, Optional<String> value) {

	/** Expected version of a row that must not exist. */
	public static final long ABSENT = 0;

	/** Creates a write. */
	public RowWrite {
		Objects.requireNonNull(key, "key");
		Objects.requireNonNull(value, "value");
	}

	/**
	 * Returns a write that creates a row.
	 * @param key the row, not null
	 * @param value the JSON text, not null
	 * @return the write, never null
	 */
	public static RowWrite create(RowKey key, String value) {
		return new RowWrite(key, ABSENT, Optional.of(value));
	}

	/**
	 * Returns a write that replaces a row.
	 * @param row the row as it was read, not null
	 * @param value the new JSON text, not null
	 * @return the write, never null
	 */
	public static RowWrite replace(Row row, String value) {
		return new RowWrite(row.key(), row.version(), Optional.of(value));
	}

	/**
	 * Returns a write that deletes a row.
	 * @param row the row as it was read, not null
	 * @return the write, never null
	 */
	public static RowWrite delete(Row row) {
		return new RowWrite(row.key(), row.version(), Optional.empty());
	}

}
