package org.celeryhill.placement;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.celeryhill.base.BackendServerId;
import org.celeryhill.base.ModelId;

/**
 * Simulated engines that hold fewer models than there are, with random requests and the
 * commands of {@link SwapPlanner}, in steps of a planning period. An engine executes one
 * command at a time. A request is served if a replica of its model is ready before the
 * caller gives up. Requests beyond the throughput of the engines count as late.
 */
final class SimulatedSwapFleet {

	private static final double STEP_SECONDS = 0.25;

	/** Time constant of the measured demand. */
	private static final double DEMAND_DECAY_SECONDS = 4;

	private static final double COLD_LOAD_WINDOW_SECONDS = 5;

	private static final double UNLOAD_SECONDS = 0.8;

	/** Time for which a loaded model is kept at least. */
	private static final double MIN_RESIDENCE_SECONDS = 3;

	/** Engines by id. */
	final Map<BackendServerId, Engine> engines = new LinkedHashMap<>();

	/** Models by id. */
	final Map<ModelId, Model> models = new LinkedHashMap<>();

	/** Times of the loads from the weight store in the current window. */
	private final Deque<Double> coldLoadTimes = new ArrayDeque<>();

	private final DemandHistory history = DemandHistory.create();

	private final Random random;

	private final int maxColdLoads;

	private final double engineValuePerSecond;

	private double seconds;

	/**
	 * Creates a fleet without engines and models.
	 * @param seed the seed of the requests
	 * @param maxColdLoads the number of loads from the weight store in any 5 seconds
	 * @param engineValuePerSecond the value per second that an engine can serve
	 */
	SimulatedSwapFleet(long seed, int maxColdLoads, double engineValuePerSecond) {
		this.random = new Random(seed);
		this.maxColdLoads = maxColdLoads;
		this.engineValuePerSecond = engineValuePerSecond;
	}

	void addEngine(String id, long memoryBytes) {
		this.engines.put(BackendServerId.of(id), new Engine(memoryBytes));
	}

	Model addModel(String id, long bytes, double cachedLoadSeconds, double coldLoadSeconds) {
		Model model = new Model(ModelId.of(id), bytes, cachedLoadSeconds, coldLoadSeconds);
		this.models.put(model.id, model);
		return model;
	}

	/**
	 * Places a replica that is ready at once on the engine with most free memory.
	 * @param model the model
	 * @return whether an engine had room
	 */
	boolean place(Model model) {
		Optional<Engine> engine = this.engines.values()
			.stream()
			.filter((one) -> one.freeBytes() >= model.bytes && !one.residents.containsKey(model.id))
			.max(Comparator.comparingLong(Engine::freeBytes));
		engine.ifPresent((one) -> one.hold(model, this.seconds));
		return engine.isPresent();
	}

	/**
	 * Ends engines, which lose what they hold but keep their disks.
	 * @param count the number of engines
	 * @param downSeconds the time until they are back
	 */
	void crash(int count, double downSeconds) {
		this.engines.values().stream().limit(count).forEach((engine) -> {
			engine.residents.clear();
			engine.change = Optional.empty();
			engine.deferredLoad = Optional.empty();
			engine.downUntilSeconds = this.seconds + downSeconds;
		});
	}

	/**
	 * Advances the simulation.
	 * @param duration the time in seconds
	 */
	void run(double duration) {
		double end = this.seconds + duration;
		while (this.seconds < end) {
			this.seconds += STEP_SECONDS;
			this.engines.values().forEach(this::advance);
			this.models.values().forEach(this::addRequests);
			this.models.values().forEach(this::serve);
			recordLateRequests();
			plan();
		}
	}

	/**
	 * Returns the models that were requested through the simulation but never served.
	 * @return the models with at least four requests over 8 seconds and no answer
	 */
	List<ModelId> neverServed() {
		return this.models.values()
			.stream()
			.filter(Model::isRequestedThroughout)
			.filter((model) -> model.servedCount == 0)
			.map((model) -> model.id)
			.toList();
	}

	/**
	 * Returns the models that were requested through the simulation.
	 * @return the models with at least four requests over 8 seconds
	 */
	List<ModelId> requestedThroughout() {
		return this.models.values().stream().filter(Model::isRequestedThroughout).map((model) -> model.id).toList();
	}

