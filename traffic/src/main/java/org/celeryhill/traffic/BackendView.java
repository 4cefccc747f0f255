package org.celeryhill.traffic;

import java.util.Objects;
import java.util.Optional;

import org.celeryhill.base.BackendServerId;
import org.celeryhill.base.DataCentre;
import org.celeryhill.base.ServiceId;
import org.celeryhill.port.EngineReport;

/**
 * State of a backend server as the entry daemon sees it. Immutable and thread-safe.
 *
 * @param id the backend server, not null
 * @param service the service it belongs to, not null
 * @param dataCentre where it stands, not null
 * @param report the engine's latest report, empty for a plain service or before the first
 * report, not null
 * @param running the calls that a plain service says it runs
 * @param capacity the calls that a plain service can run at once
 * @param isReachable whether it answered the latest question
 * @param isLeaving whether the host list, a planned stop or the server itself says that
 * it gets no new work
 */
public record BackendView(BackendServerId id, ServiceId service, DataCentre dataCentre, Optional<EngineReport> report,
		int running, int capacity, boolean isReachable, boolean isLeaving) {

	/** Creates a view. */
	public BackendView {
		Objects.requireNonNull(id, "id");
		Objects.requireNonNull(service, "service");
		Objects.requireNonNull(dataCentre, "dataCentre");
		Objects.requireNonNull(report, "report");
	}

}
