package org.celeryhill.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

import org.celeryhill.base.BackendServerId;
import org.celeryhill.base.ModelId;

/**
 * Chooses the next load or removal of models where engines cannot hold all models at once
 * and keep copies of weights close by. A model gets a further replica when that serves
 * more worth than the replicas that make room for it. Stateless and thread-safe.
 */
public final class SwapPlanner {

	/** Part of all worth that a step must gain. */
	private static final double MIN_GAIN = 0.01;

	/**
	 * A removal counts for more than it loses at once, as the model may have to come
	 * back.
	 */
	private static final double LOSS_FACTOR = 1.5;

	/**
	 * Part of the worth that comes late which a further replica is expected to rescue.
	 */
	private static final double RESCUED = 0.6;

	/** Each second without a replica raises the worth of the first one by this factor. */
	private static final double UNSERVED_FACTOR = 1;

	/** Worth in a second of keeping the only replica of a model that nobody asks for. */
	private static final double IDLE_VALUE = 0.02;

	/** Worth in a second below which the demand says too little to remove a model. */
	private static final double MIN_KNOWN_VALUE = 5;

	/** Part of the worth that a model may come to for which its last replica is kept. */
	private static final double RETURN_PART = 0.04;

	/** Part of all worth that a model may come to that nobody has asked for yet. */
	private static final double UNSEEN_PART = 0.15;

	/**
	 * Part of an idle model's worth that is left where another engine has its weights.
	 */
	private static final double NEAR_PART = 0.5;

	/** Part of a model's worth that is at risk when one of two replicas leaves. */
	private static final double SECOND_REPLICA = 0.3;

	/**
	 * Weights from the weight store take so long that only a part of the gain is left.
	 */
	private static final double COLD_PART = 0.25;

	/** A replica that arrives at most this much later than a new one is as good. */
	private static final double ARRIVAL_SLACK_SECONDS = 1;

	private SwapPlanner() {
	}

	/**
	 * Plans the next steps, at most one for each engine.
	 * @param engines the engines of one service, not null
	 * @param models the models of the service with their demand, not null
	 * @param coldLoads the loads from the weight store that may start now
	 * @return the steps, most urgent first, never null
	 */
	public static List<Step> plan(List<EngineInput> engines, List<ModelInput> models, int coldLoads) {
		Round round = new Round(engines, models, coldLoads);
		List<Step> steps = new ArrayList<>();
		Optional<Step> next = round.best();
		while (next.isPresent()) {
			steps.add(next.get());
			round.take(next.get());
			next = round.best();
		}
		return steps;
	}

	/**
	 * One engine.
	 *
	 * @param id the engine, not null
	 * @param freeBytes the memory that a load may use
	 * @param residents the models that it holds or loads, with their sizes
	 * @param removable the residents that may be removed now
	 * @param secondsUntilReady the residents that cannot be used yet, with the expected
	 * seconds until they can
	 * @param cachedModels the models whose weights it has in its host memory or on its
	 * disk
	 * @param isAcceptingCommands whether it takes a command now
	 * @param isServing whether it serves what it holds
	 */
	public record EngineInput(BackendServerId id, long freeBytes, Map<ModelId, Long> residents, Set<ModelId> removable,
			Map<ModelId, Double> secondsUntilReady, Set<ModelId> cachedModels, boolean isAcceptingCommands,
			boolean isServing) {

		/**
		 * Checks the arguments.
		 */
		public EngineInput {
			Objects.requireNonNull(id, "id");
			residents = Map.copyOf(residents);
			removable = Set.copyOf(removable);
			secondsUntilReady = Map.copyOf(secondsUntilReady);
			cachedModels = Set.copyOf(cachedModels);
		}

	}

	/**
	 * One model with its demand over all hosts.
	 *
	 * @param id the model, not null
	 * @param bytes the size of its weights
	 * @param valuePerSecond the worth that is asked for
	 * @param lateValuePerSecond the worth that was answered late or not at all
	 * @param unservedSeconds the time for which requests have waited without a replica
	 * @param peakValuePerSecond the most worth that was asked for in the last minutes
	 * @param cachedLoadSeconds the time of a load from an engine's own copy
	 * @param coldLoadSeconds the time of a load from the weight store
	 */
	public record ModelInput(ModelId id, long bytes, double valuePerSecond, double lateValuePerSecond,
			double unservedSeconds, double peakValuePerSecond, double cachedLoadSeconds, double coldLoadSeconds) {

		/**
		 * Checks the arguments.
		 */
		public ModelInput {
			Objects.requireNonNull(id, "id");
		}

	}

	/**
	 * One step.
	 *
	 * @param engine the engine, not null
	 * @param load the model to load, not null
	 * @param unload the model to remove first; empty if there is room
	 * @param isCold whether the weights come from the weight store
	 * @param gain the worth that it gains in a second
	 */
	public record Step(BackendServerId engine, ModelId load, Optional<ModelId> unload, boolean isCold, double gain) {
	}

	private static final class Round {

		private final Map<BackendServerId, EngineInput> open = new HashMap<>();

		private final Map<ModelId, Integer> ready = new HashMap<>();

		private final Map<ModelId, List<Double>> arriving = new HashMap<>();

		private final Map<ModelId, Integer> copies = new HashMap<>();

		private final Map<ModelId, ModelInput> models = new HashMap<>();

		private final Map<BackendServerId, Double> room = new HashMap<>();

		private final List<EngineInput> engines;

		private final double totalValue;

		private final Set<ModelId> loading = new HashSet<>();

		private int coldLoads;