	private void advance(Engine engine) {
		if (engine.change.isEmpty() || this.seconds < engine.changeEndSeconds) {
			return;
		}
		Change change = engine.change.get();
		engine.change = Optional.empty();
		if (change.isLoad()) {
			engine.hold(change.model(), this.seconds);
			return;
		}
		engine.residents.remove(change.model().id);
		engine.deferredLoad.ifPresent((load) -> startLoad(engine, load));
		engine.deferredLoad = Optional.empty();
	}

	private void startLoad(Engine engine, Model model) {
		boolean isCold = !engine.cachedModels.contains(model.id);
		engine.change = Optional.of(new Change(true, model));
		engine.changeEndSeconds = this.seconds + (isCold ? model.coldLoadSeconds : model.cachedLoadSeconds);
	}

	private void addRequests(Model model) {
		model.decay();
		double expected = model.requestsPerSecond * STEP_SECONDS;
		int count = (int) expected + ((this.random.nextDouble() < expected - (int) expected) ? 1 : 0);
		for (int i = 0; i < count; i++) {
			model.requested(this.seconds);
		}
	}

	private void serve(Model model) {
		boolean isReady = this.engines.values().stream().anyMatch((engine) -> engine.isServing(model.id, this.seconds));
		while (isReady && !model.waitingSince.isEmpty()) {
			model.waitingSince.poll();
			model.servedCount++;
		}
		while (!model.waitingSince.isEmpty() && this.seconds - model.waitingSince.peek() > model.patienceSeconds) {
			model.waitingSince.poll();
			model.lateValuePerSecond += model.requestValue / DEMAND_DECAY_SECONDS;
		}
	}

	// Requests beyond the throughput of an engine are late, in proportion for all its
	// models.
	private void recordLateRequests() {
		for (Engine engine : this.engines.values()) {
			double load = 0;
			for (Model model : engine.residents.values()) {
				load += model.valuePerSecond / replicaCount(model.id);
			}
			double lateRatio = Math.max(0, 1 - this.engineValuePerSecond / load);
			for (Model model : engine.residents.values()) {
				double late = lateRatio * model.valuePerSecond / replicaCount(model.id);
				model.lateValuePerSecond = Math.min(model.valuePerSecond,
						model.lateValuePerSecond + late * STEP_SECONDS / DEMAND_DECAY_SECONDS);
			}
		}
	}

	private long replicaCount(ModelId model) {
		return this.engines.values().stream().filter((engine) -> engine.isServing(model, this.seconds)).count();
	}

	private void plan() {
		while (!this.coldLoadTimes.isEmpty() && this.seconds - this.coldLoadTimes.peek() > COLD_LOAD_WINDOW_SECONDS) {
			this.coldLoadTimes.poll();
		}
		List<SwapPlanner.EngineInput> engineInputs = new ArrayList<>();
		this.engines.forEach((id, engine) -> engineInputs.add(engine.toInput(id)));
		List<SwapPlanner.ModelInput> modelInputs = new ArrayList<>();
		this.models.values().forEach((model) -> modelInputs.add(toInput(model)));
		for (SwapPlanner.Step step : SwapPlanner
			.plan(engineInputs, modelInputs, this.maxColdLoads - this.coldLoadTimes.size())
			.steps()) {
			execute(step);
		}
	}

	private void execute(SwapPlanner.Step step) {
		if (step.isCold()) {
			this.coldLoadTimes.add(this.seconds);
		}
		Engine engine = this.engines.get(step.engine());
		Model load = this.models.get(step.load());
		if (step.unload().isEmpty()) {
			startLoad(engine, load);
			return;
		}
		engine.change = Optional.of(new Change(false, this.models.get(step.unload().get())));
		engine.changeEndSeconds = this.seconds + UNLOAD_SECONDS;
		engine.deferredLoad = Optional.of(load);
	}

	private SwapPlanner.ModelInput toInput(Model model) {
		boolean hasReplica = this.engines.values()
			.stream()
			.anyMatch((engine) -> engine.residents.containsKey(model.id));
		DemandHistory.Summary summary = this.history.record(model.id, model.valuePerSecond, hasReplica,
				(long) (this.seconds * TimeUnit.SECONDS.toNanos(1)));
		return new SwapPlanner.ModelInput(model.id, model.bytes, model.valuePerSecond, model.lateValuePerSecond,
				summary.unservedSeconds(), summary.peakValuePerSecond(), model.cachedLoadSeconds,
				model.coldLoadSeconds);
	}

