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
 * Engine with continuous batching in steps: each step prefills a chunk and generates one
 * token for every stream in the batch. Its duration grows with the models in use, the
 * batch and the chunk. Not thread-safe.
 */
final class EngineModel {

	/** Streams in the batch. */
	static final int SLOTS = 64;

	/** KV cache in tokens. */
	static final int KV_TOKENS = 60_000;

	/** Fixed time of a step, in seconds. */
	private static final double STEP = 0.008;

	/** Time of a step for each model in use, in seconds. */
	private static final double STEP_PER_MODEL = 0.0005;

	/** Time of a step for each stream, in seconds. */
	private static final double STEP_PER_STREAM = 0.00025;

	/** Prompt tokens that can be prefilled in one second without decoding. */
	private static final double PREFILL_RATE = 25_000;

	/** Prompt tokens prefilled in one step. */
	private static final int CHUNK = 256;

	/** Prefill rate while decoding, as reported, in tokens a second. */
	private static final double REPORTED_PREFILL_RATE = 9000;

	/** Prompt prefixes kept in the cache. */
	private static final int CACHED_PREFIXES = 24;

	/** Adapters kept besides the models. */
	private static final int ADAPTER_SLOTS = 24;

	/** Settled commands that a report lists. */
	private static final int SETTLED_KEPT = 64;

	/** Engine. */
	final BackendServerId id;

	/** Where it stands. */
	final DataCentre dataCentre;

	/** Models in memory. */
	final Map<ModelId, EngineReport.Resident> residents = new LinkedHashMap<>();

	/** Whether it answers. */
	boolean isAlive = true;

	/** When it began to drain, in nanoseconds; -1 if it does not. */
	long leavingSince = -1;

	/** Largest excess of residents over memory so far, in bytes. */
	long overcommittedBytes;

	/** Model loads begun. */
	int loads;

	/** Adapters in memory, least recently used first. */
	private final Map<ModelId, Boolean> adapters = new LinkedHashMap<>(16, 0.75f, true);

	/** Cached prefixes, least recently used first. */
	private final Map<Long, List<Long>> prefixes = new LinkedHashMap<>(16, 0.75f, true);

	/** Cache events not yet read, shared by all readers of one report. */
	private List<Engine.CacheEvent> cacheEvents = new ArrayList<>();

	/** Streams that wait. */
	private final PriorityQueue<Stream> queue = new PriorityQueue<>(
			Comparator.<Stream>comparingInt((one) -> one.rank).thenComparingLong((one) -> one.order));

	/** Streams in the batch. */
	private List<Stream> batch = new ArrayList<>();

	/** Streams that wait for an adapter. */
	private final Set<Stream> loading = new HashSet<>();

	/** Settled commands, newest last. */
	private final ArrayDeque<AttemptId> settled = new ArrayDeque<>();

	/** Virtual time. */
	private final EventQueue events;

	/** Weight store. */
	private final WeightStoreModel store;

	/** KV tokens of the batch. */
	private long kvTokens;

	/** Number of starts. */
	private int incarnation = 1;

	/** Reports so far. */
	private long sequence;

	/** Streams so far. */
	private long order;

	/** Cache events so far. */
	private long cacheSequence;

	/** Whether a step is scheduled. */
	private boolean isStepping;

	EngineModel(BackendServerId id, DataCentre dataCentre, EventQueue events, WeightStoreModel store) {
		this.id = id;
		this.dataCentre = dataCentre;
		this.events = events;
		this.store = store;
	}

	/**
	 * Returns the tokens per second of one engine at a time between tokens, by the
	 * formula of the step and without any waiting.
	 * @param stepSeconds the time between tokens in seconds
	 * @param prompt the mean prompt in tokens
	 * @param output the mean answer in tokens
	 * @param models the models in use
	 * @return the generated tokens per second
	 */
	static double capacity(double stepSeconds, double prompt, double output, int models) {
		double perStream = STEP_PER_STREAM + prompt / (output * PREFILL_RATE);
		double streams = (stepSeconds - STEP - STEP_PER_MODEL * models) / perStream;
		return Math.min(SLOTS, streams) / stepSeconds;
	}

