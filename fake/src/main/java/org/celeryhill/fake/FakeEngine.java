package org.celeryhill.fake;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;

import io.reactivex.rxjava3.core.Flowable;
import org.celeryhill.base.AttemptId;
import org.celeryhill.base.BackendServerId;
import org.celeryhill.base.TimerService;
import org.celeryhill.port.Engine;
import org.celeryhill.port.EngineCommand;
import org.celeryhill.port.EngineReport;
import org.celeryhill.port.GenerateEvent;
import org.celeryhill.port.GenerateEvent.Failure;
import org.celeryhill.port.GenerateRequest;

/**
 * Model engine in process: continuous batching, prompt prefix cache, streams that can be
 * resumed and cancelled, lagging reports. Commands and residents are those of its
 * {@link FakeEngineMemory}. Faults come under the engine's id for commands, with the
 * suffix {@code /stream} for streams and {@code /report} for reports and cache events.
 * Thread-safe.
 */
public final class FakeEngine implements Engine {

	/** Suffix of the fault target of streams. */
	public static final String STREAM_TARGET = "/stream";

	/** Suffix of the fault target of reports and cache events. */
	public static final String REPORT_TARGET = "/report";

	/** Tokens after which a stream breaks whose answer is lost. */
	private static final int BREAK_AFTER_TOKENS = 8;

	/** Ended streams that are kept so that they can be read again. */
	private static final int MAX_ENDED = 4096;

	/** Id of the engine. */
	private final BackendServerId id;

	/** Weights and commands. */
	private final FakeEngineMemory memory;

	/** Time of reports and faults. */
	private final TimerService timer;

	/** Faults of streams and reports. */
	private final FaultInjector faults;

	/** Keeps residents loading until the weight store has delivered them. */
	private final FakeLoadGate gate;

	/** Streams that wait or run. */
	private final FakeBatch batch;

	/** Ended streams, oldest first. Guarded by this. */
	private final Map<AttemptId, FakeStream> ended = new LinkedHashMap<>();

	/** Finds the engines that a KV cache can be moved to. */
	private volatile Function<BackendServerId, Optional<FakeEngine>> peers = (id) -> Optional.empty();

	/** Report that is handed out until the next one is due. */
	private volatile EngineReport lastReport;

	/** Whether the engine is to get no new work. */
	private volatile boolean isLeaving;

	/** Whether requests are served without a resident model. */
	private volatile boolean isServingAnyModel;

	/** Streams that were started. */
	private final AtomicLong startedStreams = new AtomicLong();

	/** Streams that waited or ran when the engine stopped. Guarded by this. */
	private long droppedStreams;

	private FakeEngine(FakeEngineMemory memory, FakeEngineSettings settings, TimerService timer,
			FaultInjector faults, Optional<FakeWeightStore> weights) {
		this.memory = memory;
		this.id = memory.report().engine();
		this.timer = timer;
		this.faults = faults;
		this.gate = new FakeLoadGate(weights, timer);
		this.batch = new FakeBatch(settings, timer, this.id.value().hashCode(), this::keep);
	}

	/**
	 * Returns an engine whose loads take only the time that its memory gives them.
	 * @param memory the weights and commands, not null; gives the id
	 * @param settings the speed and limits, not null
	 * @param timer the time, not null
	 * @param faults the faults, not null
	 * @return the engine, never null
	 */
	public static FakeEngine create(FakeEngineMemory memory, FakeEngineSettings settings, TimerService timer,
			FaultInjector faults) {
		return create(memory, settings, timer, faults, Optional.empty());
	}

	/**
	 * Returns an engine without streams. Its report is renewed at the period of the
	 * report lag for as long as the timer service runs.
	 * @param memory the weights and commands, not null; gives the id
	 * @param settings the speed and limits, not null
	 * @param timer the time, not null
	 * @param faults the faults, not null
	 * @param weights the store that loads go through, or empty if they do not, not null
	 * @return the engine, never null
	 */
	public static FakeEngine create(FakeEngineMemory memory, FakeEngineSettings settings, TimerService timer,
			FaultInjector faults, Optional<FakeWeightStore> weights) {
		FakeEngine engine = new FakeEngine(Objects.requireNonNull(memory, "memory"),
				Objects.requireNonNull(settings, "settings"), Objects.requireNonNull(timer, "timer"),
				Objects.requireNonNull(faults, "faults"), Objects.requireNonNull(weights, "weights"));
		engine.renewReport();
		timer.ticks(settings.reportLag()).subscribe((now) -> engine.renewReport());
		return engine;
	}

