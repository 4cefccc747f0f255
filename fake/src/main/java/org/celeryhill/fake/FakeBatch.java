package org.celeryhill.fake;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.celeryhill.base.AttemptId;
import org.celeryhill.base.TimerService;
import org.celeryhill.port.Engine.CacheEvent;
import org.celeryhill.port.GenerateEvent.Failure;
import org.celeryhill.port.GenerateRequest;

/**
 * Continuous batching of one engine: in each step every stream of the batch whose prompt
 * is prefilled yields one token, and waiting streams enter by priority and arrival.
 * Readers are called without the lock. Thread-safe.
 */
final class FakeBatch {

	/** Most prompt tokens that are prefilled in one step. */
	private static final int PREFILL_CHUNK = 2048;

	/** Lateness after which the schedule of steps starts anew instead of catching up. */
	private static final long MAX_LATE_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

	/** Speed and limits. */
	private final FakeEngineSettings settings;

	/** Time of the steps. */
	private final TimerService timer;

	/** Takes the streams that have ended. Called without the lock. */
	private final Consumer<FakeStream> ended;

	/** Prompt prefix cache. Guarded by this. */
	private final FakePrefixCache cache;

	/** Streams that wait. Guarded by this. */
	private final PriorityQueue<FakeStream> waiting = new PriorityQueue<>(
			Comparator.comparing(FakeStream::priority).thenComparing(FakeStream::arrival));

	/** All streams that wait or run. Guarded by this. */
	private final Map<AttemptId, FakeStream> streams = new LinkedHashMap<>();

	/** Streams of the batch. Guarded by this. */
	private final List<FakeStream> running = new ArrayList<>();

	/** KV cache that the running streams reserve, in tokens. Guarded by this. */
	private long kvUsed;

	/** Number of the last arrival. Guarded by this. */
	private long arrivals;

	/** Whether a step is under way. Guarded by this. */
	private boolean isStepping;

	/** Planned end of the last step, monotonic nanoseconds. Guarded by this. */
	private long stepDue;

	/**
	 * Changes with each clear, so that a step of before has no effect. Guarded by this.
	 */
	private int generation;

	/** Factor on the step times. Guarded by this. */
	private double slowdown = 1;

	/** Tokens prefilled since {@link #rateStart}. Guarded by this. */
	private long prefilled;

	/** Tokens decoded since {@link #rateStart}. Guarded by this. */
	private long decoded;

	/** Start of the period for rates, monotonic nanoseconds. Guarded by this. */
	private long rateStart;

	FakeBatch(FakeEngineSettings settings, TimerService timer, long seed, Consumer<FakeStream> ended) {
		this.settings = settings;
		this.timer = timer;
		this.ended = ended;
		this.cache = new FakePrefixCache(settings, seed);
		this.rateStart = timer.nanoTime();
	}

	/**
	 * Adds a stream.
	 * @param request the request, not null
	 * @return the stream, or empty if too many wait
	 */
	synchronized Optional<FakeStream> add(GenerateRequest request) {
		if (this.waiting.size() >= this.settings.maxQueue() && this.running.size() >= this.settings.slots()) {
			return Optional.empty();
		}
		FakeStream stream = new FakeStream(request, ++this.arrivals);
		this.streams.put(request.attempt(), stream);
		this.waiting.add(stream);
		planStep();
		return Optional.of(stream);
	}

	synchronized Optional<FakeStream> find(AttemptId attempt) {
		return Optional.ofNullable(this.streams.get(attempt));
	}

	void cancel(AttemptId attempt) {
		FakeStream stream;
		synchronized (this) {
			stream = this.streams.remove(attempt);
			if (stream == null) {
				return;
			}
			release(stream);
			stream.fail(Failure.BROKEN);
		}
		stream.deliver();
	}

	private void release(FakeStream stream) {
		if (this.running.remove(stream)) {
			this.kvUsed -= stream.kvTokens();
		}
		this.waiting.remove(stream);
	}

	/**
	 * Drops all streams and the prefix cache.
	 * @return the number of streams that waited or ran
	 */
	int clear() {
		List<FakeStream> dropped;
		synchronized (this) {
			dropped = new ArrayList<>(this.streams.values());
			this.generation++;
			this.isStepping = false;
			this.streams.clear();
			this.running.clear();
			this.waiting.clear();
			this.cache.clear();
			this.kvUsed = 0;
		}
		dropped.forEach((stream) -> {
			stream.fail(Failure.BROKEN);
			stream.deliver();
		});
		return dropped.size();
	}