	/**
	 * Takes a stream, or refuses it before any of it has run.
	 * @param stream the stream
	 * @return whether it was taken
	 */
	boolean accept(Stream stream) {
		EngineReport.Resident resident = this.residents.get(stream.weights);
		if (resident == null || resident.state() != EngineReport.ResidentState.READY) {
			return false;
		}
		stream.order = this.order++;
		ModelId adapter = stream.job.model;
		if (adapter.equals(stream.weights) || this.adapters.get(adapter) != null) {
			enqueue(stream);
			return true;
		}
		int started = this.incarnation;
		this.events.after(this.store.beginAdapter(), () -> {
			this.store.endAdapter();
			if (started == this.incarnation && this.isAlive) {
				keep(this.adapters, adapter, true, ADAPTER_SLOTS);
				enqueue(stream);
			}
		});
		this.loading.add(stream);
		return true;
	}

	private void enqueue(Stream stream) {
		this.loading.remove(stream);
		if (!stream.isOver) {
			this.queue.add(stream);
			startStep();
		}
	}

	private static <K, V> void keep(Map<K, V> cache, K key, V value, int size) {
		cache.put(key, value);
		if (cache.size() > size) {
			cache.remove(cache.keySet().iterator().next());
		}
	}

	/**
	 * Cancels a stream.
	 * @param stream the stream
	 */
	void cancel(Stream stream) {
		stream.isOver = true;
	}

	private void startStep() {
		if (this.isStepping || !this.isAlive) {
			return;
		}
		admit();
		if (this.batch.isEmpty()) {
			return;
		}
		this.isStepping = true;
		int budget = CHUNK;
		Set<ModelId> models = new HashSet<>();
		for (Stream stream : this.batch) {
			models.add(stream.weights);
			int chunk = Math.min(budget, stream.prefillLeft);
			stream.prefillLeft -= chunk;
			budget -= chunk;
		}
		double seconds = STEP + STEP_PER_MODEL * models.size() + STEP_PER_STREAM * this.batch.size()
				+ (CHUNK - budget) / PREFILL_RATE;
		int started = this.incarnation;
		this.events.after((long) (seconds * 1e9), () -> {
			if (started == this.incarnation) {
				this.isStepping = false;
				endStep();
			}
		});
	}

	private void admit() {
		while (!this.queue.isEmpty() && this.batch.size() < SLOTS) {
			Stream next = this.queue.peek();
			if (!next.isOver && !this.batch.isEmpty() && this.kvTokens + next.context + next.output > KV_TOKENS) {
				return;
			}
			this.queue.poll();
			if (!next.isOver) {
				begin(next);
			}
		}
	}

	private void begin(Stream stream) {
		stream.job.executions++;
		this.batch.add(stream);
		this.kvTokens += stream.context + stream.output;
		List<Long> prefix = stream.job.prefix;
		if (!prefix.isEmpty() && this.prefixes.get(prefix.get(prefix.size() - 1)) != null) {
			stream.prefillLeft -= prefix.size() * 16;
		}
	}

	private void endStep() {
		List<Stream> left = new ArrayList<>(this.batch.size());
		List<Stream> current = this.batch;
		this.batch = left;
		for (Stream stream : current) {
			if (!stream.isOver && stream.prefillLeft <= 0) {
				generate(stream);
			}
			if (stream.isOver) {
				this.kvTokens -= stream.context + stream.output;
			}
			else {
				left.add(stream);
			}
		}
		startStep();
	}

	private void generate(Stream stream) {
		stream.generated++;
		if (stream.generated == 1) {
			cache(stream.job);
		}
		stream.isOver = stream.generated >= stream.output;
		stream.host.received(stream, this);
	}

	private void cache(Job job) {
		if (job.prefix.isEmpty()) {
			return;
		}
		Long last = job.prefix.get(job.prefix.size() - 1);
		if (this.prefixes.get(last) != null) {
			return;
		}
		record(job.model, job.prefix, true);
		if (this.prefixes.size() >= CACHED_PREFIXES) {
			Long oldest = this.prefixes.keySet().iterator().next();
			record(job.model, this.prefixes.remove(oldest), false);
		}
		this.prefixes.put(last, job.prefix);
	}

	private void record(ModelId model, List<Long> prefix, boolean isStored) {
		for (int i = 0; i < prefix.size(); i++) {
			this.cacheEvents
				.add(new Engine.CacheEvent(++this.cacheSequence, model, prefix.get(i), 16 * (i + 1), isStored));
		}
	}

