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
 * In-process model engine with continuous batching, a prompt prefix cache, streams that
 * can be resumed and cancelled, and delayed reports. {@link FakeEngineMemory} executes
 * its commands and holds its resident models. The fault target of commands is the id of
 * the engine; streams have the suffix {@code /stream}, reports and cache events the
 * suffix {@code /report}. Thread-safe.
 */
public final class FakeEngine implements Engine {

	/** Suffix of the fault target of streams. */
	public static final String STREAM_TARGET = "/stream";

	/** Suffix of the fault target of reports and cache events. */
	public static final String REPORT_TARGET = "/report";

	/** Number of tokens after which a stream breaks if its response is to be lost. */
	private static final int BREAK_AFTER_TOKENS = 8;

	/** Ended streams that are retained for resumption. */
	private static final int MAX_ENDED_STREAMS = 4096;

	/** Id of the engine and name of its fault target. */
	private final BackendServerId id;

	/** Executes commands and holds resident models. */
	private final FakeEngineMemory memory;

	/** Time of reports and delayed faults. */
	private final TimerService timer;

	/** Chooses the faults of streams and reports. */
	private final FaultInjector faults;

	/** Reports models as loading until the weight store has delivered them. */
	private final FakeLoadTracker loadTracker;

	/** Waiting and running streams. */
	private final FakeBatch batch;

	/** Ended streams, oldest first. Guarded by this. */
	private final Map<AttemptId, FakeStream> endedStreams = new LinkedHashMap<>();

	/** Finds the engine to which a KV cache is moved. */
	private volatile Function<BackendServerId, Optional<FakeEngine>> peers = (id) -> Optional.empty();

	/** Report that callers get until the next refresh. */
	private volatile EngineReport lastReport;

	/** Whether the engine is to get no new work. */
	private volatile boolean isLeaving;

	/** Whether requests are served also if their model is not resident. */
	private volatile boolean isServingAnyModel;

	/** Number of requests that were not refused for their model. */
	private final AtomicLong startedStreams = new AtomicLong();

	/** Number of streams that waited or ran when the engine stopped. Guarded by this. */
	private long droppedStreams;

	private FakeEngine(FakeEngineMemory memory, FakeEngineSettings settings, TimerService timer, FaultInjector faults,
			Optional<FakeWeightStore> weights) {
		this.memory = memory;
		this.id = memory.report().engine();
		this.timer = timer;
		this.faults = faults;
		this.loadTracker = new FakeLoadTracker(weights, timer);
		this.batch = new FakeBatch(settings, timer, this.id.value().hashCode(), this::retainEndedStream);
	}

	/**
	 * Returns an engine whose loads last as long as the load time of its memory settings.
	 * @param memory the memory of the engine, not null; determines the id
	 * @param settings the speed and limits of the engine, not null
	 * @param timer the time of steps, reports and delayed faults, not null
	 * @param faults the source of injected faults, not null
	 * @return the engine, never null
	 */
	public static FakeEngine create(FakeEngineMemory memory, FakeEngineSettings settings, TimerService timer,
			FaultInjector faults) {
		return create(memory, settings, timer, faults, Optional.empty());
	}

	/**
	 * Returns an engine without streams. Its report is refreshed once in each report lag
	 * for as long as the timer service runs.
	 * @param memory the memory of the engine, not null; determines the id
	 * @param settings the speed and limits of the engine, not null
	 * @param timer the time of steps, reports and delayed faults, not null
	 * @param faults the source of injected faults, not null
	 * @param weights the weight store that limits the speed of loads, or empty for none,
	 * not null
	 * @return the engine, never null
	 */
	public static FakeEngine create(FakeEngineMemory memory, FakeEngineSettings settings, TimerService timer,
			FaultInjector faults, Optional<FakeWeightStore> weights) {
		FakeEngine engine = new FakeEngine(Objects.requireNonNull(memory, "memory"),
				Objects.requireNonNull(settings, "settings"), Objects.requireNonNull(timer, "timer"),
				Objects.requireNonNull(faults, "faults"), Objects.requireNonNull(weights, "weights"));
		engine.refreshReport();
		timer.ticks(settings.reportLag()).subscribe((now) -> engine.refreshReport());
		return engine;
	}

	/**
	 * Sets the lookup of the engines to which KV caches can be moved.
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
		return !this.memory.isUp() || isUndelivered(this.faults.nextFault(this.id + REPORT_TARGET).fault());
	}

	private static boolean isUndelivered(Fault fault) {
		return fault != Fault.NONE && fault != Fault.DUPLICATE && fault != Fault.SLOW && fault != Fault.DELAYED_ANSWER;
	}

	private void refreshReport() {
		this.lastReport = currentReport();
	}

	/**
	 * Returns a report of the current state, without delay or faults, for checks of test
	 * results.
	 * @return the report, never null
	 */
	public EngineReport currentReport() {
		return this.loadTracker.applyLoadStates(this.memory.report(this.batch.load(this.isLeaving)));
	}

