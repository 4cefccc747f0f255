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
 * Continuous batching of one engine. Each step generates one token for every stream of
 * the batch whose prompt is prefilled; waiting streams are admitted by priority, then
 * arrival. Readers are called without holding the lock. Thread-safe.
 */
final class FakeBatch {

	/** Largest number of prompt tokens that are prefilled in one step. */
	private static final int MAX_PREFILL_TOKENS_PER_STEP = 2048;

	/** Delay beyond which a step starts at the current time instead of catching up. */
	private static final long MAX_STEP_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

	/** Speed and limits of the engine. */
	private final FakeEngineSettings settings;

	/** Clock and timer of the steps. */
	private final TimerService timer;

	/** Receives each stream that has ended. Called without holding the lock. */
	private final Consumer<FakeStream> endedListener;

	/** Prompt prefix cache. Guarded by this. */
	private final FakePrefixCache cache;

	/** Waiting streams. Guarded by this. */
	private final PriorityQueue<FakeStream> waiting = new PriorityQueue<>(
			Comparator.comparing(FakeStream::priority).thenComparing(FakeStream::arrival));

	/** Waiting and running streams by attempt. Guarded by this. */
	private final Map<AttemptId, FakeStream> streams = new LinkedHashMap<>();

	/** Streams in the batch. Guarded by this. */
	private final List<FakeStream> running = new ArrayList<>();

	/** KV cache reserved by the running streams, in tokens. Guarded by this. */
	private long reservedKvTokens;

	/** Sequence number of the last arrival. Guarded by this. */
	private long lastArrival;

	/** Whether a step is running. Guarded by this. */
	private boolean isStepping;

	/** Scheduled end of the last step, in monotonic nanoseconds. Guarded by this. */
	private long lastStepEndNanos;

	/**
	 * Incremented by {@link #clear}, so that a step scheduled before it has no effect.
	 * Guarded by this.
	 */
	private int generation;

	/** Factor on the step durations. Guarded by this. */
	private double slowdown = 1;

	/** Number of tokens prefilled since {@link #rateStart}. Guarded by this. */
	private long prefilled;

	/** Number of tokens decoded since {@link #rateStart}. Guarded by this. */
	private long decoded;

	/**
	 * Start of the period for the reported rates, in monotonic nanoseconds. Guarded by
	 * this.
	 */
	private long rateStart;

	FakeBatch(FakeEngineSettings settings, TimerService timer, long seed, Consumer<FakeStream> ended) {
		this.settings = settings;
		this.timer = timer;
		this.endedListener = ended;
		this.cache = new FakePrefixCache(settings, seed);
		this.rateStart = timer.nanoTime();
	}

	/**
	 * Adds a stream to the queue.
	 * @param request the request, not null
	 * @return the stream, or empty if both the queue and the batch are full
	 */
	synchronized Optional<FakeStream> enqueue(GenerateRequest request) {
		if (this.waiting.size() >= this.settings.maxQueue() && this.running.size() >= this.settings.slots()) {
			return Optional.empty();
		}
		FakeStream stream = new FakeStream(request, ++this.lastArrival);
		this.streams.put(request.attempt(), stream);
		this.waiting.add(stream);
		scheduleStep();
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
		stream.deliverToReaders();
	}

	private void release(FakeStream stream) {
		if (this.running.remove(stream)) {
			this.reservedKvTokens -= stream.kvTokens();
		}
		this.waiting.remove(stream);
	}

	/**
	 * Breaks all streams and clears the prefix cache.
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
			this.reservedKvTokens = 0;
		}
		dropped.forEach((stream) -> {
			stream.fail(Failure.BROKEN);
			stream.deliverToReaders();
		});
		return dropped.size();
	}

	synchronized void importCache(FakeStream stream) {
		this.cache.store(stream.request().model(), stream.textSoFar(), this.timer.nanoTime());
	}

	synchronized List<CacheEvent> cacheEvents(long afterSequence) {
		return this.cache.readVisibleEvents(afterSequence, this.timer.nanoTime());
	}

	synchronized void setSlowdown(double factor) {
		this.slowdown = factor;
	}

	/**
	 * Returns the load, with the rates since the last call, and starts a new period.
	 * @param isLeaving whether the engine is to get no new work
	 * @return the load, never null
	 */
	synchronized FakeEngineMemory.Load load(boolean isLeaving) {
		long now = this.timer.nanoTime();
		double seconds = Math.max(1e-3, (now - this.rateStart) / 1e9);
		FakeEngineMemory.Load load = new FakeEngineMemory.Load(this.running.size(), this.waiting.size(),
				this.reservedKvTokens, this.settings.kvTokens(), this.prefilled / seconds, this.decoded / seconds,
				isLeaving);
		this.rateStart = now;
		this.prefilled = 0;
		this.decoded = 0;
		return load;
	}

	private void scheduleStep() {
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
		long start = (now - this.lastStepEndNanos > MAX_STEP_DELAY_NANOS) ? now : this.lastStepEndNanos;
		this.lastStepEndNanos = start + stepNanos(prefilledNow);
		int current = this.generation;
		this.timer.after(Duration.ofNanos(Math.max(0, this.lastStepEndNanos - now)), () -> endStep(decoding, current));
	}

	private void admitWaiting() {
		while (!this.waiting.isEmpty() && this.running.size() < this.settings.slots()) {
			FakeStream next = this.waiting.peek();
			boolean fitsKvCache = this.reservedKvTokens + next.kvTokens() <= this.settings.kvTokens();
			if (!fitsKvCache && !this.running.isEmpty()) {
				return;
			}
			this.waiting.remove();
			this.reservedKvTokens += next.kvTokens();
			int tokens = FakeTokens.promptTokens(next.inputText());
			int cached = this.cache.cachedTokens(next.request().model(), next.inputText());
			next.setPrefillLeft(Math.max(1, tokens - cached));
			this.running.add(next);
		}
	}

	private int prefill(List<FakeStream> decoding) {
		int budget = MAX_PREFILL_TOKENS_PER_STEP;
		for (FakeStream stream : this.running) {
			if (stream.prefillLeft() == 0) {
				decoding.add(stream);
				continue;
			}
			int chunk = Math.min(budget, stream.prefillLeft());
			budget -= chunk;
			stream.setPrefillLeft(stream.prefillLeft() - chunk);
			if (chunk > 0 && stream.prefillLeft() == 0) {
				decoding.add(stream);
				this.cache.store(stream.request().model(), stream.inputText(), this.timer.nanoTime());
			}
		}
		return MAX_PREFILL_TOKENS_PER_STEP - budget;
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
		done.forEach(this.endedListener);
		decoding.forEach(FakeStream::deliverToReaders);
		synchronized (this) {
			done.forEach(this::remove);
			if (stepGeneration == this.generation) {
				this.isStepping = false;
				scheduleStep();
			}
		}
	}

	private static void produce(FakeStream stream, List<FakeStream> done) {
		if (!stream.isEnded()) {
			stream.produceToken();
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
