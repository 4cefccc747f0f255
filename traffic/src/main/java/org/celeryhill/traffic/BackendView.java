package org.celeryhill.traffic;

import java.util.Objects;
import java.util.Optional;

import org.celeryhill.base.BackendServerId;
import org.celeryhill.base.DataCentre;
import org.celeryhill.base.ServiceId;
import org.celeryhill.port.EngineReport;

/**
 * Latest known state of a backend server. Immutable and thread-safe.
 *
 * @param id the backend server, not null
 * @param service the service it belongs to, not null
 * @param dataCentre the data centre it runs in, not null
 * @param report the engine's latest report, empty for a plain service or before the first
 * report, not null
 * @param running the calls that a plain service reports as running
 * @param capacity the calls that a plain service can run at once
 * @param isReachable whether it answered the latest load query
 * @param isLeaving whether it must get no new work, according to the host list, a planned
 * stop or its own report
 * @param pace how long work takes on the server's machine according to its latest load,
 * in percent of the usual time, positive; 100 if it states none
 * @param loadSequence the number of loads that the process has stated so far; a lower
 * number than before is that of a new process, 0 if loads are not counted
 */
public record BackendView(BackendServerId id, ServiceId service, DataCentre dataCentre, Optional<EngineReport> report,
		int running, int capacity, boolean isReachable, boolean isLeaving, int pace, long loadSequence) {

	/**
	 * Creates a state.
	 * @throws IllegalArgumentException if the pace is not positive or the number of loads
	 * is negative
	 */
	public BackendView {
		Objects.requireNonNull(id, "id");
		Objects.requireNonNull(service, "service");
		Objects.requireNonNull(dataCentre, "dataCentre");
		Objects.requireNonNull(report, "report");
		if (pace <= 0 || loadSequence < 0) {
			throw new IllegalArgumentException("pace must be positive and loadSequence not negative");
		}
	}

	/**
	 * Creates a state of a server that doesn't state its pace and whose loads are not
	 * counted.
	 * @param id the backend server, not null
	 * @param service the service it belongs to, not null
	 * @param dataCentre the data centre it runs in, not null
	 * @param report the engine's latest report, not null
	 * @param running the calls that a plain service reports as running
	 * @param capacity the calls that a plain service can run at once
	 * @param isReachable whether it answered the latest load query
	 * @param isLeaving whether it must get no new work
	 */
	public BackendView(BackendServerId id, ServiceId service, DataCentre dataCentre, Optional<EngineReport> report,
			int running, int capacity, boolean isReachable, boolean isLeaving) {
		this(id, service, dataCentre, report, running, capacity, isReachable, isLeaving, ServerSpeed.USUAL_PACE, 0);
	}

}
