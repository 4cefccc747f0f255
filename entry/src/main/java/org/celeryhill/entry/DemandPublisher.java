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
 * Writes the demand of this daemon to the row {@code demand/<host>} for the planners. A
 * lost or late write only makes the figures older. Not thread-safe.
 */
final class DemandPublisher {

	/** Table of the rows. */
	static final String TABLE = "demand";

	/** Log of this class. */
	private static final EventLog LOG = EventLog.of(DemandPublisher.class);

	/** Table service. */
	private final TableService table;

	/** Row of this daemon. */
	private final RowKey key;

	/** Demand. */
	private final DemandMeter meter;

	/** Time between two writes. */
	private final Duration period;

	/** Version of the row, or -1 if it is not known. */
	private long version = -1;

	DemandPublisher(TableService table, HostId host, DemandMeter meter, Duration period) {
		this.table = Objects.requireNonNull(table, "table");
		this.key = RowKey.of(TABLE, host.value());
		this.meter = Objects.requireNonNull(meter, "meter");
		this.period = Objects.requireNonNull(period, "period");
	}

	/** Writes the demand of the period that ends now. */
	void publish() {
		String value = this.meter.roll(this.period.toNanos() / 1e9).toString();
		if (this.version < 0 && !readVersion()) {
			return;
		}
		RowWrite write = new RowWrite(this.key, this.version, java.util.Optional.of(value));
		TableService.WriteResult result = this.table.write(Ids.attempt(), List.of(write));
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
