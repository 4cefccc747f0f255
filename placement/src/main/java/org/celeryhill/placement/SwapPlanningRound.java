package org.celeryhill.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.celeryhill.base.BackendServerId;
import org.celeryhill.base.ModelId;
import org.celeryhill.placement.SwapPlanner.EngineInput;
import org.celeryhill.placement.SwapPlanner.ModelInput;
import org.celeryhill.placement.SwapPlanner.Obstacle;
import org.celeryhill.placement.SwapPlanner.Step;
import org.celeryhill.placement.SwapPlanner.Unserved;

/**
 * State of one planning round of {@link SwapPlanner}, which changes with each planned
 * step. Not thread-safe.
 */
final class SwapPlanningRound {

	/** Fraction of the total requested value that a step must gain. */
	private static final double MIN_GAIN_RATIO = 0.01;

	/**
	 * Fraction of the mean requested value of an engine that a step must gain at most, so
	 * that the least gain does not grow with the number of engines.
	 */
	private static final double MIN_GAIN_ENGINE_RATIO = 0.12;

	/**
	 * Factor on the loss of an unload, as the model may have to be loaded again.
	 */
	private static final double LOSS_FACTOR = 1.5;

	/**
	 * Fraction of the value answered late that another replica is expected to recover.
	 */
	private static final double RECOVERED_LATE_RATIO = 0.6;

	/** Fraction of a model's value that each second without a replica adds to it. */
	private static final double UNSERVED_FACTOR_PER_SECOND = 1;

	/** Value per second of an idle model's only replica, without returning demand. */
	private static final double IDLE_VALUE_PER_SECOND = 0.02;

	/** Total value per second below which demand is too uncertain for unloads. */
	private static final double MIN_TOTAL_VALUE_FOR_UNLOAD = 5;

	/** Fraction of the value of returning demand that an idle replica is worth. */
	private static final double RETURNING_DEMAND_RATIO = 0.04;

	/** Fraction of the total value assumed for a model that was never requested. */
	private static final double UNSEEN_DEMAND_RATIO = 0.15;

	/**
	 * Multiple of the mean value of a model that is assumed at most for a model that was
	 * never requested, so that it does not grow with the number of models.
	 */
	private static final double UNSEEN_DEMAND_MODELS = 3;

	/**
	 * Fraction of the idle value that is lost by unloading the only replica if another
	 * engine caches the weights.
	 */
	private static final double CACHED_ELSEWHERE_RATIO = 0.5;

	/**
	 * Fraction of a model's value at risk when one of n replicas is unloaded, before the
	 * division by n(n - 1).
	 */
	private static final double REPLICA_LOSS_WEIGHT = 0.3;

	/**
	 * Fraction of a gain that is left when the weights come from the weight store, as
	 * such a load takes long.
	 */
	private static final double COLD_LOAD_GAIN_RATIO = 0.25;

	/**
	 * Loading replicas that are ready at most this much later than a new replica count as
	 * ready.
	 */
	private static final double LOADING_SLACK_SECONDS = 1;

	private final Map<BackendServerId, EngineInput> acceptingEngines = new HashMap<>();

	private final Map<ModelId, Integer> ready = new HashMap<>();

	private final Map<ModelId, List<Double>> secondsUntilReady = new HashMap<>();

	private final Map<ModelId, Integer> cacheCounts = new HashMap<>();

	private final Map<ModelId, ModelInput> models = new HashMap<>();

	private final Map<BackendServerId, Double> gainFactors = new HashMap<>();

	private final List<EngineInput> engines;

	private final double totalValue;

	private final Set<ModelId> plannedLoads = new HashSet<>();

	private int remainingColdLoads;

	SwapPlanningRound(List<EngineInput> engines, List<ModelInput> models, int maxColdLoads) {
		this.engines = engines;
		this.remainingColdLoads = maxColdLoads;
		double value = 0;
		for (ModelInput model : models) {
			this.models.put(model.id(), model);
			value += model.valuePerSecond();
		}
		this.totalValue = value;
		engines.forEach(this::addEngine);
		engines.forEach((engine) -> this.gainFactors.put(engine.id(), computeGainFactor(engine)));
	}

