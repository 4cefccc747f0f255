package org.celeryhill.entry;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.celeryhill.base.BackendServerId;
import org.celeryhill.base.EventLog;
import org.celeryhill.base.TimerService;
import org.celeryhill.port.Engine;
import org.celeryhill.port.EngineReport;
import org.celeryhill.port.HostList;
import org.celeryhill.port.PlainService;
import org.celeryhill.state.StopTarget;
import org.celeryhill.traffic.BackendView;

/**
 * Updates the traffic controller's view of backend servers from the host list, the
 * planned stops and the load that each server reports. A host that disappears from the
 * list immediately gets no new requests, but its adapter is kept for
 * {@link #MISSING_RETENTION}, since the list lags and streams may still run on the host.
 * Thread-safe.
 */
final class BackendTracker {

	/** Time for which the adapter of a host is kept after it left the host list. */
	static final Duration MISSING_RETENTION = Duration.ofSeconds(60);

	/**
	 * Number of polled backend servers that makes the daemon ready even if more are
	 * listed.
	 */
	private static final int MAX_POLLED_BEFORE_READY = 50;

	/** Log of this class. */
	private static final EventLog LOG = EventLog.of(BackendTracker.class);

	/** Backend servers and their adapters. */
	private final BackendRegistry backends;

	/** Traffic controller that receives the views. */
	private final TrafficDispatcher dispatcher;

	/** Clock. */
	private final TimerService timer;

	/** Latest load reported by each backend server. */
	private final Map<BackendServerId, BackendLoad> loads = new ConcurrentHashMap<>();

	/** When each missing backend server left the host list, in monotonic nanoseconds. */
	private final Map<BackendServerId, Long> missingSince = new ConcurrentHashMap<>();

	/** Peer protocol addresses of the entry hosts in the host list. */
	private volatile List<InetSocketAddress> entryPeerAddresses = List.of();

	BackendTracker(BackendRegistry backends, TrafficDispatcher dispatcher, TimerService timer) {
		this.backends = Objects.requireNonNull(backends, "backends");
		this.dispatcher = Objects.requireNonNull(dispatcher, "dispatcher");
		this.timer = Objects.requireNonNull(timer, "timer");
	}

	/**
	 * Applies a new version of the host list.
	 * @param entries all entries of the list, not null
	 */
	synchronized void onHostList(List<HostList.Entry> entries) {
		this.entryPeerAddresses = entries.stream()
			.filter((entry) -> entry.kind() == HostList.Kind.ENTRY)
			.map((entry) -> new InetSocketAddress(entry.address().getHost(), entry.address().getPort()))
			.toList();
		Set<BackendServerId> listed = new HashSet<>();
		for (HostList.Entry entry : entries) {
			if (entry.kind() == HostList.Kind.ENTRY) {
				continue;
			}
			listed.add(entry.id());
			Optional<HostList.Entry> previous = this.backends.find(entry.id()).map(BackendRegistry.Backend::entry);
			boolean wasMissing = this.missingSince.remove(entry.id()) != null;
			this.backends.register(entry);
			if (wasMissing || !previous.equals(Optional.of(entry))) {
				LOG.info("backend_listed", "backend", entry.id(), "kind", entry.kind(), "leaving", entry.leaving());
				publishView(entry.id());
			}
		}
		for (BackendRegistry.Backend backend : this.backends.all()) {
			if (!listed.contains(backend.entry().id())) {
				handleMissing(backend.entry().id());
			}
		}
	}

	/**
	 * Returns the peer protocol addresses of the entry hosts in the host list.
	 * @return the addresses, never null
	 */
	List<InetSocketAddress> entryPeerAddresses() {
		return this.entryPeerAddresses;
	}

	private void handleMissing(BackendServerId id) {
		long now = this.timer.nanoTime();
		Long since = this.missingSince.putIfAbsent(id, now);
		if (since == null) {
			LOG.info("backend_missing", "backend", id);
			this.dispatcher.update((traffic) -> traffic.removeBackend(id));
		}
		else if (now - since > MISSING_RETENTION.toNanos()) {
			this.missingSince.remove(id);
			this.loads.remove(id);
			this.backends.remove(id);
		}
	}

