package org.celeryhill.entry;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;

import io.reactivex.rxjava3.disposables.Disposable;
import org.celeryhill.base.EventLog;
import org.celeryhill.base.RequestId;
import org.celeryhill.base.TimerService;

/**
 * The generations that run in this daemon, by the id of their answer. Checks their
 * timeouts periodically, so that a token costs no timer. Thread-safe.
 */
final class LiveRelays implements AutoCloseable {

	/** Time between two checks; timeouts are late by at most this. */
	private static final Duration CHECK_PERIOD = Duration.ofMillis(50);

	/** Log of this class. */
	private static final EventLog LOG = EventLog.of(LiveRelays.class);

	/** How late this process is. */
	private final LagProbe lag;

	/** Running generations. */
	private final Map<RequestId, StreamRelay> relays = new ConcurrentHashMap<>();

	/** Periodic check. */
	private final Disposable checks;

	LiveRelays(TimerService timer, List<? extends Executor> ioThreads) {
		Objects.requireNonNull(timer, "timer");
		this.lag = new LagProbe(timer, ioThreads, CHECK_PERIOD.toNanos());
		this.checks = timer.ticks(CHECK_PERIOD).subscribe(this::checkTimeouts);
	}

	/**
	 * Adds a generation and ends the one whose stream it resumes, if that one runs here.
	 * @param relay the generation, not null
	 */
	void add(StreamRelay relay) {
		StreamRelay earlier = this.relays.put(relay.job().answerId(), relay);
		if (earlier != null) {
			earlier.supersede();
		}
	}

	void remove(StreamRelay relay) {
		this.relays.remove(relay.job().answerId(), relay);
	}

	int size() {
		return this.relays.size();
	}

	/** Hands all running streams over to other daemons. */
	void handOverAll() {
		List.copyOf(this.relays.values()).forEach(StreamRelay::handOver);
	}

	// The lag of this process does not count as silence of an engine.
	private void checkTimeouts(long now) {
		long excused = now - this.lag.check(now);
		for (StreamRelay relay : this.relays.values()) {
			try {
				relay.checkTimeouts(excused);
			}
			catch (RuntimeException ex) {
				LOG.warn("timeout_check_failed", "request", relay.job().id(), "fault", ex);
			}
		}
	}

	@Override
	public void close() {
		this.checks.dispose();
	}

}
