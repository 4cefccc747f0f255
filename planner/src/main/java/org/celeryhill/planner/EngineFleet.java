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
	private final int maxConcurrentRequests;

	/** Engines by id. */
	private final ConcurrentMap<BackendServerId, EngineObservation> engines = new ConcurrentHashMap<>();

	/** Latest entries of the host list. */
	private volatile List<HostList.Entry> entries = List.of();

	/** When each entry host was last seen in the host list, in monotonic nanoseconds. */
	private final ConcurrentMap<HostId, Long> entryHostSeenNanos = new ConcurrentHashMap<>();

	EngineFleet(HostList hosts, Function<HostList.Entry, Engine> adapters, TimerService timer, Scheduler workers,
			int maxConcurrentRequests) {
		this.hosts = Objects.requireNonNull(hosts, "hosts");
		this.adapters = Objects.requireNonNull(adapters, "adapters");
		this.timer = Objects.requireNonNull(timer, "timer");
		this.workers = Objects.requireNonNull(workers, "workers");
		this.maxConcurrentRequests = maxConcurrentRequests;
	}

	/** Reads the host list; without an answer the latest one stays. Blocks. */
	void refreshHostList() {
		Optional<List<HostList.Entry>> entries = this.hosts.read();
		if (entries.isEmpty()) {
			return;
		}
		this.entries = List.copyOf(entries.get());
		long now = this.timer.nanoTime();
		for (HostList.Entry entry : entries.get()) {
			if (entry.kind() == HostList.Kind.ENGINE) {
				this.engines.compute(entry.id(), (id, previous) -> mergeEntry(previous, entry));
			}
			else if (entry.kind() == HostList.Kind.ENTRY) {
				this.entryHostSeenNanos.put(HostId.of(entry.id().value()), now);
			}
		}
		Set<BackendServerId> listed = entries.get().stream().map(HostList.Entry::id).collect(Collectors.toSet());
		this.engines.keySet().retainAll(listed);
	}

	private EngineObservation mergeEntry(EngineObservation previous, HostList.Entry entry) {
		if (previous != null && previous.entry().address().equals(entry.address())) {
			return previous.withEntry(entry);
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
			.flatMapCompletable((engine) -> Completable.fromAction(() -> refreshReport(engine)).subscribeOn(this.workers),
					true, this.maxConcurrentRequests)
			.blockingAwait();
	}

	private void refreshReport(EngineObservation observed) {
		long requested = this.timer.nanoTime();
		Optional<EngineReport> report = observed.engine().report();
		long received = this.timer.nanoTime();
		report.ifPresent((found) -> this.engines.computeIfPresent(observed.entry().id(),
				(id, current) -> current.withReport(found, requested, received)));
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
	boolean isHostGone(HostId host, Duration absence) {
		Long lastSeenNanos = this.entryHostSeenNanos.get(host);
		return lastSeenNanos != null && this.timer.nanoTime() - lastSeenNanos > absence.toNanos();
	}

	List<HostList.Entry> entries() {
		return this.entries;
	}

	Map<BackendServerId, EngineObservation> enginesById() {
		return Map.copyOf(this.engines);
	}

}
