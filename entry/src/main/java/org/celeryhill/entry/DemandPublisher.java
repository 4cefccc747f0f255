package org.celeryhill.entry;

import java.time.Duration;
import java.util.List;
import java.util.Objects;

import org.celeryhill.base.EventLog;
import org.celeryhill.base.HostId;
import org.celeryhill.port.RowKey;
import org.celeryhill.port.RowWrite;
import org.celeryhill.port.TableService;

/**
 * Writes the demand at this daemon to the row {@code demand/<host>}, which the planners
 * read. A failed write is not repeated; the planners use the older values until the next
 * period. Not thread-safe.
 */
final class DemandPublisher {

	/** Table of the demand rows. */
	static final String TABLE = "demand";

	/** Log of this class. */
	private static final EventLog LOG = EventLog.of(DemandPublisher.class);

	/** Table service that stores the row. */
	private final TableService table;

	/** Key of the row of this daemon. */
	private final RowKey key;

	/** Measures the demand. */
	private final DemandMeter meter;

	/** Time between two publications. */
	private final Duration period;

	/** Version of the row, or -1 if unknown. */
	private long version = -1;

	DemandPublisher(TableService table, HostId host, DemandMeter meter, Duration period) {
		this.table = Objects.requireNonNull(table, "table");
		this.key = RowKey.of(TABLE, host.value());
		this.meter = Objects.requireNonNull(meter, "meter");
		this.period = Objects.requireNonNull(period, "period");
	}

	/** Ends the measurement period and writes its demand. Blocks. */
	void publish() {
		String value = this.meter.endPeriod(this.period.toNanos() / 1e9).toString();
		if (this.version < 0 && !readVersion()) {
			return;
		}
		RowWrite write = new RowWrite(this.key, this.version, java.util.Optional.of(value));
		TableService.WriteResult result = this.table.write(RandomIds.attempt(), List.of(write));
		if (result instanceof TableService.Written written) {
			this.version = written.rows().get(0).version();
			return;
		}
		this.version = -1;
		LOG.debug("demand_not_written", "result", result);
	}

	private boolean readVersion() {
		TableService.ReadResult result = this.table.read(this.key);
		if (result instanceof TableService.Found found) {
			this.version = found.row().version();
		}
		else if (result instanceof TableService.Absent) {
			this.version = RowWrite.ABSENT;
		}
		return this.version >= 0;
	}

}
