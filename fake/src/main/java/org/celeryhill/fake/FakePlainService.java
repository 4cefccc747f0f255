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
 * Plain service in memory that books whatever it is sent and counts how often each key
 * ran, so that a double run can be seen. Faults come under the server's id; with a delay
 * they can make a call run late. Thread-safe.
 */
public final class FakePlainService implements PlainService {

	/** Header with the key of a non-idempotent call. */
	public static final String KEY_HEADER = "Idempotency-Key";

	/** Id of the server. */
	private final BackendServerId id;

	/** Calls that can run at once. */
	private final int capacity;

	/** Runs each call under its fault. */
	private final FaultyCall call;

	/** Blocks a call for the time it takes. */
	private final Consumer<Duration> pause;

	/** Runs by key, for calls with a key. Guarded by this. */
	private final Map<String, Integer> executions = new TreeMap<>();

	/** Time that a call takes. Guarded by this. */
	private Duration callTime = Duration.ZERO;

	/** Calls that run. Guarded by this. */
	private int running;

	/** Calls that ran. Guarded by this. */
	private long total;

	/** Whether the server is to get no new work. Guarded by this. */
	private boolean isLeaving;

	private FakePlainService(BackendServerId id, int capacity, FaultyCall call, Consumer<Duration> pause) {
		this.id = id;
		this.capacity = capacity;
		this.call = call;
		this.pause = pause;
	}

	/**
	 * Returns a service without bookings.
	 * @param id the id, also the fault target, not null
	 * @param capacity the calls that can run at once, positive
	 * @param timer the time of late effects, not null
	 * @param faults the faults, not null
	 * @param pause called with the time of a call or a slow exchange, not null
	 * @return the service, never null
	 */
	public static FakePlainService create(BackendServerId id, int capacity, TimerService timer, FaultInjector faults,
			Consumer<Duration> pause) {
		FaultyCall faulty = new FaultyCall(timer, faults, id.value(), pause);
		return new FakePlainService(id, capacity, faulty, Objects.requireNonNull(pause, "pause"));
	}

	@Override
	public BackendServerId id() {
		return this.id;
	}

	@Override
	public CallResult call(Call request, Duration timeout) {
		return this.call.run(() -> execute(request), () -> new CallUnknown("no answer"), () -> new CallNotRun("down"));
	}

	private CallResult execute(Call request) {
		Optional<Duration> time = start();
		if (time.isEmpty()) {
			return new CallNotRun("all " + this.capacity + " places are taken");
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
	 * Sets the time that each call takes.
	 * @param time the time, not null, zero or more
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
	 * Returns how often each key ran.
	 * @return a copy of the counts by key, never null
	 */
	public synchronized Map<String, Integer> executionCounts() {
		return new TreeMap<>(this.executions);
	}

	/**
	 * Returns how many calls ran.
	 * @return the number of calls
	 */
	public synchronized long completedCalls() {
		return this.total;
	}

}
