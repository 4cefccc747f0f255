package org.celeryhill.port;

import java.util.List;

import org.celeryhill.base.AttemptId;

/**
 * The transactional table service of the platform. It handles several hundred writes and
 * about two thousand reads a second in all, has outages, and an answer can be lost after
 * the change has taken effect. Calls block up to the timeout of the implementation.
 * Implementations are thread-safe and never throw for a failure of the service.
 */
public interface TableService {

	/**
	 * Reads one row.
	 * @param key the row, not null
	 * @return the row, its absence, or that the service could not be asked
	 */
	ReadResult read(RowKey key);

	/**
	 * Reads the rows of a table whose key starts with a prefix, in key order.
	 * @param table the table, not null
	 * @param keyPrefix the prefix, not null, may be empty
	 * @return the rows, or that the service could not be asked
	 */
	ScanResult scan(String table, String keyPrefix);

	/**
	 * Writes all rows in one transaction, or none of them. The attempt is stored with
	 * each row, so that the writer can read back whether an unanswered write took effect.
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
	 * @param key the row that was asked for, not null
	 */
	record Absent(RowKey key) implements ReadResult {

	}

	/**
	 * The service gave no answer.
	 *
	 * @param reason a short text for logs, not null
	 */
	record ReadFailed(String reason) implements ReadResult, ScanResult {

	}

	/** Result of a scan. */
	sealed interface ScanResult permits Rows, ReadFailed {

	}

	/**
	 * The rows that were asked for.
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
	 * @param rows the rows as they are now, deleted rows left out, in the order of the
	 * writes
	 */
	record Written(List<Row> rows) implements WriteResult {

		/** Copies the list. */
		public Written {
			rows = List.copyOf(rows);
		}

	}

	/**
	 * Nothing was written since a row had another version than expected.
	 *
	 * @param key the first row that did not match, not null
	 */
	record Conflict(RowKey key) implements WriteResult {

	}

	/**
	 * Nothing was written and nothing will be: the service was not reached.
	 *
	 * @param reason a short text for logs, not null
	 */
	record NotWritten(String reason) implements WriteResult {

	}

	/**
	 * The answer was lost: the writes may have taken effect, or may still do so.
	 *
	 * @param reason a short text for logs, not null
	 */
	record WriteUnknown(String reason) implements WriteResult {

	}

}