	/**
	 * A model and the requests for it.
	 */
	static final class Model {

		/** Id of the model. */
		final ModelId id;

		/** Requests per second; may be changed at any time. */
		double requestsPerSecond;

		/** Value of one request. */
		double requestValue = 1;

		/** Time after which a caller gives up. */
		double patienceSeconds = 15;

		private final long bytes;

		private final double cachedLoadSeconds;

		private final double coldLoadSeconds;

		private final Deque<Double> waitingSince = new ArrayDeque<>();

		private double valuePerSecond;

		private double lateValuePerSecond;

		private int requestCount;

		private double firstRequestSeconds;

		private double lastRequestSeconds;

		private int servedCount;

		Model(ModelId id, long bytes, double cachedLoadSeconds, double coldLoadSeconds) {
			this.id = id;
			this.bytes = bytes;
			this.cachedLoadSeconds = cachedLoadSeconds;
			this.coldLoadSeconds = coldLoadSeconds;
		}

		private void decay() {
			double factor = Math.exp(-STEP_SECONDS / DEMAND_DECAY_SECONDS);
			this.valuePerSecond *= factor;
			this.lateValuePerSecond *= factor;
		}

		private void requested(double now) {
			if (this.requestCount == 0) {
				this.firstRequestSeconds = now;
			}
			this.lastRequestSeconds = now;
			this.requestCount++;
			this.valuePerSecond += this.requestValue / DEMAND_DECAY_SECONDS;
			this.waitingSince.add(now);
		}

		private boolean isRequestedThroughout() {
			return this.requestCount >= 4 && this.lastRequestSeconds - this.firstRequestSeconds >= 8;
		}

	}

	/**
	 * An engine and the models that it holds.
	 */
	static final class Engine {

		private final long memoryBytes;

		private final Map<ModelId, Model> residents = new LinkedHashMap<>();

		private final Map<ModelId, Double> loadedSeconds = new HashMap<>();

		private final Set<ModelId> cachedModels = new HashSet<>();

		private Optional<Change> change = Optional.empty();

		private Optional<Model> deferredLoad = Optional.empty();

		private double changeEndSeconds;

		private double downUntilSeconds;

		private double nowSeconds;

		Engine(long memoryBytes) {
			this.memoryBytes = memoryBytes;
		}

		private long freeBytes() {
			return this.memoryBytes - this.residents.values().stream().mapToLong((model) -> model.bytes).sum();
		}

		private void hold(Model model, double now) {
			this.residents.put(model.id, model);
			this.loadedSeconds.put(model.id, now);
			this.cachedModels.add(model.id);
		}

		private boolean isServing(ModelId model, double now) {
			this.nowSeconds = now;
			boolean isLeaving = this.change.filter((one) -> !one.isLoad() && one.model().id.equals(model)).isPresent();
			return now >= this.downUntilSeconds && this.residents.containsKey(model) && !isLeaving;
		}

		private SwapPlanner.EngineInput toInput(BackendServerId id) {
			boolean isUp = this.nowSeconds >= this.downUntilSeconds;
			Map<ModelId, Long> expected = new HashMap<>();
			this.residents.forEach((model, one) -> expected.put(model, one.bytes));
			Map<ModelId, Double> untilReady = new HashMap<>();
			this.change.ifPresent((one) -> {
				double left = this.changeEndSeconds - this.nowSeconds;
				if (one.isLoad()) {
					expected.put(one.model().id, one.model().bytes);
					untilReady.put(one.model().id, left);
					return;
				}
				expected.remove(one.model().id);
				this.deferredLoad.ifPresent((load) -> {
					expected.put(load.id, load.bytes);
					untilReady.put(load.id, left + load.coldLoadSeconds);
				});
			});
			Set<ModelId> removable = new HashSet<>(this.residents.keySet());
			removable.removeIf((model) -> this.nowSeconds - this.loadedSeconds.get(model) < MIN_RESIDENCE_SECONDS);
			return new SwapPlanner.EngineInput(id, freeBytes(), expected, removable, untilReady, this.cachedModels,
					isUp && this.change.isEmpty(), isUp);
		}

	}

	private record Change(boolean isLoad, Model model) {
	}

}