	/**
	 * Sets how engines are found that a KV cache can be moved to.
	 * @param function returns the engine of an id, or empty if there is none, not null
	 */
	public void setPeers(Function<BackendServerId, Optional<FakeEngine>> function) {
		this.peers = Objects.requireNonNull(function, "function");
	}

	@Override
	public BackendServerId id() {
		return this.id;
	}

	@Override
	public Optional<EngineReport> report() {
		return isReportLost() ? Optional.empty() : Optional.of(this.lastReport);
	}

	private boolean isReportLost() {
		return !this.memory.isUp() || isLost(this.faults.nextFault(this.id + REPORT_TARGET).fault());
	}

	private static boolean isLost(Fault fault) {
		return fault != Fault.NONE && fault != Fault.DUPLICATE && fault != Fault.SLOW && fault != Fault.DELAYED_ANSWER;
	}

	private void renewReport() {
		this.lastReport = currentReport();
	}

	/**
	 * Returns the report without lag, for oracles.
	 * @return the report, never null
	 */
	public EngineReport currentReport() {
		return this.gate.apply(this.memory.report(this.batch.load(this.isLeaving)));
	}

	@Override
	public CommandResult send(EngineCommand command) {
		CommandResult result = this.memory.send(command);
		this.gate.apply(this.memory.report());
		return result;
	}

	@Override
	public Flowable<GenerateEvent> generate(GenerateRequest request) {
		Objects.requireNonNull(request, "request");
		return Flowable.defer(() -> start(request));
	}

	private Flowable<GenerateEvent> start(GenerateRequest request) {
		FaultInjector.InjectedFault injection = this.faults.nextFault(this.id + STREAM_TARGET);
		AttemptId attempt = request.attempt();
		if (!this.memory.isUp() || injection.fault() == Fault.DOWN) {
			return failed(attempt, Failure.NOT_SENT, "engine is down");
		}
		if (injection.fault() == Fault.LOST_REQUEST) {
			return failed(attempt, Failure.BROKEN, "request was lost");
		}
		if (injection.fault() == Fault.SLOW || injection.fault() == Fault.DELAYED_ANSWER) {
			return Flowable.defer(() -> accept(request, Fault.NONE)).delaySubscription(delayed(injection.delay()));
		}
		return accept(request, injection.fault());
	}

	private Flowable<Long> delayed(Duration delay) {
		return Flowable.create((emitter) -> emitter.setDisposable(this.timer.after(delay, () -> {
			emitter.onNext(0L);
			emitter.onComplete();
		})), io.reactivex.rxjava3.core.BackpressureStrategy.BUFFER);
	}

	private Flowable<GenerateEvent> accept(GenerateRequest request, Fault fault) {
		Optional<FakeStream> known = find(request.attempt());
		int from = request.continuationTokens();
		if (known.isPresent()) {
			return known.get().events(from, disturbance(fault, from));
		}
		if (!this.isServingAnyModel && !this.gate.apply(this.memory.report()).isReady(request.model())) {
			return failed(request.attempt(), Failure.REFUSED, "model is not ready: " + request.model());
		}
		this.startedStreams.incrementAndGet();
		return this.batch.add(request)
			.map((stream) -> stream.events(from, disturbance(fault, from)))
			.orElseGet(() -> failed(request.attempt(), Failure.REFUSED, "queue is full"));
	}

	private static FakeStreamReader.Disturbance disturbance(Fault fault, int from) {
		if (fault == Fault.LOST_ANSWER || fault == Fault.DELAYED_EFFECT) {
			return new FakeStreamReader.Disturbance(Fault.NONE, from + BREAK_AFTER_TOKENS);
		}
		boolean isMixed = fault == Fault.DUPLICATE || fault == Fault.REORDER;
		return isMixed ? new FakeStreamReader.Disturbance(fault, -1) : FakeStreamReader.Disturbance.NONE;
	}

