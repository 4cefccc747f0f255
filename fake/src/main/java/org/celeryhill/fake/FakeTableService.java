package org.celeryhill.fake;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;

import org.celeryhill.base.AttemptId;
import org.celeryhill.base.TimerService;
import org.celeryhill.port.Row;
import org.celeryhill.port.RowKey;
import org.celeryhill.port.RowWrite;
import org.celeryhill.port.TableService;

/**
 * In-memory table service with transactions. Its fault target is {@code table}. Reads see
 * all writes that have taken effect. Thread-safe.
 */
public final class FakeTableService implements TableService {

	/** Name of the fault target. */
	public static final String TARGET = "table";

	/** Existing rows by key. Guarded by this. */
	private final TreeMap<RowKey, Row> rows = new TreeMap<>();

	/**
	 * Last versions of deleted rows, at which their numbering continues. Guarded by this.
	 */
	private final Map<RowKey, Long> deletedVersions = new HashMap<>();

	/** Executes each call with its injected fault. */
	private final FaultyCallExecutor call;

	/** Number of transactions that took effect. Guarded by this. */
	private long writeCount;

	private FakeTableService(FaultyCallExecutor call) {
		this.call = call;
	}

	/**
	 * Returns an empty service whose slow responses do not block.
	 * @param timer the timer that runs late effects, not null
	 * @param faults the source of injected faults, not null
	 * @return the service, never null
	 */
	public static FakeTableService create(TimerService timer, FaultInjector faults) {
		return create(timer, faults, (delay) -> {
		});
	}

	/**
	 * Returns an empty service.
	 * @param timer the timer that runs late effects, not null
	 * @param faults the source of injected faults, not null
	 * @param pause called with the delay of a slow exchange; with real time it sleeps,
	 * with virtual time it may run other tasks, not null
	 * @return the service, never null
	 */
	public static FakeTableService create(TimerService timer, FaultInjector faults, Consumer<Duration> pause) {
		return new FakeTableService(new FaultyCallExecutor(timer, faults, TARGET, pause));
	}

	@Override
	public ReadResult read(RowKey key) {
		return this.call.run(() -> readNow(key), () -> new ReadFailed("no response"), () -> new ReadFailed("down"));
	}

	@Override
	public ScanResult scan(String table, String keyPrefix) {
		return this.call.run(() -> scanNow(table, keyPrefix), () -> new ReadFailed("no response"),
				() -> new ReadFailed("down"));
	}

	@Override
	public WriteResult write(AttemptId attempt, List<RowWrite> writes) {
		List<RowWrite> copy = List.copyOf(writes);
		if (copy.isEmpty()) {
			throw new IllegalArgumentException("writes must not be empty");
		}
		return this.call.run(() -> writeNow(attempt, copy), () -> new WriteUnknown("no response"),
				() -> new NotWritten("down"));
	}

	/**
	 * Returns the number of transactions that have taken effect.
	 * @return the number of transactions
	 */
	public synchronized long writeCount() {
		return this.writeCount;
	}

	/**
	 * Reads a row without injected faults, for checks of test results.
	 * @param key the key of the row, not null
	 * @return the row, or empty if it does not exist
	 */
	public synchronized Optional<Row> peek(RowKey key) {
		return Optional.ofNullable(this.rows.get(key));
	}

	private synchronized ReadResult readNow(RowKey key) {
		Row row = this.rows.get(key);
		return (row != null) ? new Found(row) : new Absent(key);
	}

	private synchronized ScanResult scanNow(String table, String keyPrefix) {
		List<Row> found = new ArrayList<>();
		for (Row row : this.rows.tailMap(RowKey.of(table, keyPrefix)).values()) {
			if (!row.key().table().equals(table) || !row.key().key().startsWith(keyPrefix)) {
				break;
			}
			found.add(row);
		}
		return new Rows(found);
	}

	private synchronized WriteResult writeNow(AttemptId attempt, List<RowWrite> writes) {
		for (RowWrite write : writes) {
			Row row = this.rows.get(write.key());
			long version = (row != null) ? row.version() : RowWrite.ABSENT;
			if (version != write.expectedVersion()) {
				return new Conflict(write.key());
			}
		}
		List<Row> written = new ArrayList<>();
		writes.forEach((write) -> apply(attempt, write).ifPresent(written::add));
		this.writeCount++;
		return new Written(written);
	}

	private Optional<Row> apply(AttemptId attempt, RowWrite write) {
		Row old = this.rows.get(write.key());
		long last = (old != null) ? old.version() : this.deletedVersions.getOrDefault(write.key(), RowWrite.ABSENT);
		if (write.value().isEmpty()) {
			this.rows.remove(write.key());
			this.deletedVersions.put(write.key(), last);
			return Optional.empty();
		}
		Row row = new Row(write.key(), last + 1, write.value().get(), attempt);
		this.deletedVersions.remove(write.key());
		this.rows.put(write.key(), row);
		return Optional.of(row);
	}

}
