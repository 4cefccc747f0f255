package org.celeryhill.planner;

import java.util.Objects;
import java.util.Optional;

import org.celeryhill.port.Engine;
import org.celeryhill.port.EngineReport;
import org.celeryhill.port.HostList;

/**
 * State of an engine as last observed by this process. Immutable and thread-safe.
 *
 * @param entry the entry of the engine in the latest host list, not null
 * @param engine the adapter for the engine, not null
 * @param report the latest report, empty before the first one, not null
 * @param requestedNanos the monotonic time at which that report was requested, in
 * nanoseconds
 * @param receivedNanos the monotonic time at which that report arrived, in nanoseconds
 */
record EngineObservation(HostList.Entry entry, Engine engine, Optional<EngineReport> report, long requestedNanos,
		long receivedNanos) {

	EngineObservation {
		Objects.requireNonNull(entry, "entry");
		Objects.requireNonNull(engine, "engine");
		Objects.requireNonNull(report, "report");
	}

	EngineObservation withReport(EngineReport next, long requested, long received) {
		return new EngineObservation(this.entry, this.engine, Optional.of(next), requested, received);
	}

	EngineObservation withEntry(HostList.Entry next) {
		return new EngineObservation(next, this.engine, this.report, this.requestedNanos, this.receivedNanos);
	}

	boolean isSuspect(long now, long silenceNanos) {
		return this.report.isEmpty() || now - this.receivedNanos > silenceNanos;
	}

	boolean isLeaving() {
		return this.entry.leaving() || this.report.filter(EngineReport::isLeaving).isPresent();
	}

}
