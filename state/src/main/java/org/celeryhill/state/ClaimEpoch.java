package org.celeryhill.state;

import java.util.Optional;

import org.celeryhill.base.TimerService;
import org.celeryhill.port.Row;
import org.celeryhill.port.RowKey;
import org.celeryhill.port.RowWrite;
import org.celeryhill.port.TableService;

/**
 * Counter that measures the age of claims independently of wall clocks. A process
 * increments it only after it has seen it unchanged for a period on its own monotonic
 * clock, so that two increments are at least a period apart even if the hosts' clocks are
 * wrong. Thread-safe.
 */
final class ClaimEpoch {

	/** Row key of the counter. */
	static final RowKey KEY = RowKey.of("claim_epoch", "current");

	/** A value that was read is reused for the period divided by this number. */
	private static final int CACHE_LIFETIMES_PER_PERIOD = 4;

	/** Writer of the row. */
	private final ConditionalWriter writer;

	/** Monotonic clock of this process. */
	private final TimerService timer;

	/** Timeout and retention of claims. */
	private final ClaimPolicy policy;

	/** Counter value as last read, -1 before the first read. Guarded by this. */
	private long epoch = -1;

	/** When this counter value was first seen. Guarded by this. */
	private long firstSeenNanos;

	/** When the row was last read. Guarded by this. */
	private long readNanos;

	ClaimEpoch(ConditionalWriter writer, TimerService timer, ClaimPolicy policy) {
		this.writer = writer;
		this.timer = timer;
		this.policy = policy;
	}

	/**
	 * Returns the counter value, which was read at most a quarter of a period ago.
	 * @return the value, or empty if the store is unavailable
	 */
	Optional<Long> current() {
		synchronized (this) {
			long ageNanos = this.timer.nanoTime() - this.readNanos;
			if (this.epoch >= 0 && ageNanos < this.policy.epochPeriod().toNanos() / CACHE_LIFETIMES_PER_PERIOD) {
				return Optional.of(this.epoch);
			}
		}
		return readRow().map(EpochRow::epoch);
	}

	/**
	 * Increments the counter if it has been unchanged for a period.
	 * @return the new value, or empty if this process did not increment the counter
	 */
	Optional<Long> incrementIfDue() {
		Optional<EpochRow> found = readRow();
		if (found.isEmpty() || !isDue(found.get())) {
			return Optional.empty();
		}
		long next = found.get().epoch() + 1;
		RowWrite write = found.get()
			.row()
			.map((row) -> RowWrite.replace(row, Long.toString(next)))
			.orElseGet(() -> RowWrite.create(KEY, Long.toString(next)));
		if (!(this.writer.write(write) instanceof ConditionalWriter.Applied)) {
			return Optional.empty();
		}
		observe(next);
		return Optional.of(next);
	}

	private synchronized boolean isDue(EpochRow found) {
		long unchangedNanos = this.timer.nanoTime() - this.firstSeenNanos;
		return found.epoch() == this.epoch && unchangedNanos >= this.policy.epochPeriod().toNanos();
	}

	private Optional<EpochRow> readRow() {
		TableService.ReadResult result = this.writer.read(KEY);
		if (result instanceof TableService.ReadFailed) {
			return Optional.empty();
		}
		Optional<Row> row = (result instanceof TableService.Found found) ? Optional.of(found.row()) : Optional.empty();
		Optional<Long> value = row.map((existing) -> StateJson.read(existing.value(), Long.class))
			.orElse(Optional.of(0L));
		value.ifPresent(this::observe);
		return value.map((counter) -> new EpochRow(row, counter));
	}

	private synchronized void observe(long value) {
		this.readNanos = this.timer.nanoTime();
		if (value != this.epoch) {
			this.epoch = value;
			this.firstSeenNanos = this.readNanos;
		}
	}

	/**
	 * The counter as read from the table service.
	 *
	 * @param row the row, empty before the first increment
	 * @param epoch the counter value, 0 before the first increment
	 */
	private record EpochRow(Optional<Row> row, long epoch) {

	}

}
