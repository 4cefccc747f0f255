package org.celeryhill.fake;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;

import org.celeryhill.base.BackendServerId;
import org.celeryhill.base.TimerService;
import org.celeryhill.port.PlainService;

/**
 * In-memory plain service that accepts every call as a booking and counts the runs of
 * each idempotency key, so that tests detect a call that runs twice. Its fault target is
 * the id of the server; a fault with a delay can make a call run late. Thread-safe.
 */
public final class FakePlainService implements PlainService {

	/** Header with the idempotency key of a call. */
	public static final String KEY_HEADER = "Idempotency-Key";

	/** Id of the server. */
	private final BackendServerId id;

	/** Largest number of concurrent calls. */
	private final int capacity;

	/** Executes each call with its injected fault. */
	private final FaultyCallExecutor call;

	/** Called with the duration of a call; may block. */
	private final Consumer<Duration> pause;

	/** Number of runs by idempotency key. Guarded by this. */
	private final Map<String, Integer> executions = new TreeMap<>();

	/** Duration of a call. Guarded by this. */
	private Duration callTime = Duration.ZERO;

	/** Number of running calls. Guarded by this. */
	private int running;

	/** Number of completed calls. Guarded by this. */
	private long total;

	/** Whether the server is to get no new work. Guarded by this. */
	private boolean isLeaving;

	private FakePlainService(BackendServerId id, int capacity, FaultyCallExecutor call, Consumer<Duration> pause) {
		this.id = id;
		this.capacity = capacity;
		this.call = call;
		this.pause = pause;
	}

	/**
	 * Returns a service without bookings.
	 * @param id the id of the server and name of the fault target, not null
	 * @param capacity the largest number of concurrent calls, positive
	 * @param timer the timer that runs late effects, not null
	 * @param faults the source of injected faults, not null
	 * @param pause called with the duration of a call or the delay of a slow exchange;
	 * may block, not null
	 * @return the service, never null
	 */
	public static FakePlainService create(BackendServerId id, int capacity, TimerService timer, FaultInjector faults,
			Consumer<Duration> pause) {
		FaultyCallExecutor faulty = new FaultyCallExecutor(timer, faults, id.value(), pause);
		return new FakePlainService(id, capacity, faulty, Objects.requireNonNull(pause, "pause"));
	}

	@Override
	public BackendServerId id() {
		return this.id;
	}

	@Override
	public CallResult call(Call request, Duration timeout) {
		return this.call.run(() -> execute(request), () -> new CallUnknown("no response"),
				() -> new CallNotRun("down"));
	}

	private CallResult execute(Call request) {
		Optional<Duration> time = start();
		if (time.isEmpty()) {
			return new CallNotRun("all " + this.capacity + " slots are in use");
		}
		if (!time.get().isZero()) {
			this.pause.accept(time.get());
		}
		return finish(request);
	}

	private synchronized Optional<Duration> start() {
		if (this.running >= this.capacity) {
			return Optional.empty();
		}
		this.running++;
		return Optional.of(this.callTime);
	}

	private synchronized CallResult finish(Call request) {
		this.running--;
		this.total++;
		String key = keyOf(request);
		int count = (key != null) ? this.executions.merge(key, 1, Integer::sum) : 1;
		String body = "{\"server\":\"" + this.id + "\",\"booking\":" + this.total + ",\"run\":" + count + "}";
		Map<String, String> headers = Map.of("Content-Type", "application/json");
		return new CallCompleted(request.attempt(), 200, headers, body.getBytes(StandardCharsets.UTF_8));
	}

	private static String keyOf(Call request) {
		for (Map.Entry<String, String> header : request.headers().entrySet()) {
			if (header.getKey().equalsIgnoreCase(KEY_HEADER)) {
				return header.getValue();
			}
		}
		return null;
	}

	@Override
	public synchronized Load load() {
		return new Load(true, this.running, this.capacity, this.isLeaving);
	}

	/**
	 * Sets the duration of each call.
	 * @param time the duration, not null, zero or more
	 */
	public synchronized void setCallTime(Duration time) {
		this.callTime = Objects.requireNonNull(time, "time");
	}

	/**
	 * Marks the server as leaving or live in its own load report.
	 * @param leaving whether the server is to get no new work
	 */
	public synchronized void setLeaving(boolean leaving) {
		this.isLeaving = leaving;
	}

	/**
	 * Returns the number of runs of each idempotency key.
	 * @return a copy of the counts by key, never null
	 */
	public synchronized Map<String, Integer> executionCounts() {
		return new TreeMap<>(this.executions);
	}

	/**
	 * Returns the number of completed calls, with or without a key.
	 * @return the number of calls
	 */
	public synchronized long completedCalls() {
		return this.total;
	}

}