	/**
	 * Applies the targets of the planned stops.
	 * @param targets the targets of all planned stops in force, not null
	 */
	void onPlannedStops(Set<StopTarget> targets) {
		if (this.backends.setStopTargets(targets)) {
			LOG.info("planned_stops", "targets", targets);
			this.backends.all().forEach((backend) -> publishView(backend.entry().id()));
		}
	}

	/**
	 * Records the result of polling an engine for its report.
	 * @param id the id of the engine, not null
	 * @param report the report, empty if the engine did not respond, not null
	 */
	void onReport(BackendServerId id, Optional<EngineReport> report) {
		BackendLoad previous = this.loads.getOrDefault(id, BackendLoad.UNKNOWN);
		this.loads.put(id, new BackendLoad(report.or(previous::report), 0, 0, report.isPresent(),
				report.or(previous::report).map(EngineReport::isLeaving).orElse(false)));
		publishView(id);
	}

	/**
	 * Records the result of polling a plain service for its load.
	 * @param id the id of the backend server, not null
	 * @param load the reported load, not null
	 */
	void onLoad(BackendServerId id, PlainService.Load load) {
		this.loads.put(id, new BackendLoad(Optional.empty(), load.running(), load.capacity(), load.isReachable(),
				load.isLeaving()));
		publishView(id);
	}

	/**
	 * Passes cache events of an engine to the traffic controller.
	 * @param id the id of the engine, not null
	 * @param events the events in order, not null
	 */
	void onCacheEvents(BackendServerId id, List<Engine.CacheEvent> events) {
		if (!events.isEmpty()) {
			this.dispatcher.update((traffic) -> traffic.recordCacheEvents(id, events));
		}
	}

	/**
	 * Returns whether requests can be routed: the listed backend servers, or
	 * {@link #MAX_POLLED_BEFORE_READY} of them, have been polled once, and at least one
	 * has responded.
	 * @return true if requests can be routed
	 */
	boolean isReady() {
		long listed = this.backends.all()
			.stream()
			.filter((backend) -> backend.entry().kind() != HostList.Kind.LEGACY)
			.count();
		return this.loads.size() >= Math.min(listed, MAX_POLLED_BEFORE_READY)
				&& this.loads.values().stream().anyMatch(BackendLoad::isReachable);
	}

	private void publishView(BackendServerId id) {
		Optional<HostList.Entry> entry = this.backends.find(id).map(BackendRegistry.Backend::entry);
		BackendLoad load = this.loads.get(id);
		if (entry.isEmpty() || load == null || entry.get().kind() == HostList.Kind.LEGACY
				|| this.missingSince.containsKey(id)) {
			return;
		}
		boolean isLeaving = load.isLeaving() || this.backends.isLeaving(entry.get());
		BackendView view = new BackendView(id, entry.get().service(), entry.get().dataCentre(), load.report(),
				load.running(), load.capacity(), load.isReachable(), isLeaving);
		this.dispatcher.update((traffic) -> traffic.updateBackend(view, this.timer.nanoTime()));
		this.dispatcher.requestDispatch();
	}

	/**
	 * The latest load of a backend server.
	 *
	 * @param report the latest report, empty for a plain service and before the first
	 * report
	 * @param running the number of running calls, 0 for an engine
	 * @param capacity the number of calls that can run at once, 0 for an engine
	 * @param isReachable whether the server responded to the latest poll
	 * @param isLeaving whether the server reported that it accepts no new requests
	 */
	private record BackendLoad(Optional<EngineReport> report, int running, int capacity, boolean isReachable,
			boolean isLeaving) {

		/** Load before the first poll has ended. */
		static final BackendLoad UNKNOWN = new BackendLoad(Optional.empty(), 0, 0, false, false);

	}

}
