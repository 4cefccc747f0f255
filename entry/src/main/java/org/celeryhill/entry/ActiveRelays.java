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
 * The generations that run in this daemon, by the id of their response. All their
 * timeouts are checked by one periodic task, which avoids a timer for each token.
 * Thread-safe.
 */
final class ActiveRelays implements AutoCloseable {

	/** Time between two timeout checks, and the maximum delay of a timeout. */
	private static final Duration CHECK_PERIOD = Duration.ofMillis(50);

	/** Log of this class. */
	private static final EventLog LOG = EventLog.of(ActiveRelays.class);

	/** Measures the scheduling lag of this process. */
	private final LagProbe lagProbe;

	/** Running generations by the id of their response. */
	private final Map<RequestId, GenerationRelay> relays = new ConcurrentHashMap<>();

	/** Subscription of the periodic timeout check. */
	private final Disposable timeoutChecks;

	ActiveRelays(TimerService timer, List<? extends Executor> ioThreads) {
		Objects.requireNonNull(timer, "timer");
		this.lagProbe = new LagProbe(timer, ioThreads, CHECK_PERIOD.toNanos());
		this.timeoutChecks = timer.ticks(CHECK_PERIOD).subscribe(this::checkTimeouts);
	}

	/**
	 * Adds a generation. If it resumes a stream that another generation of this daemon
	 * relays, the other one is ended.
	 * @param relay the relay of the generation, not null
	 */
	void add(GenerationRelay relay) {
		GenerationRelay earlier = this.relays.put(relay.job().responseId(), relay);
		if (earlier != null) {
			earlier.supersede();
		}
	}

	void remove(GenerationRelay relay) {
		this.relays.remove(relay.job().responseId(), relay);
	}

	int size() {
		return this.relays.size();
	}

	/** Asks the callers of all running streams to resume through other daemons. */
	void handOverAll() {
		List.copyOf(this.relays.values()).forEach(GenerationRelay::handOver);
	}

	// The lag of this process is subtracted, so that it does not count as a stall of an
	// engine.
	private void checkTimeouts(long now) {
		long adjustedNow = now - this.lagProbe.measure(now);
		for (GenerationRelay relay : this.relays.values()) {
			try {
				relay.checkTimeouts(adjustedNow);
			}
			catch (RuntimeException ex) {
				LOG.warn("timeout_check_failed", "request", relay.job().id(), "fault", ex);
			}
		}
	}

	@Override
	public void close() {
		this.timeoutChecks.dispose();
	}

}
