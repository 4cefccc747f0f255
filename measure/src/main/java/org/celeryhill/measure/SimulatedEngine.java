package org.celeryhill.measure;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;

import org.celeryhill.base.AttemptId;
import org.celeryhill.base.BackendServerId;
import org.celeryhill.base.DataCentre;
import org.celeryhill.base.FencingToken;
import org.celeryhill.base.ModelId;
import org.celeryhill.port.Engine;
import org.celeryhill.port.EngineReport;

/**
 * Simulated engine with continuous batching. Each step prefills a chunk of prompt tokens
 * and generates one token for every prefilled stream in the batch. The duration of a step
 * grows with the models in use, the streams and the prefilled tokens. Not thread-safe.
 */
final class SimulatedEngine {

	/** Largest number of streams in the batch. */
	static final int MAX_BATCH_STREAMS = 64;

	/** Size of the KV cache, in tokens. */
	static final int KV_CACHE_TOKENS = 60_000;

	/** Base duration of a step, in seconds. */
	private static final double BASE_STEP_SECONDS = 0.008;

	/** Time that each model in use adds to a step, in seconds. */
	private static final double STEP_SECONDS_PER_MODEL = 0.0005;

	/** Time that each stream adds to a step, in seconds. */
	private static final double STEP_SECONDS_PER_STREAM = 0.00025;

	/** Prefill rate without decoding, in tokens per second. */
	private static final double PREFILL_TOKENS_PER_SECOND = 25_000;

	/** Largest number of prompt tokens that are prefilled in one step. */
	private static final int MAX_PREFILL_TOKENS_PER_STEP = 256;

	/**
	 * Prefill rate in reports, which is the rate while decoding, in tokens per second.
	 */
	private static final double REPORTED_PREFILL_TOKENS_PER_SECOND = 9000;

	/** Largest number of cached prompt prefixes. */
	private static final int MAX_CACHED_PREFIXES = 24;

	/** Largest number of adapters in memory. */
	private static final int MAX_ADAPTERS = 24;

	/** Largest number of settled commands in a report. */
	private static final int MAX_SETTLED_COMMANDS = 64;

	/** Id of the engine. */
	final BackendServerId id;

	/** Data centre of the engine. */
	final DataCentre dataCentre;

	/** Models in memory. */
	final Map<ModelId, EngineReport.Resident> residents = new LinkedHashMap<>();

	/** Whether the engine runs. */
	boolean isAlive = true;

	/**
	 * Time at which draining started, in nanoseconds, or -1 if the engine is not
	 * draining.
	 */
	long drainingSinceNanos = -1;

	/** Largest excess of residents over memory so far, in bytes. */
	long overcommittedBytes;

	/** Number of started model loads. */
	int loadCount;

	/** Adapters in memory, least recently used first. */
	private final Map<ModelId, Boolean> adapters = new LinkedHashMap<>(16, 0.75f, true);

	/** Cached prefixes, least recently used first. */
	private final Map<Long, List<Long>> prefixes = new LinkedHashMap<>(16, 0.75f, true);

	/** Cache events since the last call of {@link #drainCacheEvents}. */
	private List<Engine.CacheEvent> cacheEvents = new ArrayList<>();

	/** Waiting streams, by rank, then arrival. */
	private final PriorityQueue<EngineStream> queue = new PriorityQueue<>(
			Comparator.<EngineStream>comparingInt((one) -> one.rank).thenComparingLong((one) -> one.arrivalOrder));

	/** Streams in the batch. */
	private List<EngineStream> batch = new ArrayList<>();

	/** Streams that wait for the load of an adapter. */
	private final Set<EngineStream> awaitingAdapter = new HashSet<>();

	/** Settled commands, newest last. */
	private final ArrayDeque<AttemptId> settled = new ArrayDeque<>();

	/** Virtual time. */
	private final EventQueue events;

