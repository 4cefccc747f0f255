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
 * Polls backend servers for their load and cache events. Each server is polled at most
 * once per period, and the total rate of polls is limited. Servers whose last poll is the
 * longest ago come first. Thread-safe.
 */
final class LoadPoller {

	/** Log of this class. */
	private static final EventLog LOG = EventLog.of(LoadPoller.class);

	/** Value in {@link #lastPollNanos} for a backend server that was never polled. */
	private static final long NEVER_POLLED = Long.MIN_VALUE;

	/** Registry of backend servers. */
	private final BackendRegistry backends;

	/** Receives the results of polls. */
	private final BackendTracker tracker;

	/** Executor of the blocking polls. */
	private final Executor workers;

	/** Minimum time between two polls of one backend server. */
	private final Duration period;

	/** Maximum number of polls per second. */
	private final double rate;

	/**
	 * When each backend server was polled last, in monotonic nanoseconds, longest ago
	 * first.
	 */
	private final Map<BackendServerId, Long> lastPollNanos = new LinkedHashMap<>();

	/** Backend servers that are being polled. */
	private final Set<BackendServerId> running = ConcurrentHashMap.newKeySet();

	/** Sequence number of the last cache event received from each engine. */
	private final Map<BackendServerId, Long> lastCacheSequences = new ConcurrentHashMap<>();

	/** Token bucket: number of polls that may start now. */
	private double permits;

	/** When the permits were last refilled, in monotonic nanoseconds. */
	private long refilledNanos = Long.MIN_VALUE;

	LoadPoller(BackendRegistry backends, BackendTracker tracker, Executor workers, Duration period, double rate) {
		this.backends = Objects.requireNonNull(backends, "backends");
		this.tracker = Objects.requireNonNull(tracker, "tracker");
		this.workers = Objects.requireNonNull(workers, "workers");
		this.period = Objects.requireNonNull(period, "period");
		this.rate = rate;
	}

	/**
	 * Starts polls of the backend servers that are due.
	 * @param now the monotonic time in nanoseconds
	 */
	synchronized void startDuePolls(long now) {
		refillPermits(now);
		for (BackendRegistry.Backend backend : this.backends.all()) {
			if (backend.entry().kind() != HostList.Kind.LEGACY) {
				this.lastPollNanos.putIfAbsent(backend.entry().id(), NEVER_POLLED);
			}
		}
		for (Map.Entry<BackendServerId, Long> next : List.copyOf(this.lastPollNanos.entrySet())) {
			if (this.permits < 1) {
				return;
			}
			pollIfDue(next.getKey(), next.getValue(), now);
		}
	}

	private void pollIfDue(BackendServerId id, long lastPoll, long now) {
		Optional<BackendRegistry.Backend> backend = this.backends.find(id);
		if (backend.isEmpty()) {
			this.lastPollNanos.remove(id);
		}
		else if (!this.running.contains(id) && (lastPoll == NEVER_POLLED || now - lastPoll >= this.period.toNanos())) {
			startPoll(backend.get(), now);
		}
	}

	private void refillPermits(long now) {
		double seconds = (this.refilledNanos == Long.MIN_VALUE) ? 1 : (now - this.refilledNanos) / 1e9;
		this.permits = Math.min(this.rate, this.permits + seconds * this.rate);
		this.refilledNanos = now;
	}

	private void startPoll(BackendRegistry.Backend backend, long now) {
		BackendServerId id = backend.entry().id();
		this.running.add(id);
		try {
			this.workers.execute(() -> poll(backend));
			this.lastPollNanos.remove(id);
			this.lastPollNanos.put(id, now);
			this.permits--;
		}
		catch (RejectedExecutionException ex) {
			this.running.remove(id);
		}
	}

	private void poll(BackendRegistry.Backend backend) {
		try {
			if (backend.entry().kind() == HostList.Kind.ENGINE) {
				pollEngine(backend.entry().id(), backend.engine().orElseThrow());
			}
			else {
				this.tracker.onLoad(backend.entry().id(), backend.plainService().orElseThrow().load());
			}
		}
		catch (RuntimeException ex) {
			LOG.warn("poll_failed", "backend", backend.entry().id(), "fault", ex);
		}
		finally {
			this.running.remove(backend.entry().id());
		}
	}

	private void pollEngine(BackendServerId id, Engine engine) {
		this.tracker.onReport(id, engine.report());
		long after = this.lastCacheSequences.getOrDefault(id, 0L);
		List<Engine.CacheEvent> events = engine.cacheEvents(after);
		if (!events.isEmpty()) {
			this.lastCacheSequences.put(id, events.get(events.size() - 1).sequence());
			this.tracker.onCacheEvents(id, events);
		}
	}

}