	private void addEngine(EngineInput engine) {
		if (engine.isServing()) {
			for (ModelId model : engine.residents().keySet()) {
				Double seconds = engine.secondsUntilReady().get(model);
				if (seconds == null) {
					this.ready.merge(model, 1, Integer::sum);
				}
				else {
					this.secondsUntilReady.computeIfAbsent(model, (key) -> new ArrayList<>()).add(seconds);
				}
			}
			engine.cachedModels().forEach((model) -> this.cacheCounts.merge(model, 1, Integer::sum));
		}
		if (engine.isAcceptingCommands()) {
			this.acceptingEngines.put(engine.id(), engine);
		}
	}

	// Returns the factor on the gain of a replica on an engine: 1 at the mean load,
	// up to 2 without load.
	private double computeGainFactor(EngineInput engine) {
		if (this.totalValue <= 0) {
			return 1;
		}
		double load = 0;
		for (ModelId model : engine.residents().keySet()) {
			if (!engine.secondsUntilReady().containsKey(model) && this.models.containsKey(model)) {
				load += this.models.get(model).valuePerSecond() / Math.max(1, ready(model));
			}
		}
		return 2 / (1 + load * this.engines.size() / this.totalValue);
	}

	private int ready(ModelId model) {
		return this.ready.getOrDefault(model, 0);
	}

	Optional<Step> findBestStep() {
		List<ModelInput> candidates = new ArrayList<>(this.models.values());
		candidates.removeIf((model) -> this.plannedLoads.contains(model.id()));
		candidates.sort(Comparator.comparingDouble((ModelInput model) -> -gainOfAdding(model, false))
			.thenComparing(ModelInput::id));
		Step best = null;
		for (ModelInput model : candidates) {
			if (best != null && best.gain() >= 2 * gainOfAdding(model, false)) {
				break;
			}
			for (EngineInput engine : this.engines) {
				Optional<Step> step = this.acceptingEngines.containsKey(engine.id()) ? evaluate(engine, model)
						: Optional.empty();
				if (step.isPresent() && (best == null || step.get().gain() > best.gain())) {
					best = step.get();
				}
			}
		}
		return Optional.ofNullable(best);
	}

	private Optional<Step> evaluate(EngineInput engine, ModelInput model) {
		boolean isCold = !engine.cachedModels().contains(model.id());
		if (engine.residents().containsKey(model.id()) || (isCold && this.remainingColdLoads <= 0)) {
			return Optional.empty();
		}
		double gain = gainOfAdding(model, isCold) * this.gainFactors.get(engine.id())
				* (isCold ? COLD_LOAD_GAIN_RATIO : 1);
		Optional<ModelId> victim = Optional.empty();
		if (engine.freeBytes() < model.bytes()) {
			if (this.totalValue < MIN_TOTAL_VALUE_FOR_UNLOAD) {
				return Optional.empty();
			}
			victim = findVictim(engine, model.bytes() - engine.freeBytes());
			if (victim.isEmpty()) {
				return Optional.empty();
			}
			gain -= LOSS_FACTOR * lossOfRemoving(this.models.get(victim.get()), engine);
		}
		// Requests that wait for a first replica are no noise, and free memory costs
		// nothing.
		boolean isFirst = ready(model.id()) == 0 && !this.secondsUntilReady.containsKey(model.id());
		double minGain = (isFirst && (victim.isEmpty() || model.valuePerSecond() > 0)) ? 0 : minGain();
		return (gain > minGain) ? Optional.of(new Step(engine.id(), model.id(), victim, isCold, gain))
				: Optional.empty();
	}

	List<Unserved> findUnserved() {
		List<Unserved> unserved = new ArrayList<>();
		for (ModelInput model : this.models.values()) {
			boolean isPlaced = ready(model.id()) > 0 || this.secondsUntilReady.containsKey(model.id())
					|| this.plannedLoads.contains(model.id());
			if (model.valuePerSecond() > 0 && !isPlaced) {
				unserved.add(
						new Unserved(model.id(), findObstacle(model), model.unservedSeconds(), model.valuePerSecond()));
			}
		}
		return unserved;
	}