	/** Weight store that determines the duration of loads. */
	private final SimulatedWeightStore store;

	/** KV cache reserved by the batch, in tokens. */
	private long kvTokens;

	/** Number of the incarnation, incremented when the engine is killed. */
	private int incarnation = 1;

	/** Number of reports so far. */
	private long sequence;

	/** Number of accepted streams so far. */
	private long streamCount;

	/** Number of cache events so far. */
	private long cacheSequence;

	/** Whether a step is running. */
	private boolean isStepping;

	SimulatedEngine(BackendServerId id, DataCentre dataCentre, EventQueue events, SimulatedWeightStore store) {
		this.id = id;
		this.dataCentre = dataCentre;
		this.events = events;
		this.store = store;
	}

	/**
	 * Returns the tokens per second that one engine generates at a given time between
	 * tokens, by the formula of the step duration and without any waiting.
	 * @param stepSeconds the time between tokens, in seconds
	 * @param prompt the mean length of prompts, in tokens
	 * @param output the mean length of outputs, in tokens
	 * @param models the number of models in use
	 * @return the generated tokens per second
	 */
	static double capacity(double stepSeconds, double prompt, double output, int models) {
		double perStream = STEP_SECONDS_PER_STREAM + prompt / (output * PREFILL_TOKENS_PER_SECOND);
		double streams = (stepSeconds - BASE_STEP_SECONDS - STEP_SECONDS_PER_MODEL * models) / perStream;
		return Math.min(MAX_BATCH_STREAMS, streams) / stepSeconds;
	}

	/**
	 * Queues a stream, or refuses it because its model is not ready. A refused stream has
	 * not run.
	 * @param stream the stream to run
	 * @return whether the stream was accepted
	 */
	boolean accept(EngineStream stream) {
		EngineReport.Resident resident = this.residents.get(stream.baseModel);
		if (resident == null || resident.state() != EngineReport.ResidentState.READY) {
			return false;
		}
		stream.arrivalOrder = this.streamCount++;
		ModelId adapter = stream.job.model;
		if (adapter.equals(stream.baseModel) || this.adapters.get(adapter) != null) {
			enqueue(stream);
			return true;
		}
		int startIncarnation = this.incarnation;
		this.events.scheduleAfter(this.store.startAdapterLoad(), () -> {
			this.store.endAdapterLoad();
			if (startIncarnation == this.incarnation && this.isAlive) {
				putAndEvictOldest(this.adapters, adapter, true, MAX_ADAPTERS);
				enqueue(stream);
			}
		});
		this.awaitingAdapter.add(stream);
		return true;
	}

	private void enqueue(EngineStream stream) {
		this.awaitingAdapter.remove(stream);
		if (!stream.isEnded) {
			this.queue.add(stream);
			startStep();
		}
	}

	private static <K, V> void putAndEvictOldest(Map<K, V> cache, K key, V value, int maxSize) {
		cache.put(key, value);
		if (cache.size() > maxSize) {
			cache.remove(cache.keySet().iterator().next());
		}
	}

	/**
	 * Cancels a stream; the next step removes it.
	 * @param stream the stream to cancel
	 */
	void cancel(EngineStream stream) {
		stream.isEnded = true;
	}

	private void startStep() {
		if (this.isStepping || !this.isAlive) {
			return;
		}
		admitQueued();
		if (this.batch.isEmpty()) {
			return;
		}
		this.isStepping = true;
		int budget = MAX_PREFILL_TOKENS_PER_STEP;
		Set<ModelId> models = new HashSet<>();
		for (EngineStream stream : this.batch) {
			models.add(stream.baseModel);
			int chunk = Math.min(budget, stream.prefillLeft);
			stream.prefillLeft -= chunk;
			budget -= chunk;
		}
		double seconds = BASE_STEP_SECONDS + STEP_SECONDS_PER_MODEL * models.size()
				+ STEP_SECONDS_PER_STREAM * this.batch.size()
				+ (MAX_PREFILL_TOKENS_PER_STEP - budget) / PREFILL_TOKENS_PER_SECOND;
		int startIncarnation = this.incarnation;
		this.events.scheduleAfter((long) (seconds * 1e9), () -> {
			if (startIncarnation == this.incarnation) {
				this.isStepping = false;
				endStep();
			}
		});
	}

