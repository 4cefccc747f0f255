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
 * Keeps the traffic controller's view of backend servers: who is in the host list, who is
 * leaving, and what each one says of itself. A host that is missing from the list gets no
 * new work at once, and its adapter is kept for a while, since the list lags and streams
 * may still run there. Thread-safe.
 */
final class BackendTracker {

	/** Time for which the adapter of a host that is missing from the list is kept. */
	static final Duration KEPT_AFTER_MISSING = Duration.ofSeconds(60);

	/**
	 * Backend servers that are asked before the daemon is ready, if there are as many.
	 */
	private static final int ENOUGH_ASKED = 50;

	/** Log of this class. */
	private static final EventLog LOG = EventLog.of(BackendTracker.class);

	/** Adapters. */
	private final Backends backends;

	/** Takes views. */
	private final TrafficGate gate;

	/** Time. */
	private final TimerService timer;

	/** Latest state by backend server. */
	private final Map<BackendServerId, Load> loads = new ConcurrentHashMap<>();

	/** When a backend server was first missing from the list, monotonic nanoseconds. */
	private final Map<BackendServerId, Long> missing = new ConcurrentHashMap<>();

	/** Peer addresses of the entry hosts in the list. */
	private volatile List<InetSocketAddress> entryAddresses = List.of();

	BackendTracker(Backends backends, TrafficGate gate, TimerService timer) {
		this.backends = Objects.requireNonNull(backends, "backends");
		this.gate = Objects.requireNonNull(gate, "gate");
		this.timer = Objects.requireNonNull(timer, "timer");
	}

	/**
	 * Takes note of the host list.
	 * @param entries the entries, not null
	 */
	synchronized void onHostList(List<HostList.Entry> entries) {
		this.entryAddresses = entries.stream()
			.filter((entry) -> entry.kind() == HostList.Kind.ENTRY)
			.map((entry) -> new InetSocketAddress(entry.address().getHost(), entry.address().getPort()))
			.toList();
		Set<BackendServerId> listed = new HashSet<>();
		for (HostList.Entry entry : entries) {
			if (entry.kind() == HostList.Kind.ENTRY) {
				continue;
			}
			listed.add(entry.id());
			Optional<HostList.Entry> old = this.backends.find(entry.id()).map(Backends.Backend::entry);
			boolean wasMissing = this.missing.remove(entry.id()) != null;
			this.backends.put(entry);
			if (wasMissing || !old.equals(Optional.of(entry))) {
				LOG.info("backend_listed", "backend", entry.id(), "kind", entry.kind(), "leaving", entry.leaving());
				publish(entry.id());
			}
		}
		for (Backends.Backend backend : this.backends.all()) {
			if (!listed.contains(backend.entry().id())) {
				onMissing(backend.entry().id());
			}
		}
	}

	/**
	 * Returns the addresses under which the host list names entry hosts: those of their
	 * peer protocol.
	 * @return the addresses, never null
	 */
	List<InetSocketAddress> entryAddresses() {
		return this.entryAddresses;
	}

	private void onMissing(BackendServerId id) {
		long now = this.timer.nanoTime();
		Long since = this.missing.putIfAbsent(id, now);
		if (since == null) {
			LOG.info("backend_missing", "backend", id);
			this.gate.update((inner) -> inner.removeBackend(id));
		}
		else if (now - since > KEPT_AFTER_MISSING.toNanos()) {
			this.missing.remove(id);
			this.loads.remove(id);
			this.backends.remove(id);
		}
	}

	/**
	 * Takes note of the targets of planned stops.
	 * @param targets the targets, not null
	 */
	void onStops(Set<StopTarget> targets) {
		if (this.backends.setStops(targets)) {
			LOG.info("planned_stops", "targets", targets);
			this.backends.all().forEach((backend) -> publish(backend.entry().id()));
		}
	}

	/**
	 * Takes note of an engine's answer to a question.
	 * @param id the engine, not null
	 * @param report the report, empty if there was no answer, not null
	 */
	void onReport(BackendServerId id, Optional<EngineReport> report) {
		Load old = this.loads.getOrDefault(id, Load.UNKNOWN);
		this.loads.put(id, new Load(report.or(old::report), 0, 0, report.isPresent(),
				report.or(old::report).map(EngineReport::isLeaving).orElse(false)));
		publish(id);
	}

	/**
	 * Takes note of a plain service's answer to a question.
	 * @param id the backend server, not null
	 * @param load the load, not null
	 */
	void onLoad(BackendServerId id, PlainService.Load load) {
		this.loads.put(id,
				new Load(Optional.empty(), load.running(), load.capacity(), load.isReachable(), load.isLeaving()));
		publish(id);
	}

	/**
	 * Takes note of cache events.
	 * @param id the engine, not null
	 * @param events the events, not null
	 */
	void onCacheEvents(BackendServerId id, List<Engine.CacheEvent> events) {
		if (!events.isEmpty()) {
			this.gate.update((inner) -> inner.recordCacheEvents(id, events));
		}
	}

	/**
	 * Returns whether requests can be routed: the listed backend servers, or enough of
	 * them, have been asked once, and one has answered.
	 * @return true if requests can be routed
	 */
	boolean isReady() {
		long listed = this.backends.all()
			.stream()
			.filter((backend) -> backend.entry().kind() != HostList.Kind.LEGACY)
			.count();
		return this.loads.size() >= Math.min(listed, ENOUGH_ASKED)
				&& this.loads.values().stream().anyMatch(Load::isReachable);
	}

	private void publish(BackendServerId id) {
		Optional<HostList.Entry> entry = this.backends.find(id).map(Backends.Backend::entry);
		Load load = this.loads.get(id);
		if (entry.isEmpty() || load == null || entry.get().kind() == HostList.Kind.LEGACY
				|| this.missing.containsKey(id)) {
			return;
		}
		boolean isLeaving = load.isLeaving() || this.backends.isLeaving(entry.get());
		BackendView view = new BackendView(id, entry.get().service(), entry.get().dataCentre(), load.report(),
				load.running(), load.capacity(), load.isReachable(), isLeaving);
		this.gate.update((inner) -> inner.updateBackend(view, this.timer.nanoTime()));
		this.gate.wake();
	}

	/**
	 * What a backend server said last.
	 *
	 * @param report the engine's report
	 * @param running the running calls of a plain service
	 * @param capacity the calls that a plain service can run
	 * @param isReachable whether it answered the latest question
	 * @param isLeaving whether it said that it gets no new work
	 */
	private record Load(Optional<EngineReport> report, int running, int capacity, boolean isReachable,
			boolean isLeaving) {

		/** Before the first answer. */
		static final Load UNKNOWN = new Load(Optional.empty(), 0, 0, false, false);

	}

}
