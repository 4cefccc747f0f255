package org.celeryhill.edge;

import java.time.Duration;

import org.celeryhill.base.BackendServerId;
import org.celeryhill.base.EventLog;
import org.celeryhill.traffic.AvailabilityListener;

/**
 * Logs which backend servers this host regards as suspect or paused.
 */
final class AvailabilityLog implements AvailabilityListener {

	private static final EventLog LOG = EventLog.of(AvailabilityLog.class);

	@Override
	public void onSuspected(BackendServerId backend, int failures, Duration duration) {
		LOG.info("server_suspected", "server", backend, "failures", failures, "ms", duration.toMillis());
	}

	@Override
	public void onReadmitted(BackendServerId backend) {
		LOG.info("server_readmitted", "server", backend);
	}

	@Override
	public void onPaused(BackendServerId backend, Duration pause) {
		LOG.info("server_paused", "server", backend, "ms", pause.toMillis());
	}

	@Override
	public void onResumed(BackendServerId backend) {
		LOG.info("server_resumed", "server", backend);
	}

}