	private void admitQueued() {
		while (!this.queue.isEmpty() && this.batch.size() < MAX_BATCH_STREAMS) {
			EngineStream next = this.queue.peek();
			if (!next.isEnded && !this.batch.isEmpty()
					&& this.kvTokens + next.context + next.output > KV_CACHE_TOKENS) {
				return;
			}
			this.queue.poll();
			if (!next.isEnded) {
				startStream(next);
			}
		}
	}

	private void startStream(EngineStream stream) {
		stream.job.executions++;
		this.batch.add(stream);
		this.kvTokens += stream.context + stream.output;
		List<Long> prefix = stream.job.prefix;
		if (!prefix.isEmpty() && this.prefixes.get(prefix.get(prefix.size() - 1)) != null) {
			stream.prefillLeft -= prefix.size() * 16;
		}
	}

	private void endStep() {
		List<EngineStream> left = new ArrayList<>(this.batch.size());
		List<EngineStream> current = this.batch;
		this.batch = left;
		for (EngineStream stream : current) {
			if (!stream.isEnded && stream.prefillLeft <= 0) {
				generateToken(stream);
			}
			if (stream.isEnded) {
				this.kvTokens -= stream.context + stream.output;
			}
			else {
				left.add(stream);
			}
		}
		startStep();
	}

	private void generateToken(EngineStream stream) {
		stream.generated++;
		if (stream.generated == 1) {
			cachePrefix(stream.job);
		}
		stream.isEnded = stream.generated >= stream.output;
		stream.host.handleToken(stream, this);
	}

	private void cachePrefix(Job job) {
		if (job.prefix.isEmpty()) {
			return;
		}
		Long last = job.prefix.get(job.prefix.size() - 1);
		if (this.prefixes.get(last) != null) {
			return;
		}
		recordCacheEvents(job.model, job.prefix, true);
		if (this.prefixes.size() >= MAX_CACHED_PREFIXES) {
			Long oldest = this.prefixes.keySet().iterator().next();
			recordCacheEvents(job.model, this.prefixes.remove(oldest), false);
		}
		this.prefixes.put(last, job.prefix);
	}

	private void recordCacheEvents(ModelId model, List<Long> prefix, boolean isStored) {
		for (int i = 0; i < prefix.size(); i++) {
			this.cacheEvents
				.add(new Engine.CacheEvent(++this.cacheSequence, model, prefix.get(i), 16 * (i + 1), isStored));
		}
	}

	/**
	 * Returns the cache events since the last call.
	 * @return the events in order
	 */
	List<Engine.CacheEvent> drainCacheEvents() {
		List<Engine.CacheEvent> taken = this.cacheEvents;
		this.cacheEvents = new ArrayList<>();
		return taken;
	}

	/**
	 * Starts to load a model, unless it is resident.
	 * @param command the id of the command
	 * @param model the model to load
	 * @param bytes the size of the model, in bytes
	 */
	void load(AttemptId command, ModelId model, long bytes) {
		if (!this.isAlive || this.residents.containsKey(model)) {
			settle(command);
			return;
		}
		this.loadCount++;
		this.residents.put(model, new EngineReport.Resident(model, bytes, EngineReport.ResidentState.LOADING));
		long total = this.residents.values().stream().mapToLong(EngineReport.Resident::bytes).sum();
		this.overcommittedBytes = Math.max(this.overcommittedBytes, total - Deployment.ENGINE_MEMORY);
		int startIncarnation = this.incarnation;
		this.events.scheduleAfter(this.store.startModelLoad(), () -> {
			this.store.endModelLoad();
			if (startIncarnation == this.incarnation) {
				this.residents.put(model, new EngineReport.Resident(model, bytes, EngineReport.ResidentState.READY));
				settle(command);
			}
		});
	}

