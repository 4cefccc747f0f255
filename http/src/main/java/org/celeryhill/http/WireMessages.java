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
 * JSON documents of the wire format, except for those that are port messages.
 */
public final class WireMessages {

	private WireMessages() {
	}

	/**
	 * Request to write rows of the table service in one transaction.
	 *
	 * @param attempt the id of the write attempt, not null
	 * @param writes the changes of the rows, not null
	 */
	public record Transaction(AttemptId attempt, List<RowChange> writes) {

	}

	/**
	 * Change of one row in a transaction.
	 *
	 * @param key the key of the row, not null
	 * @param expectedVersion the version that the row must have, 0 if it must not exist
	 * @param value the new JSON text, null to delete the row
	 */
	public record RowChange(RowKey key, long expectedVersion, String value) {

		/**
		 * Returns the JSON document of a port write.
		 * @param write the write, not null
		 * @return the document, never null
		 */
		public static RowChange of(RowWrite write) {
			return new RowChange(write.key(), write.expectedVersion(), write.value().orElse(null));
		}

		/**
		 * Returns the port write of this document.
		 * @return the write, never null
		 */
		public RowWrite toWrite() {
			return new RowWrite(this.key, this.expectedVersion, Optional.ofNullable(this.value));
		}

	}

	/**
	 * Response of the table service with rows.
	 *
	 * @param rows the rows, not null
	 */
	public record RowList(List<Row> rows) {

	}

	/**
	 * Response to a transaction that was rejected because a row has another version than
	 * expected.
	 *
	 * @param conflict the key of the first row whose version differs, not null
	 */
	public record ConflictResponse(RowKey conflict) {

	}

	/**
	 * Response of the host list service.
	 *
	 * @param hosts the entries, not null
	 */
	public record HostEntries(List<HostList.Entry> hosts) {

	}

	/**
	 * Response of the weight store with its catalogue.
	 *
	 * @param sizes the size in bytes by model, not null
	 */
	public record WeightSizes(Map<ModelId, Long> sizes) {

	}

	/**
	 * Response of a backend server of a plain service with its load.
	 *
	 * @param running the number of running calls
	 * @param capacity the maximum number of concurrent calls
	 * @param leaving whether the server must not be sent new calls
	 */
	public record ServiceLoad(int running, int capacity, boolean leaving) {

	}

	/**
	 * Request to move the KV cache of a stream to another engine.
	 *
	 * @param target the id of the engine to move the cache to, not null
	 */
	public record CacheMove(BackendServerId target) {

	}

	/**
	 * Response to a {@link CacheMove}.
	 *
	 * @param moved whether the target engine holds the cache now
	 */
	public record CacheMoveResponse(boolean moved) {

	}

}