	@Override
	public Flowable<GenerateEvent> resume(AttemptId attempt, int offset) {
		Objects.requireNonNull(attempt, "attempt");
		return Flowable.defer(() -> {
			Fault fault = this.faults.nextFault(this.id + STREAM_TARGET).fault();
			if (!this.memory.isUp() || fault == Fault.DOWN) {
				return failed(attempt, Failure.NOT_SENT, "engine is down");
			}
			if (fault == Fault.LOST_REQUEST) {
				return failed(attempt, Failure.BROKEN, "request was lost");
			}
			return find(attempt).map((stream) -> stream.events(offset, disturbance(fault, offset)))
				.orElseGet(() -> failed(attempt, Failure.UNKNOWN_STREAM, "no such stream"));
		});
	}

	private synchronized Optional<FakeStream> find(AttemptId attempt) {
		return this.batch.find(attempt).or(() -> Optional.ofNullable(this.ended.get(attempt)));
	}

	private synchronized void keep(FakeStream stream) {
		this.ended.put(stream.request().attempt(), stream);
		if (this.ended.size() > MAX_ENDED) {
			this.ended.remove(this.ended.keySet().iterator().next());
		}
	}

	@Override
	public void cancel(AttemptId attempt) {
		Objects.requireNonNull(attempt, "attempt");
		if (!isLost(this.faults.nextFault(this.id + STREAM_TARGET).fault())) {
			this.batch.cancel(attempt);
		}
	}

	@Override
	public boolean moveCache(AttemptId attempt, BackendServerId target) {
		Optional<FakeStream> stream = find(attempt);
		Optional<FakeEngine> peer = this.peers.apply(target);
		if (!this.memory.isUp() || stream.isEmpty() || peer.isEmpty() || !peer.get().memory.isUp()) {
			return false;
		}
		peer.get().batch.importCache(stream.get());
		return true;
	}

	@Override
	public List<CacheEvent> cacheEvents(long afterSequence) {
		return isReportLost() ? List.of() : this.batch.cacheEvents(afterSequence);
	}

	/**
	 * Marks the engine as leaving or live in its own reports.
	 * @param leaving whether the engine is to get no new work
	 */
	public void setLeaving(boolean leaving) {
		this.isLeaving = leaving;
	}

	/**
	 * Makes the engine serve every model, resident or not, as the legacy serving system
	 * does.
	 * @param isAny whether every model is served
	 */
	public void setServingAnyModel(boolean isAny) {
		this.isServingAnyModel = isAny;
	}

	/**
	 * Makes each step take longer.
	 * @param factor 1 for the usual speed, 2 for half of it, positive
	 */
	public void setSlowdown(double factor) {
		this.batch.setSlowdown(factor);
	}

	/**
	 * Stops the engine: its weights and streams are lost, readers see a broken stream.
	 */
	public void stop() {
		this.memory.stop();
		int dropped = this.batch.clear();
		synchronized (this) {
			this.ended.clear();
			this.droppedStreams += dropped;
		}
	}

	/** Restarts the engine with a new incarnation. */
	public void restart() {
		stop();
		this.memory.restart();
		this.isLeaving = false;
		renewReport();
	}

	/**
	 * Returns how many streams were started, for oracles.
	 * @return the number of requests that were not refused for their model
	 */
	public long startedStreams() {
		return this.startedStreams.get();
	}

	/**
	 * Returns how many streams were dropped by stops of the engine, for oracles.
	 * @return the number of streams that waited or ran
	 */
	public synchronized long droppedStreams() {
		return this.droppedStreams;
	}

	/**
	 * Returns the weights and commands, for oracles.
	 * @return the memory, never null
	 */
	public FakeEngineMemory memory() {
		return this.memory;
	}

	private static Flowable<GenerateEvent> failed(AttemptId attempt, Failure failure, String detail) {
		return Flowable.just(new GenerateEvent.Failed(attempt, failure, detail));
	}

}