	/**
	 * Unloads a model as soon as no stream uses it.
	 * @param command the id of the command
	 * @param model the model to unload
	 */
	void unload(AttemptId command, ModelId model) {
		EngineReport.Resident resident = this.residents.get(model);
		if (resident == null) {
			settle(command);
			return;
		}
		this.residents.put(model,
				new EngineReport.Resident(model, resident.bytes(), EngineReport.ResidentState.UNLOADING));
		boolean isUsed = isUsed(this.batch, model) || isUsed(this.queue, model) || isUsed(this.awaitingAdapter, model);
		if (isUsed) {
			this.events.scheduleAfter(100_000_000L, () -> unload(command, model));
			return;
		}
		this.residents.remove(model);
		settle(command);
	}

	private static boolean isUsed(Iterable<EngineStream> streams, ModelId model) {
		for (EngineStream stream : streams) {
			if (!stream.isEnded && stream.baseModel.equals(model)) {
				return true;
			}
		}
		return false;
	}

	private void settle(AttemptId command) {
		this.settled.addLast(command);
		if (this.settled.size() > MAX_SETTLED_COMMANDS) {
			this.settled.removeFirst();
		}
	}

	/** Stops the engine immediately. Its memory is lost and all streams break. */
	void kill() {
		List<EngineStream> lost = new ArrayList<>(this.batch);
		lost.addAll(this.queue);
		lost.addAll(this.awaitingAdapter);
		lost.sort(Comparator.comparingLong((one) -> one.arrivalOrder));
		this.isAlive = false;
		this.isStepping = false;
		this.incarnation++;
		this.residents.clear();
		this.adapters.clear();
		this.prefixes.clear();
		this.cacheEvents = new ArrayList<>();
		this.settled.clear();
		this.batch = new ArrayList<>();
		this.queue.clear();
		this.awaitingAdapter.clear();
		this.kvTokens = 0;
		for (EngineStream stream : lost) {
			if (!stream.isEnded) {
				stream.isEnded = true;
				stream.host.handleBrokenStream(stream);
			}
		}
	}

	/** Starts the engine again, without residents. */
	void restart() {
		this.isAlive = true;
		this.drainingSinceNanos = -1;
	}

	/**
	 * Returns whether the engine has neither running nor waiting streams.
	 * @return true if the engine can be stopped without interrupting a request
	 */
	boolean isIdle() {
		return this.batch.isEmpty() && this.queue.isEmpty() && this.awaitingAdapter.isEmpty();
	}

	/**
	 * Creates a report of the current state.
	 * @return the report, with the next sequence number
	 */
	EngineReport createReport() {
		List<EngineReport.Resident> all = new ArrayList<>(this.residents.values());
		for (ModelId adapter : this.adapters.keySet()) {
			// Adapters have separate memory in this simulation and use none of the model
			// memory.
			all.add(new EngineReport.Resident(adapter, 0, EngineReport.ResidentState.READY));
		}
		all.sort(Comparator.comparing(EngineReport.Resident::model));
		long used = 0;
		for (EngineStream stream : this.batch) {
			used += stream.context - Math.max(0, stream.prefillLeft) + stream.generated;
		}
		return new EngineReport(this.id, "i" + this.incarnation, ++this.sequence, Deployment.ENGINE_MEMORY, 0, all,
				new ArrayList<>(this.settled), FencingToken.ZERO, false, EngineReport.Role.MIXED, this.batch.size(),
				this.queue.size(), used, KV_CACHE_TOKENS, REPORTED_PREFILL_TOKENS_PER_SECOND, 1000,
				this.drainingSinceNanos >= 0);
	}

}