	/**
	 * Returns the cache events since the last call.
	 * @return the events in order
	 */
	List<Engine.CacheEvent> takeCacheEvents() {
		List<Engine.CacheEvent> taken = this.cacheEvents;
		this.cacheEvents = new ArrayList<>();
		return taken;
	}

	/**
	 * Begins to load a model.
	 * @param command the command
	 * @param model the model
	 * @param bytes its size in bytes
	 */
	void load(AttemptId command, ModelId model, long bytes) {
		if (!this.isAlive || this.residents.containsKey(model)) {
			settle(command);
			return;
		}
		this.loads++;
		this.residents.put(model, new EngineReport.Resident(model, bytes, EngineReport.ResidentState.LOADING));
		long total = this.residents.values().stream().mapToLong(EngineReport.Resident::bytes).sum();
		this.overcommittedBytes = Math.max(this.overcommittedBytes, total - Deployment.ENGINE_MEMORY);
		int started = this.incarnation;
		this.events.after(this.store.beginModel(), () -> {
			this.store.endModel();
			if (started == this.incarnation) {
				this.residents.put(model, new EngineReport.Resident(model, bytes, EngineReport.ResidentState.READY));
				settle(command);
			}
		});
	}

	/**
	 * Unloads a model once no stream uses it.
	 * @param command the command
	 * @param model the model
	 */
	void unload(AttemptId command, ModelId model) {
		EngineReport.Resident resident = this.residents.get(model);
		if (resident == null) {
			settle(command);
			return;
		}
		this.residents.put(model,
				new EngineReport.Resident(model, resident.bytes(), EngineReport.ResidentState.UNLOADING));
		boolean isUsed = isUsed(this.batch, model) || isUsed(this.queue, model) || isUsed(this.loading, model);
		if (isUsed) {
			this.events.after(100_000_000L, () -> unload(command, model));
			return;
		}
		this.residents.remove(model);
		settle(command);
	}

	private static boolean isUsed(Iterable<Stream> streams, ModelId model) {
		for (Stream stream : streams) {
			if (!stream.isOver && stream.weights.equals(model)) {
				return true;
			}
		}
		return false;
	}

	private void settle(AttemptId command) {
		this.settled.addLast(command);
		if (this.settled.size() > SETTLED_KEPT) {
			this.settled.removeFirst();
		}
	}

	/** Stops at once; all streams break. */
	void kill() {
		List<Stream> lost = new ArrayList<>(this.batch);
		lost.addAll(this.queue);
		lost.addAll(this.loading);
		lost.sort(Comparator.comparingLong((one) -> one.order));
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
		this.loading.clear();
		this.kvTokens = 0;
		for (Stream stream : lost) {
			if (!stream.isOver) {
				stream.isOver = true;
				stream.host.broken(stream);
			}
		}
	}

	/** Starts again, empty. */
	void restart() {
		this.isAlive = true;
		this.leavingSince = -1;
	}

	/**
	 * Returns whether no stream is left.
	 * @return true if it may be stopped without interrupting a request
	 */
	boolean isIdle() {
		return this.batch.isEmpty() && this.queue.isEmpty() && this.loading.isEmpty();
	}

	/**
	 * Returns the report of this moment.
	 * @return the report
	 */
	EngineReport report() {
		List<EngineReport.Resident> all = new ArrayList<>(this.residents.values());
		for (ModelId adapter : this.adapters.keySet()) {
			// Adapters have memory of their own here, so they take none of the models'.
			all.add(new EngineReport.Resident(adapter, 0, EngineReport.ResidentState.READY));
		}
		all.sort(Comparator.comparing(EngineReport.Resident::model));
		long used = 0;
		for (Stream stream : this.batch) {
			used += stream.context - Math.max(0, stream.prefillLeft) + stream.generated;
		}
		return new EngineReport(this.id, "i" + this.incarnation, ++this.sequence, Deployment.ENGINE_MEMORY, 0, all,
				new ArrayList<>(this.settled), FencingToken.ZERO, false, EngineReport.Role.MIXED, this.batch.size(),
				this.queue.size(), used, KV_TOKENS, REPORTED_PREFILL_RATE, 1000, this.leavingSince >= 0);
	}

}
