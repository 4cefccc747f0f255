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
 */
public record BackendView(BackendServerId id, ServiceId service, DataCentre dataCentre, Optional<EngineReport> report,
		int running, int capacity, boolean isReachable, boolean isLeaving) {

	/** Creates a state. */
	public BackendView {
		Objects.requireNonNull(id, "id");
		Objects.requireNonNull(service, "service");
		Objects.requireNonNull(dataCentre, "dataCentre");
		Objects.requireNonNull(report, "report");
	}

}