		Round(List<EngineInput> engines, List<ModelInput> models, int coldLoads) {
			this.engines = engines;
			this.coldLoads = coldLoads;
			double value = 0;
			for (ModelInput model : models) {
				this.models.put(model.id(), model);
				value += model.valuePerSecond();
			}
			this.totalValue = value;
			engines.forEach(this::count);
			engines.forEach((engine) -> this.room.put(engine.id(), room(engine)));
		}

		private void count(EngineInput engine) {
			if (engine.isServing()) {
				for (ModelId model : engine.residents().keySet()) {
					Double seconds = engine.secondsUntilReady().get(model);
					if (seconds == null) {
						this.ready.merge(model, 1, Integer::sum);
					}
					else {
						this.arriving.computeIfAbsent(model, (key) -> new ArrayList<>()).add(seconds);
					}
				}
				engine.cachedModels().forEach((model) -> this.copies.merge(model, 1, Integer::sum));
			}
			if (engine.isAcceptingCommands()) {
				this.open.put(engine.id(), engine);
			}
		}

		// Returns the part of a gain that an engine with its present load can bring: 1
		// for
		// the mean load, 2 for none.
		private double room(EngineInput engine) {
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

		Optional<Step> best() {
			List<ModelInput> wanted = new ArrayList<>(this.models.values());
			wanted.removeIf((model) -> this.loading.contains(model.id()));
			wanted.sort(Comparator.comparingDouble((ModelInput model) -> -gainOfAdding(model, false))
				.thenComparing(ModelInput::id));
			Step best = null;
			for (ModelInput model : wanted) {
				if (best != null && best.gain() >= 2 * gainOfAdding(model, false)) {
					break;
				}
				for (EngineInput engine : this.engines) {
					Optional<Step> step = this.open.containsKey(engine.id()) ? step(engine, model) : Optional.empty();
					if (step.isPresent() && (best == null || step.get().gain() > best.gain())) {
						best = step.get();
					}
				}
			}
			return Optional.ofNullable(best);
		}

		private Optional<Step> step(EngineInput engine, ModelInput model) {
			boolean isCold = !engine.cachedModels().contains(model.id());
			if (engine.residents().containsKey(model.id()) || (isCold && this.coldLoads <= 0)) {
				return Optional.empty();
			}
			double gain = gainOfAdding(model, isCold) * this.room.get(engine.id()) * (isCold ? COLD_PART : 1);
			Optional<ModelId> victim = Optional.empty();
			if (engine.freeBytes() < model.bytes()) {
				if (this.totalValue < MIN_KNOWN_VALUE) {
					return Optional.empty();
				}
				victim = victim(engine, model.bytes() - engine.freeBytes());
				if (victim.isEmpty()) {
					return Optional.empty();
				}
				gain -= LOSS_FACTOR * lossOfRemoving(this.models.get(victim.get()), engine);
			}
			boolean isFree = victim.isEmpty() && ready(model.id()) == 0 && !this.arriving.containsKey(model.id());
			double least = isFree ? 0 : this.totalValue * MIN_GAIN;
			return (gain > least) ? Optional.of(new Step(engine.id(), model.id(), victim, isCold, gain))
					: Optional.empty();
		}

		private Optional<ModelId> victim(EngineInput engine, long missing) {
			ModelId best = null;
			for (ModelId candidate : engine.removable()) {
				boolean isLarge = engine.residents().getOrDefault(candidate, 0L) >= missing;
				boolean isKnown = this.models.containsKey(candidate);
				if (isLarge && isKnown && (best == null || lossOfRemoving(this.models.get(candidate),
						engine) < lossOfRemoving(this.models.get(best), engine))) {
					best = candidate;
				}
			}
			return Optional.ofNullable(best);
		}

		// Replicas that arrive before a new one could, or soon after, count like ready
		// ones.
		private double gainOfAdding(ModelInput model, boolean isCold) {
			double latest = (isCold ? model.coldLoadSeconds() : model.cachedLoadSeconds()) + ARRIVAL_SLACK_SECONDS;
			long soon = this.arriving.getOrDefault(model.id(), List.of())
				.stream()
				.filter((seconds) -> seconds <= latest)
				.count();
			double count = ready(model.id()) + soon;
			if (count == 0) {
				return idleValue(model) + model.valuePerSecond() * (1 + UNSERVED_FACTOR * model.unservedSeconds());
			}
			double late = Math.max(0, model.lateValuePerSecond() - soon * model.valuePerSecond() / count);
			return RESCUED * Math.min(late, model.valuePerSecond() / (count + 1));
		}

		// A model may come into demand, and its weights take seconds to come.
		private double idleValue(ModelInput model) {
			double value = (model.peakValuePerSecond() > 0) ? model.peakValuePerSecond()
					: UNSEEN_PART * this.totalValue;
			return IDLE_VALUE + RETURN_PART * value;
		}

		private double lossOfRemoving(ModelInput model, EngineInput engine) {
			int count = ready(model.id());
			if (count <= 1) {
				int elsewhere = this.copies.getOrDefault(model.id(), 0)
						- (engine.cachedModels().contains(model.id()) ? 1 : 0);
				return idleValue(model) * ((elsewhere > 0) ? NEAR_PART : 1) + model.valuePerSecond();
			}
			return model.lateValuePerSecond() + SECOND_REPLICA * model.valuePerSecond() / (count * (count - 1));
		}

		void take(Step step) {
			this.open.remove(step.engine());
			this.loading.add(step.load());
			step.unload().ifPresent((model) -> this.ready.merge(model, -1, Integer::sum));
			this.coldLoads -= step.isCold() ? 1 : 0;
		}

	}

}
