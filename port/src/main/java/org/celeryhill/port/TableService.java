package org.celeryhill.port;

import java.util.List;

import org.celeryhill.base.AttemptId;

/**
 * The transactional table service of the platform. In total it handles several hundred
 * writes and about two thousand reads per second. It has outages, and a response can be
 * lost after the write has taken effect. Calls block up to the timeout of the
 * implementation. Implementations are thread-safe and never throw for a failure of the
 * service.
 */
public interface TableService {

	/**
	 * Reads one row.
	 * @param key the row, not null
	 * @return the row, {@link Absent}, or {@link ReadFailed} if the service did not
	 * respond
	 */
	ReadResult read(RowKey key);

	/**
	 * Reads the rows of a table whose key starts with a prefix, in key order.
	 * @param table the table, not null
	 * @param keyPrefix the prefix, not null, may be empty
	 * @return the rows, or {@link ReadFailed} if the service did not respond
	 */
	ScanResult scan(String table, String keyPrefix);

	/**
	 * Writes all rows in one transaction, or none of them. The attempt is stored with
	 * each row, so that the writer can find out by a read whether a write without a
	 * response has taken effect.
	 * @param attempt the unique id of this attempt, not null
	 * @param writes the writes, not null, not empty, each row at most once
	 * @return the outcome
	 */
	WriteResult write(AttemptId attempt, List<RowWrite> writes);

	/** Result of a read. */
	sealed interface ReadResult permits Found, Absent, ReadFailed {

	}

	/**
	 * The row exists.
	 *
	 * @param row the row, not null
	 */
	record Found(Row row) implements ReadResult {

	}

	/**
	 * The row does not exist.
	 *
	 * @param key the key of the requested row, not null
	 */
	record Absent(RowKey key) implements ReadResult {

	}

	/**
	 * The service did not respond.
	 *
	 * @param reason a short text for logs, not null
	 */
	record ReadFailed(String reason) implements ReadResult, ScanResult {

	}

	/** Result of a scan. */
	sealed interface ScanResult permits Rows, ReadFailed {

	}

	/**
	 * The requested rows.
	 *
	 * @param rows the rows in key order, not null
	 */
	record Rows(List<Row> rows) implements ScanResult {

		/** Copies the list. */
		public Rows {
			rows = List.copyOf(rows);
		}

	}

	/** Result of a write. */
	sealed interface WriteResult permits Written, Conflict, NotWritten, WriteUnknown {

	}

	/**
	 * All writes took effect.
	 *
	 * @param rows the rows after the write, in the order of the writes, without deleted
	 * rows
	 */
	record Written(List<Row> rows) implements WriteResult {

		/** Copies the list. */
		public Written {
			rows = List.copyOf(rows);
		}

	}

	/**
	 * Nothing was written because a row did not have the expected version.
	 *
	 * @param key the first row that did not match, not null
	 */
	record Conflict(RowKey key) implements WriteResult {

	}

	/**
	 * Nothing was written and nothing will be written: the service was not reached.
	 *
	 * @param reason a short text for logs, not null
	 */
	record NotWritten(String reason) implements WriteResult {

	}

	/**
	 * The response was lost: the writes may have taken effect or may still take effect.
	 *
	 * @param reason a short text for logs, not null
	 */
	record WriteUnknown(String reason) implements WriteResult {

	}

}
