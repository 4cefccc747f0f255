package org.celeryhill.entry;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
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

	/** Time of the last question to a backend server that was never asked. */
	private static final long NEVER = Long.MIN_VALUE;

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

	/**
	 * When each backend server was asked last, monotonic nanoseconds, longest ago first.
	 */
	private final Map<BackendServerId, Long> asked = new LinkedHashMap<>();

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
		for (Backends.Backend backend : this.backends.all()) {
			if (backend.entry().kind() != HostList.Kind.LEGACY) {
				this.asked.putIfAbsent(backend.entry().id(), NEVER);
			}
		}
		for (Map.Entry<BackendServerId, Long> next : List.copyOf(this.asked.entrySet())) {
			if (this.permits < 1) {
				return;
			}
			turn(next.getKey(), next.getValue(), now);
		}
	}

	private void turn(BackendServerId id, long last, long now) {
		Optional<Backends.Backend> backend = this.backends.find(id);
		if (backend.isEmpty()) {
			this.asked.remove(id);
		}
		else if (!this.running.contains(id) && (last == NEVER || now - last >= this.period.toNanos())) {
			ask(backend.get(), now);
		}
	}

	private void refill(long now) {
		double seconds = (this.countedNanos == Long.MIN_VALUE) ? 1 : (now - this.countedNanos) / 1e9;
		this.permits = Math.min(this.rate, this.permits + seconds * this.rate);
		this.countedNanos = now;
	}

	private void ask(Backends.Backend backend, long now) {
		BackendServerId id = backend.entry().id();
		this.running.add(id);
		try {
			this.workers.execute(() -> askAndRelease(backend));
			this.asked.remove(id);
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
