package org.celeryhill.state;

import java.util.Optional;

import org.celeryhill.base.TimerService;
import org.celeryhill.port.Row;
import org.celeryhill.port.RowKey;
import org.celeryhill.port.RowWrite;
import org.celeryhill.port.TableService;

/**
 * Counter that measures the age of claims without wall clocks. A process raises it only
 * after it has seen it unchanged for a period on its own monotonic clock, so that two
 * epochs are at least a period apart whatever the clocks of the hosts say. Thread-safe.
 */
final class ClaimEpoch {

	/** Row of the counter. */
	static final RowKey KEY = RowKey.of("claim_epoch", "current");

	/** Part of the period for which a read counter is used. */
	private static final int CACHED_PARTS = 4;

	/** Writer of the row. */
	private final ConditionalWriter writer;

	/** Time of this process. */
	private final TimerService timer;

	/** Times of claims. */
	private final ClaimPolicy policy;

	/** Counter as last read, -1 before the first read. Guarded by this. */
	private long epoch = -1;

	/** When this value was first seen. Guarded by this. */
	private long firstSeenNanos;

	/** When the row was last read. Guarded by this. */
	private long readNanos;

	ClaimEpoch(ConditionalWriter writer, TimerService timer, ClaimPolicy policy) {
		this.writer = writer;
		this.timer = timer;
		this.policy = policy;
	}

	/**
	 * Returns the counter, at most a quarter of a period old.
	 * @return the counter, or empty if the store is unavailable
	 */
	Optional<Long> current() {
		synchronized (this) {
			long age = this.timer.nanoTime() - this.readNanos;
			if (this.epoch >= 0 && age < this.policy.epochPeriod().toNanos() / CACHED_PARTS) {
				return Optional.of(this.epoch);
			}
		}
		return refresh().map(EpochRow::epoch);
	}

	/**
	 * Raises the counter if it has been unchanged for a period.
	 * @return the counter after this process raised it, or empty if it did not
	 */
	Optional<Long> advance() {
		Optional<EpochRow> found = refresh();
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
		long unchanged = this.timer.nanoTime() - this.firstSeenNanos;
		return found.epoch() == this.epoch && unchanged >= this.policy.epochPeriod().toNanos();
	}

	private Optional<EpochRow> refresh() {
		TableService.ReadResult result = this.writer.read(KEY);
		if (result instanceof TableService.ReadFailed) {
			return Optional.empty();
		}
		Optional<Row> row = (result instanceof TableService.Found found) ? Optional.of(found.row()) : Optional.empty();
		Optional<Long> value = row.map((one) -> StateJson.read(one.value(), Long.class)).orElse(Optional.of(0L));
		value.ifPresent(this::observe);
		return value.map((one) -> new EpochRow(row, one));
	}

	private synchronized void observe(long value) {
		this.readNanos = this.timer.nanoTime();
		if (value != this.epoch) {
			this.epoch = value;
			this.firstSeenNanos = this.readNanos;
		}
	}

	/**
	 * The counter as read.
	 *
	 * @param row the row, empty before the first epoch
	 * @param epoch the counter, 0 before the first epoch
	 */
	private record EpochRow(Optional<Row> row, long epoch) {

	}

}
