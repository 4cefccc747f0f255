package org.celeryhill.entry;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;

import org.celeryhill.base.BackendServerId;
import org.celeryhill.base.EventLog;
import org.celeryhill.port.Engine;
import org.celeryhill.port.HostList;

/**
 * Asks backend servers for their load and cache events, each at most once a period and
 * all together at most at a fixed rate; those that waited longest come first.
 * Thread-safe.
 */
final class LoadPoller {

	/** Log of this class. */
	private static final EventLog LOG = EventLog.of(LoadPoller.class);

	/** Adapters. */
	private final Backends backends;

	/** Takes the answers. */
	private final BackendTracker tracker;

	/** Runs blocking questions. */
	private final Executor workers;

	/** Shortest time between two questions to one backend server. */
	private final Duration period;

	/** Most questions a second. */
	private final double rate;

	/** When each backend server was asked last, monotonic nanoseconds. */
	private final Map<BackendServerId, Long> asked = new ConcurrentHashMap<>();

	/** Backend servers whose answer is awaited. */
	private final Set<BackendServerId> running = ConcurrentHashMap.newKeySet();

	/** Last cache event seen of each engine. */
	private final Map<BackendServerId, Long> cacheSequences = new ConcurrentHashMap<>();

	/** Questions that may be asked now. */
	private double permits;

	/** When the permits were counted, monotonic nanoseconds. */
	private long countedNanos = Long.MIN_VALUE;

	LoadPoller(Backends backends, BackendTracker tracker, Executor workers, Duration period, double rate) {
		this.backends = Objects.requireNonNull(backends, "backends");
		this.tracker = Objects.requireNonNull(tracker, "tracker");
		this.workers = Objects.requireNonNull(workers, "workers");
		this.period = Objects.requireNonNull(period, "period");
		this.rate = rate;
	}

	/**
	 * Asks the backend servers whose turn it is.
	 * @param now the time in nanoseconds
	 */
	synchronized void tick(long now) {
		refill(now);
		List<Backends.Backend> due = this.backends.all()
			.stream()
			.filter((backend) -> backend.entry().kind() != HostList.Kind.LEGACY)
			.filter((backend) -> isDue(backend.entry().id(), now))
			.sorted(Comparator
				.comparingLong((backend) -> this.asked.getOrDefault(backend.entry().id(), Long.MIN_VALUE)))
			.limit((long) this.permits)
			.toList();
		due.forEach((backend) -> ask(backend, now));
	}

	private void refill(long now) {
		double seconds = (this.countedNanos == Long.MIN_VALUE) ? 1 : (now - this.countedNanos) / 1e9;
		this.permits = Math.min(this.rate, this.permits + seconds * this.rate);
		this.countedNanos = now;
	}

	private boolean isDue(BackendServerId id, long now) {
		Long last = this.asked.get(id);
		return !this.running.contains(id) && (last == null || now - last >= this.period.toNanos());
	}

	private void ask(Backends.Backend backend, long now) {
		BackendServerId id = backend.entry().id();
		this.running.add(id);
		try {
			this.workers.execute(() -> askAndRelease(backend));
			this.asked.put(id, now);
			this.permits--;
		}
		catch (RejectedExecutionException ex) {
			this.running.remove(id);
		}
	}

	private void askAndRelease(Backends.Backend backend) {
		try {
			if (backend.entry().kind() == HostList.Kind.ENGINE) {
				askEngine(backend.entry().id(), backend.engine().orElseThrow());
			}
			else {
				this.tracker.onLoad(backend.entry().id(), backend.plain().orElseThrow().load());
			}
		}
		catch (RuntimeException ex) {
			LOG.warn("poll_failed", "backend", backend.entry().id(), "fault", ex);
		}
		finally {
			this.running.remove(backend.entry().id());
		}
	}

	private void askEngine(BackendServerId id, Engine engine) {
		this.tracker.onReport(id, engine.report());
		long after = this.cacheSequences.getOrDefault(id, 0L);
		List<Engine.CacheEvent> events = engine.cacheEvents(after);
		if (!events.isEmpty()) {
			this.cacheSequences.put(id, events.get(events.size() - 1).sequence());
			this.tracker.onCacheEvents(id, events);
		}
	}

}
