package org.celeryhill.planner;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.celeryhill.base.AttemptId;
import org.celeryhill.base.BackendServerId;
import org.celeryhill.base.EventLog;
import org.celeryhill.base.HostId;
import org.celeryhill.base.ModelId;
import org.celeryhill.base.TimerService;
import org.celeryhill.port.EngineReport;
import org.celeryhill.port.HostList;
import org.celeryhill.port.PlainService;
import org.celeryhill.state.PlannedStop;
import org.celeryhill.state.PlannedStopStore;
import org.celeryhill.state.StopTarget;

/**
 * Tracks planned stops and reports the progress of those of backend servers and data
 * centres. Rounds run one at a time; {@link #isStopping} may be called from any thread.
 */
final class PlannedStopTracker {

	/**
	 * Minimum time between the first observation of a planned stop and its completion:
	 * entry daemons may send requests for 5 s after the announcement, and engine reports
	 * lag behind.
	 */
	static final Duration SETTLE_TIME = Duration.ofSeconds(8);

	private static final EventLog LOG = EventLog.of(PlannedStopTracker.class);

	/** Store of planned stops. */
	private final PlannedStopStore rows;

	private final TimerService timer;

	/** Host of this process. */
	private final HostId host;

	/** Monotonic time at which each announcement was first seen, in nanoseconds. */
	private final Map<AttemptId, Long> firstSeenNanos = new HashMap<>();

	/** Planned stops in effect. */
	private volatile List<PlannedStop> stops = List.of();

	PlannedStopTracker(PlannedStopStore rows, TimerService timer, HostId host) {
		this.rows = Objects.requireNonNull(rows, "rows");
		this.timer = Objects.requireNonNull(timer, "timer");
		this.host = Objects.requireNonNull(host, "host");
	}

	/**
	 * Reads the planned stops. If they cannot be read, the known ones stay in effect.
	 * Blocks.
	 */
	void refresh() {
		if (!(this.rows.list() instanceof PlannedStopStore.Listed listed)) {
			return;
		}
		long now = this.timer.nanoTime();
		List<PlannedStop> active = listed.stops().stream().filter(PlannedStop::isStopping).toList();
		active.forEach((stop) -> this.firstSeenNanos.putIfAbsent(stop.announcement(), now));
		this.firstSeenNanos.keySet()
			.removeIf((id) -> active.stream().noneMatch((stop) -> stop.announcement().equals(id)));
		this.stops = active;
	}

	/**
	 * Returns whether a backend server gets no new work because of a planned stop.
	 * @param entry the entry of the backend server in the host list, not null
	 * @return true if a planned stop covers the backend server
	 */
	boolean isStopping(HostList.Entry entry) {
		return this.stops.stream().anyMatch((stop) -> stop.target().covers(entry.id(), entry.dataCentre()));
	}

	/**
	 * Returns whether a planned stop targets this planner.
	 * @return true if this planner is to stop
	 */
	boolean isOwnStopPlanned() {
		return this.stops.stream().anyMatch((stop) -> stop.target().equals(StopTarget.planner(this.host)));
	}

	/** Reports that this planner has released its leases. Blocks. */
	void reportOwnStopDone() {
		this.stops.stream()
			.filter((stop) -> stop.target().equals(StopTarget.planner(this.host)))
			.filter((stop) -> stop.state() != PlannedStop.State.DONE)
			.forEach(this.rows::markDone);
	}

	/**
	 * Reports the progress of the stops of backend servers and data centres. Normally one
	 * planner does so at a time; reports of a second one are harmless. Blocks.
	 * @param engines all engines with fresh reports, not null
	 * @param plainServers the plain servers with their load, not null
	 */
	void reportProgress(List<EngineObservation> engines, Map<HostList.Entry, PlainService.Load> plainServers) {
		for (PlannedStop stop : this.stops) {
			boolean isUnfinished = stop.state() == PlannedStop.State.ANNOUNCED
					|| stop.state() == PlannedStop.State.DRAINING;
			boolean isServerStop = stop.target().kind() == StopTarget.Kind.BACKEND_SERVER
					|| stop.target().kind() == StopTarget.Kind.DATA_CENTRE;
			if (isUnfinished && isServerStop) {
				reportStop(stop, listRemainingWork(stop.target(), engines, plainServers));
			}
		}
	}

	private void reportStop(PlannedStop stop, List<String> remaining) {
		long seenNanos = this.firstSeenNanos.getOrDefault(stop.announcement(), this.timer.nanoTime());
		boolean isSettled = this.timer.nanoTime() - seenNanos >= SETTLE_TIME.toNanos();
		if (remaining.isEmpty() && isSettled) {
			this.rows.markDone(stop);
			LOG.info("planned_stop_done", "target", stop.target().toKey());
			return;
		}
		String progress = (remaining.isEmpty()) ? "waiting for late requests" : String.join("; ", remaining);
		if (!progress.equals(stop.progress())) {
			this.rows.progress(stop, progress);
		}
	}

	private List<String> listRemainingWork(StopTarget target, List<EngineObservation> engines,
			Map<HostList.Entry, PlainService.Load> plainServers) {
		List<String> remaining = new ArrayList<>();
		for (EngineObservation engine : engines) {
			if (target.covers(engine.entry().id(), engine.entry().dataCentre())) {
				describeRemainingWork(engine, engines).ifPresent(remaining::add);
			}
		}
		plainServers.forEach((entry, load) -> {
			boolean isRunningCalls = load.isReachable() && load.running() > 0;
			if (isRunningCalls && target.covers(entry.id(), entry.dataCentre())) {
				remaining.add(entry.id() + ": " + load.running() + " calls");
			}
		});
		return remaining;
	}

	private Optional<String> describeRemainingWork(EngineObservation engine, List<EngineObservation> engines) {
		Optional<EngineReport> report = engine.report();
		if (report.isEmpty() || engine.isSuspect(this.timer.nanoTime(), SETTLE_TIME.toNanos())) {
			return Optional.of(engine.entry().id() + ": no report");
		}
		int streams = report.get().running() + report.get().queued();
		long lastReplicas = report.get()
			.residents()
			.stream()
			.filter((resident) -> resident.state() == EngineReport.ResidentState.READY)
			.filter((resident) -> !isReadyElsewhere(resident.model(), engine.entry().id(), engines))
			.count();
		if (streams == 0 && lastReplicas == 0) {
			return Optional.empty();
		}
		return Optional
			.of(engine.entry().id() + ": " + streams + " streams, " + lastReplicas + " models without a replica");
	}

	private boolean isReadyElsewhere(ModelId model, BackendServerId excludedEngine, List<EngineObservation> engines) {
		long now = this.timer.nanoTime();
		return engines.stream()
			.filter((other) -> !other.entry().id().equals(excludedEngine))
			.filter((other) -> !other.isLeaving() && !isStopping(other.entry()))
			.filter((other) -> !other.isSuspect(now, SETTLE_TIME.toNanos()))
			.anyMatch((other) -> other.report().filter((report) -> report.isReady(model)).isPresent());
	}

	List<String> dumpState() {
		return this.stops.stream().map((stop) -> stop.target().toKey() + " " + stop.state()).toList();
	}

}