	@Override
	public CommandResult send(EngineCommand command) {
		CommandResult result = this.memory.send(command);
		this.loadTracker.applyLoadStates(this.memory.report());
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
			return Flowable.defer(() -> accept(request, Fault.NONE)).delaySubscription(delaySignal(injection.delay()));
		}
		return accept(request, injection.fault());
	}

	private Flowable<Long> delaySignal(Duration delay) {
		return Flowable.create((emitter) -> emitter.setDisposable(this.timer.after(delay, () -> {
			emitter.onNext(0L);
			emitter.onComplete();
		})), io.reactivex.rxjava3.core.BackpressureStrategy.BUFFER);
	}

	private Flowable<GenerateEvent> accept(GenerateRequest request, Fault fault) {
		Optional<FakeStream> known = find(request.attempt());
		int from = request.continuationTokens();
		if (known.isPresent()) {
			return known.get().readEvents(from, streamFault(fault, from));
		}
		if (!this.isServingAnyModel
				&& !this.loadTracker.applyLoadStates(this.memory.report()).isReady(request.model())) {
			return failed(request.attempt(), Failure.REFUSED, "model is not ready: " + request.model());
		}
		this.startedStreams.incrementAndGet();
		return this.batch.enqueue(request)
			.map((stream) -> stream.readEvents(from, streamFault(fault, from)))
			.orElseGet(() -> failed(request.attempt(), Failure.REFUSED, "queue is full"));
	}

	private static FakeStreamReader.StreamFault streamFault(Fault fault, int from) {
		if (fault == Fault.LOST_ANSWER || fault == Fault.DELAYED_EFFECT) {
			return new FakeStreamReader.StreamFault(Fault.NONE, from + BREAK_AFTER_TOKENS);
		}
		boolean isFirstTokenFault = fault == Fault.DUPLICATE || fault == Fault.REORDER;
		return isFirstTokenFault ? new FakeStreamReader.StreamFault(fault, -1) : FakeStreamReader.StreamFault.NONE;
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
			return find(attempt).map((stream) -> stream.readEvents(offset, streamFault(fault, offset)))
				.orElseGet(() -> failed(attempt, Failure.UNKNOWN_STREAM, "no such stream"));
		});
	}

	private synchronized Optional<FakeStream> find(AttemptId attempt) {
		return this.batch.find(attempt).or(() -> Optional.ofNullable(this.endedStreams.get(attempt)));
	}

	private synchronized void retainEndedStream(FakeStream stream) {
		this.endedStreams.put(stream.request().attempt(), stream);
		if (this.endedStreams.size() > MAX_ENDED_STREAMS) {
			this.endedStreams.remove(this.endedStreams.keySet().iterator().next());
		}
	}

	@Override
	public void cancel(AttemptId attempt) {
		Objects.requireNonNull(attempt, "attempt");
		if (!isUndelivered(this.faults.nextFault(this.id + STREAM_TARGET).fault())) {
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
	 * Sets whether the engine serves models that are not resident, as the legacy serving
	 * system does.
	 * @param isAny whether every model is served
	 */
	public void setServingAnyModel(boolean isAny) {
		this.isServingAnyModel = isAny;
	}

	/**
	 * Sets the factor on the duration of each step.
	 * @param factor 1 for the usual speed, 2 for half of it, positive
	 */
	public void setSlowdown(double factor) {
		this.batch.setSlowdown(factor);
	}

	/**
	 * Stops the engine. Its weights and streams are lost, and readers see a broken
	 * stream.
	 */
	public void stop() {
		this.memory.stop();
		int dropped = this.batch.clear();
		synchronized (this) {
			this.endedStreams.clear();
			this.droppedStreams += dropped;
		}
	}

	/** Restarts the engine with a new incarnation. */
	public void restart() {
		stop();
		this.memory.restart();
		this.isLeaving = false;
		refreshReport();
	}

	/**
	 * Returns the number of started streams, for checks of test results.
	 * @return the number of requests that were not refused for their model
	 */
	public long startedStreams() {
		return this.startedStreams.get();
	}

	/**
	 * Returns the number of streams that stops of the engine dropped, for checks of test
	 * results.
	 * @return the number of streams that waited or ran
	 */
	public synchronized long droppedStreams() {
		return this.droppedStreams;
	}

	/**
	 * Returns the memory of the engine, for checks of test results.
	 * @return the memory, never null
	 */
	public FakeEngineMemory memory() {
		return this.memory;
	}

	private static Flowable<GenerateEvent> failed(AttemptId attempt, Failure failure, String detail) {
		return Flowable.just(new GenerateEvent.Failed(attempt, failure, detail));
	}

}
