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
 * Follows the planned stops: backend servers that are stopped get no new requests, and a
 * stop of this host makes the daemon not ready and is done when no request is open. While
 * the store is away the stops that are known stay in force. Not thread-safe.
 */
final class StopFollower {

	/** Log of this class. */
	private static final EventLog LOG = EventLog.of(StopFollower.class);

	/** Planned stops. */
	private final PlannedStopStore stops;

	/** Takes the targets. */
	private final BackendTracker tracker;

	/** Stop of this host. */
	private final StopTarget self;

	/** Stop of the data centre of this host. */
	private final StopTarget selfDataCentre;

	/** Requests that are open. */
	private final IntSupplier open;

	/** Whether this host is to be stopped. */
	private volatile boolean isStopping;

	StopFollower(PlannedStopStore stops, BackendTracker tracker, HostId host, DataCentre dataCentre, IntSupplier open) {
		this.stops = Objects.requireNonNull(stops, "stops");
		this.tracker = Objects.requireNonNull(tracker, "tracker");
		this.self = StopTarget.entryHost(host);
		this.selfDataCentre = StopTarget.dataCentre(dataCentre);
		this.open = Objects.requireNonNull(open, "open");
	}

	/**
	 * Returns whether this host is to be stopped.
	 * @return true if the load balancer is to send requests elsewhere
	 */
	boolean isStopping() {
		return this.isStopping;
	}

	/** Reads the stops. Blocks. */
	void follow() {
		if (!(this.stops.list() instanceof PlannedStopStore.Listed listed)) {
			return;
		}
		Set<StopTarget> targets = listed.stops()
			.stream()
			.filter(PlannedStop::isStopping)
			.map(PlannedStop::target)
			.collect(Collectors.toSet());
		this.tracker.onStops(targets);
		boolean wasStopping = this.isStopping;
		this.isStopping = targets.contains(this.self) || targets.contains(this.selfDataCentre);
		listed.stops().stream().filter((stop) -> stop.target().equals(this.self)).forEach((stop) -> {
			if (stop.isStopping() && stop.state() != PlannedStop.State.DONE) {
				report(stop, wasStopping);
			}
		});
	}

	// The first look only makes the daemon not ready; requests may still arrive then.
	private void report(PlannedStop stop, boolean wasStopping) {
		int count = this.open.getAsInt();
		if (wasStopping && count == 0 && stop.state() == PlannedStop.State.DRAINING) {
			this.stops.markDone(stop);
			LOG.info("planned_stop_done", "target", stop.target());
		}
		else {
			this.stops.progress(stop, "open requests: " + count);
		}
	}

}