	synchronized void importCache(FakeStream stream) {
		this.cache.store(stream.request().model(), stream.wholeText(), this.timer.nanoTime());
	}

	synchronized List<CacheEvent> cacheEvents(long afterSequence) {
		return this.cache.events(afterSequence, this.timer.nanoTime());
	}

	synchronized void setSlowdown(double factor) {
		this.slowdown = factor;
	}

	/**
	 * Returns the load and starts a new period for the rates.
	 * @param isLeaving whether the engine is to get no new work
	 * @return the load, never null
	 */
	synchronized FakeEngineMemory.Load load(boolean isLeaving) {
		long now = this.timer.nanoTime();
		double seconds = Math.max(1e-3, (now - this.rateStart) / 1e9);
		FakeEngineMemory.Load load = new FakeEngineMemory.Load(this.running.size(), this.waiting.size(), this.kvUsed,
				this.settings.kvTokens(), this.prefilled / seconds, this.decoded / seconds, isLeaving);
		this.rateStart = now;
		this.prefilled = 0;
		this.decoded = 0;
		return load;
	}

	private void planStep() {
		if (this.isStepping) {
			return;
		}
		admitWaiting();
		if (this.running.isEmpty()) {
			return;
		}
		this.isStepping = true;
		List<FakeStream> decoding = new ArrayList<>(this.running.size());
		int prefilledNow = prefill(decoding);
		long now = this.timer.nanoTime();
		long start = (now - this.stepDue > MAX_LATE_NANOS) ? now : this.stepDue;
		this.stepDue = start + stepNanos(prefilledNow);
		int current = this.generation;
		this.timer.after(Duration.ofNanos(Math.max(0, this.stepDue - now)), () -> endStep(decoding, current));
	}

	private void admitWaiting() {
		while (!this.waiting.isEmpty() && this.running.size() < this.settings.slots()) {
			FakeStream next = this.waiting.peek();
			boolean hasRoom = this.kvUsed + next.kvTokens() <= this.settings.kvTokens();
			if (!hasRoom && !this.running.isEmpty()) {
				return;
			}
			this.waiting.remove();
			this.kvUsed += next.kvTokens();
			int tokens = FakeTokens.promptTokens(next.cacheText());
			int cached = this.cache.cachedTokens(next.request().model(), next.cacheText());
			next.setPrefillLeft(Math.max(1, tokens - cached));
			this.running.add(next);
		}
	}

	private int prefill(List<FakeStream> decoding) {
		int budget = PREFILL_CHUNK;
		for (FakeStream stream : this.running) {
			if (stream.prefillLeft() == 0) {
				decoding.add(stream);
				continue;
			}
			int part = Math.min(budget, stream.prefillLeft());
			budget -= part;
			stream.setPrefillLeft(stream.prefillLeft() - part);
			if (part > 0 && stream.prefillLeft() == 0) {
				decoding.add(stream);
				this.cache.store(stream.request().model(), stream.cacheText(), this.timer.nanoTime());
			}
		}
		return PREFILL_CHUNK - budget;
	}

	private long stepNanos(int prefilledNow) {
		this.prefilled += prefilledNow;
		double nanos = this.settings.decodeStep().toNanos()
				+ (double) this.running.size() * this.settings.stepTimePerStream().toNanos()
				+ prefilledNow / this.settings.prefillTokensPerSecond() * 1e9;
		return (long) (nanos * this.slowdown);
	}

	private void endStep(List<FakeStream> decoding, int stepGeneration) {
		List<FakeStream> done = new ArrayList<>();
		synchronized (this) {
			if (stepGeneration != this.generation) {
				return;
			}
			this.decoded += decoding.size();
			for (FakeStream stream : decoding) {
				produce(stream, done);
			}
		}
		done.forEach(this.ended);
		decoding.forEach(FakeStream::deliver);
		synchronized (this) {
			done.forEach(this::remove);
			if (stepGeneration == this.generation) {
				this.isStepping = false;
				planStep();
			}
		}
	}

	private static void produce(FakeStream stream, List<FakeStream> done) {
		if (!stream.isEnded()) {
			stream.produce();
		}
		if (stream.isEnded()) {
			done.add(stream);
		}
	}

	private void remove(FakeStream stream) {
		this.streams.remove(stream.request().attempt());
		release(stream);
	}

}
