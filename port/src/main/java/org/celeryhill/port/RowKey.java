package org.celeryhill.port;

import java.util.Objects;

/**
 * Identifies a row of the table service. Immutable and thread-safe.
 *
 * @param table the table, not null
 * @param key the key within the table, not null; rows of a table are ordered by it
 */
public record RowKey(String table, String key) implements Comparable<RowKey> {

	/** Creates a key. */
	public RowKey {
		Objects.requireNonNull(table, "table");
		Objects.requireNonNull(key, "key");
	}

	/**
	 * Returns a key.
	 * @param table the table, not null
	 * @param key the key within the table, not null
	 * @return the key, never null
	 */
	public static RowKey of(String table, String key) {
		return new RowKey(table, key);
	}

	@Override
	public int compareTo(RowKey other) {
		int byTable = this.table.compareTo(other.table);
		return (byTable != 0) ? byTable : this.key.compareTo(other.key);
	}

}
