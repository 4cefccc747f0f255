package org.celeryhill.planner;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.function.Function;
import java.util.stream.Collectors;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Scheduler;
import org.celeryhill.base.BackendServerId;
import org.celeryhill.base.HostId;
import org.celeryhill.base.ServiceId;
import org.celeryhill.base.TimerService;
import org.celeryhill.port.Engine;
import org.celeryhill.port.EngineReport;
import org.celeryhill.port.HostList;

/**
 * The engines of the host list with their latest reports. Thread-safe.
 */
final class EngineFleet {

	/** Host list. */
	private final HostList hosts;

	/** Creates the adapter of an engine. */
	private final Function<HostList.Entry, Engine> adapters;

	/** Time. */
	private final TimerService timer;

	/** Workers that talk to engines. */
	private final Scheduler workers;

	/** Most questions to engines at once. */
	private final int parallelism;

	/** Engines by id. */
	private final ConcurrentMap<BackendServerId, EngineObservation> engines = new ConcurrentHashMap<>();

	/** Latest entries of the host list. */
	private volatile List<HostList.Entry> entries = List.of();

	/** When each entry host was last seen in the host list, in monotonic nanoseconds. */
	private final ConcurrentMap<HostId, Long> entryHosts = new ConcurrentHashMap<>();

	EngineFleet(HostList hosts, Function<HostList.Entry, Engine> adapters, TimerService timer, Scheduler workers,
			int parallelism) {
		this.hosts = Objects.requireNonNull(hosts, "hosts");
		this.adapters = Objects.requireNonNull(adapters, "adapters");
		this.timer = Objects.requireNonNull(timer, "timer");
		this.workers = Objects.requireNonNull(workers, "workers");
		this.parallelism = parallelism;
	}

	/** Reads the host list; without an answer the latest one stays. Blocks. */
	void refreshHosts() {
		Optional<List<HostList.Entry>> entries = this.hosts.read();
		if (entries.isEmpty()) {
			return;
		}
		this.entries = List.copyOf(entries.get());
		long now = this.timer.nanoTime();
		for (HostList.Entry entry : entries.get()) {
			if (entry.kind() == HostList.Kind.ENGINE) {
				this.engines.compute(entry.id(), (id, known) -> merge(known, entry));
			}
			else if (entry.kind() == HostList.Kind.ENTRY) {
				this.entryHosts.put(HostId.of(entry.id().value()), now);
			}
		}
		Set<BackendServerId> listed = entries.get().stream().map(HostList.Entry::id).collect(Collectors.toSet());
		this.engines.keySet().retainAll(listed);
	}

	private EngineObservation merge(EngineObservation known, HostList.Entry entry) {
		if (known != null && known.entry().address().equals(entry.address())) {
			return known.withEntry(entry);
		}
		return new EngineObservation(entry, this.adapters.apply(entry), Optional.empty(), 0, 0);
	}

	/**
	 * Asks all engines of a service for their reports at once and waits for them. Blocks
	 * up to the timeout of the adapters.
	 * @param service the service, not null
	 */
	void refreshReports(ServiceId service) {
		Flowable.fromIterable(engines(service))
			.flatMapCompletable((engine) -> Completable.fromAction(() -> refresh(engine)).subscribeOn(this.workers),
					true, this.parallelism)
			.blockingAwait();
	}

	private void refresh(EngineObservation observed) {
		long requested = this.timer.nanoTime();
		Optional<EngineReport> report = observed.engine().report();
		long answered = this.timer.nanoTime();
		report.ifPresent((found) -> this.engines.computeIfPresent(observed.entry().id(),
				(id, current) -> current.withReport(found, requested, answered)));
	}

	/**
	 * Returns the engines of a service.
	 * @param service the service, not null
	 * @return the engines in order of id, never null
	 */
	List<EngineObservation> engines(ServiceId service) {
		return this.engines.values()
			.stream()
			.filter((engine) -> engine.entry().service().equals(service))
			.sorted((a, b) -> a.entry().id().compareTo(b.entry().id()))
			.toList();
	}

	/**
	 * Returns whether an entry host was listed once and has been absent for a time.
	 * @param host the host, not null
	 * @param absence the time, not null
	 * @return false also for a host that was never listed
	 */
	boolean isGone(HostId host, Duration absence) {
		Long seen = this.entryHosts.get(host);
		return seen != null && this.timer.nanoTime() - seen > absence.toNanos();
	}

	List<HostList.Entry> entries() {
		return this.entries;
	}

	Map<BackendServerId, EngineObservation> all() {
		return Map.copyOf(this.engines);
	}

}