	private Obstacle findObstacle(ModelInput model) {
		Obstacle last = Obstacle.NO_ENGINE;
		for (EngineInput engine : this.acceptingEngines.values()) {
			Obstacle obstacle = findObstacle(engine, model);
			last = (obstacle.compareTo(last) > 0) ? obstacle : last;
		}
		return last;
	}

	private Obstacle findObstacle(EngineInput engine, ModelInput model) {
		if (!engine.cachedModels().contains(model.id()) && this.remainingColdLoads <= 0) {
			return Obstacle.LOAD_LIMIT;
		}
		long missingBytes = model.bytes() - engine.freeBytes();
		return (missingBytes > 0 && findVictim(engine, missingBytes).isEmpty()) ? Obstacle.NO_MEMORY
				: Obstacle.LOW_GAIN;
	}

	// Returns the gain below which a step may be due to noise in the measured demand.
	private double minGain() {
		return Math.min(MIN_GAIN_RATIO, MIN_GAIN_ENGINE_RATIO / this.engines.size()) * this.totalValue;
	}

	private Optional<ModelId> findVictim(EngineInput engine, long missingBytes) {
		ModelId best = null;
		for (ModelId candidate : engine.removable()) {
			boolean isLargeEnough = engine.residents().getOrDefault(candidate, 0L) >= missingBytes;
			boolean isKnown = this.models.containsKey(candidate);
			if (isLargeEnough && isKnown && (best == null || lossOfRemoving(this.models.get(candidate),
					engine) < lossOfRemoving(this.models.get(best), engine))) {
				best = candidate;
			}
		}
		return Optional.ofNullable(best);
	}

	// Replicas that are ready before a new one, or soon after, count as ready.
	private double gainOfAdding(ModelInput model, boolean isCold) {
		double maxSeconds = (isCold ? model.coldLoadSeconds() : model.cachedLoadSeconds()) + LOADING_SLACK_SECONDS;
		long loadingSoon = this.secondsUntilReady.getOrDefault(model.id(), List.of())
			.stream()
			.filter((seconds) -> seconds <= maxSeconds)
			.count();
		double count = ready(model.id()) + loadingSoon;
		if (count == 0) {
			return idleValue(model)
					+ model.valuePerSecond() * (1 + UNSERVED_FACTOR_PER_SECOND * model.unservedSeconds());
		}
		double lateValue = Math.max(0, model.lateValuePerSecond() - loadingSoon * model.valuePerSecond() / count);
		return RECOVERED_LATE_RATIO * Math.min(lateValue, model.valuePerSecond() / (count + 1));
	}

	// An idle model has value as demand may return, and loading it takes seconds.
	private double idleValue(ModelInput model) {
		double value = (model.peakValuePerSecond() > 0) ? model.peakValuePerSecond()
				: Math.min(UNSEEN_DEMAND_RATIO, UNSEEN_DEMAND_MODELS / this.models.size()) * this.totalValue;
		return IDLE_VALUE_PER_SECOND + RETURNING_DEMAND_RATIO * value;
	}

	private double lossOfRemoving(ModelInput model, EngineInput engine) {
		int count = ready(model.id());
		if (count <= 1) {
			int cachedElsewhere = this.cacheCounts.getOrDefault(model.id(), 0)
					- (engine.cachedModels().contains(model.id()) ? 1 : 0);
			return idleValue(model) * ((cachedElsewhere > 0) ? CACHED_ELSEWHERE_RATIO : 1) + model.valuePerSecond();
		}
		return model.lateValuePerSecond() + REPLICA_LOSS_WEIGHT * model.valuePerSecond() / (count * (count - 1));
	}

	void apply(Step step) {
		this.acceptingEngines.remove(step.engine());
		this.plannedLoads.add(step.load());
		step.unload().ifPresent((model) -> this.ready.merge(model, -1, Integer::sum));
		this.remainingColdLoads -= step.isCold() ? 1 : 0;
	}

}
