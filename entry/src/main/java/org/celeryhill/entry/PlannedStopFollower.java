package org.celeryhill.entry;

import java.util.Objects;
import java.util.Set;
import java.util.function.IntSupplier;
import java.util.stream.Collectors;

import org.celeryhill.base.DataCentre;
import org.celeryhill.base.EventLog;
import org.celeryhill.base.HostId;
import org.celeryhill.state.PlannedStop;
import org.celeryhill.state.PlannedStopStore;
import org.celeryhill.state.StopTarget;

/**
 * Polls the planned stops and applies them. Backend servers with a planned stop get no
 * new requests. A stop of this host makes the daemon not ready; it is reported as done
 * when no request is open. While the table service is unavailable, the known stops stay
 * in force. Not thread-safe, except for {@link #isStopping}.
 */
final class PlannedStopFollower {

	/** Log of this class. */
	private static final EventLog LOG = EventLog.of(PlannedStopFollower.class);

	/** Store of the planned stops. */
	private final PlannedStopStore stops;

	/** Receives the targets of the stops. */
	private final BackendTracker tracker;

	/** Target of a stop of this host. */
	private final StopTarget hostTarget;

	/** Target of a stop of the data centre of this host. */
	private final StopTarget dataCentreTarget;

	/** Returns the number of open requests. */
	private final IntSupplier openRequests;

	/** Whether a planned stop covers this host. */
	private volatile boolean isStopping;

	PlannedStopFollower(PlannedStopStore stops, BackendTracker tracker, HostId host, DataCentre dataCentre,
			IntSupplier openRequests) {
		this.stops = Objects.requireNonNull(stops, "stops");
		this.tracker = Objects.requireNonNull(tracker, "tracker");
		this.hostTarget = StopTarget.entryHost(host);
		this.dataCentreTarget = StopTarget.dataCentre(dataCentre);
		this.openRequests = Objects.requireNonNull(openRequests, "openRequests");
	}

	/**
	 * Returns whether a planned stop covers this host.
	 * @return true if the load balancer should send requests to other hosts
	 */
	boolean isStopping() {
		return this.isStopping;
	}

	/** Reads and applies the planned stops. Blocks. */
	void refresh() {
		if (!(this.stops.list() instanceof PlannedStopStore.Listed listed)) {
			return;
		}
		Set<StopTarget> targets = listed.stops()
			.stream()
			.filter(PlannedStop::isStopping)
			.map(PlannedStop::target)
			.collect(Collectors.toSet());
		this.tracker.onPlannedStops(targets);
		boolean wasStopping = this.isStopping;
		this.isStopping = targets.contains(this.hostTarget) || targets.contains(this.dataCentreTarget);
		listed.stops().stream().filter((stop) -> stop.target().equals(this.hostTarget)).forEach((stop) -> {
			if (stop.isStopping() && stop.state() != PlannedStop.State.DONE) {
				reportProgress(stop, wasStopping);
			}
		});
	}

	// A stop is not reported as done in the poll that discovers it, since requests may
	// still arrive until the load balancer sees that the daemon is not ready.
	private void reportProgress(PlannedStop stop, boolean wasStopping) {
		int count = this.openRequests.getAsInt();
		if (wasStopping && count == 0 && stop.state() == PlannedStop.State.DRAINING) {
			this.stops.markDone(stop);
			LOG.info("planned_stop_done", "target", stop.target());
		}
		else {
			this.stops.progress(stop, "open requests: " + count);
		}
	}

}
