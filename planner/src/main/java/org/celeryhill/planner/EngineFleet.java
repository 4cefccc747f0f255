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
 * Engines of the host list with their latest reports. Thread-safe.
 */
final class EngineFleet {

	private final HostList hosts;

	/** Creates the adapter for an engine. */
	private final Function<HostList.Entry, Engine> adapters;

	private final TimerService timer;

	/** Threads that request reports from engines. */
	private final Scheduler workers;

	/** Maximum number of concurrent report requests. */
	private final int maxConcurrentRequests;

	/** Engines by id. */
	private final ConcurrentMap<BackendServerId, EngineObservation> engines = new ConcurrentHashMap<>();

	/** Entries of the latest host list. */
	private volatile List<HostList.Entry> entries = List.of();

	/** Monotonic time at which each entry host was last listed, in nanoseconds. */
	private final ConcurrentMap<HostId, Long> entryHostSeenNanos = new ConcurrentHashMap<>();

	EngineFleet(HostList hosts, Function<HostList.Entry, Engine> adapters, TimerService timer, Scheduler workers,
			int maxConcurrentRequests) {
		this.hosts = Objects.requireNonNull(hosts, "hosts");
		this.adapters = Objects.requireNonNull(adapters, "adapters");
		this.timer = Objects.requireNonNull(timer, "timer");
		this.workers = Objects.requireNonNull(workers, "workers");
		this.maxConcurrentRequests = maxConcurrentRequests;
	}

	/**
	 * Reads the host list. If it cannot be read, the previous one stays in effect.
	 * Blocks.
	 */
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
	 * Requests the reports of all engines of a service concurrently and waits for the
	 * responses. Blocks up to the timeout of the adapters.
	 * @param service the service, not null
	 */
	void refreshReports(ServiceId service) {
		Flowable.fromIterable(engines(service))
			.flatMapCompletable(
					(engine) -> Completable.fromAction(() -> refreshReport(engine)).subscribeOn(this.workers), true,
					this.maxConcurrentRequests)
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
	 * @return the engines ordered by id, never null
	 */
	List<EngineObservation> engines(ServiceId service) {
		return this.engines.values()
			.stream()
			.filter((engine) -> engine.entry().service().equals(service))
			.sorted((a, b) -> a.entry().id().compareTo(b.entry().id()))
			.toList();
	}

	/**
	 * Returns whether an entry host was listed before and has been absent from the host
	 * list for longer than the given time.
	 * @param host the entry host, not null
	 * @param absence the minimum absence, not null
	 * @return true if the host is gone; false also for a host that was never listed
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
