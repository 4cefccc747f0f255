package org.celeryhill.http;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.celeryhill.base.AttemptId;
import org.celeryhill.base.BackendServerId;
import org.celeryhill.base.ModelId;
import org.celeryhill.port.HostList;
import org.celeryhill.port.Row;
import org.celeryhill.port.RowKey;
import org.celeryhill.port.RowWrite;

/**
 * JSON documents of the wire format that are not port messages themselves.
 */
public final class WireMessages {

	private WireMessages() {
	}

	/**
	 * A transaction of the table service.
	 *
	 * @param attempt the attempt, not null
	 * @param writes the writes, not null
	 */
	public record Transaction(AttemptId attempt, List<RowChange> writes) {

	}

	/**
	 * One write of a transaction.
	 *
	 * @param key the row, not null
	 * @param expectedVersion the version the row must have, 0 if it must not exist
	 * @param value the new JSON text, null to delete the row
	 */
	public record RowChange(RowKey key, long expectedVersion, String value) {

		/**
		 * Returns the document of a write.
		 * @param write the write, not null
		 * @return the document, never null
		 */
		public static RowChange of(RowWrite write) {
			return new RowChange(write.key(), write.expectedVersion(), write.value().orElse(null));
		}

		/**
		 * Returns the write of this document.
		 * @return the write, never null
		 */
		public RowWrite toWrite() {
			return new RowWrite(this.key, this.expectedVersion, Optional.ofNullable(this.value));
		}

	}

	/**
	 * Rows of the table service.
	 *
	 * @param rows the rows, not null
	 */
	public record RowList(List<Row> rows) {

	}

	/**
	 * Answer to a write that met another version.
	 *
	 * @param conflict the first row that did not match, not null
	 */
	public record ConflictResponse(RowKey conflict) {

	}

	/**
	 * Entries of the host list.
	 *
	 * @param hosts the entries, not null
	 */
	public record HostEntries(List<HostList.Entry> hosts) {

	}

	/**
	 * Catalogue of the weight store.
	 *
	 * @param sizes the size in bytes by model, not null
	 */
	public record WeightSizes(Map<ModelId, Long> sizes) {

	}

	/**
	 * Load of a plain service.
	 *
	 * @param running the calls that run
	 * @param capacity the calls that can run at once
	 * @param leaving whether the server is to get no new work
	 */
	public record ServiceLoad(int running, int capacity, boolean leaving) {

	}

	/**
	 * Request to move the KV cache of a stream.
	 *
	 * @param target the engine to move to, not null
	 */
	public record CacheMoveRequest(BackendServerId target) {

	}

	/**
	 * Answer to a cache move.
	 *
	 * @param moved whether the target holds the cache now
	 */
	public record CacheMoveResponse(boolean moved) {

	}

}
