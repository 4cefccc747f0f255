package org.celeryhill.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

import org.celeryhill.base.BackendServerId;
import org.celeryhill.base.ModelId;

/**
 * Plans which models to load and unload on engines that cannot hold all models at once
 * and that cache weights in host memory or on disk. A model gets another replica if that
 * gains more value than unloading other replicas to free its memory loses. Stateless and
 * thread-safe.
 */
public final class SwapPlanner {

	private SwapPlanner() {
	}

	/**
	 * Plans the next steps, at most one for each engine and model.
	 * @param engines the engines of one service, not null
	 * @param models the models of the service with their demand, not null
	 * @param maxColdLoads the maximum number of loads from the weight store
	 * @return the steps, most important first, and the requested models that stay without
	 * a replica, never null
	 */
	public static Plan plan(List<EngineInput> engines, List<ModelInput> models, int maxColdLoads) {
		SwapPlanningRound state = new SwapPlanningRound(engines, models, maxColdLoads);
		List<Step> steps = new ArrayList<>();
		Optional<Step> bestStep = state.findBestStep();
		while (bestStep.isPresent()) {
			steps.add(bestStep.get());
			state.apply(bestStep.get());
			bestStep = state.findBestStep();
		}
		return new Plan(steps, state.findUnserved());
	}

	/**
	 * Result of a planning round.
	 *
	 * @param steps the steps, most important first
	 * @param unserved the requested models that no engine holds or loads after the steps
	 */
	public record Plan(List<Step> steps, List<Unserved> unserved) {

		/**
		 * Copies the lists.
		 */
		public Plan {
			steps = List.copyOf(steps);
			unserved = List.copyOf(unserved);
		}

	}

	/**
	 * A requested model without a replica that is not loaded yet.
	 *
	 * @param model the model, not null
	 * @param reason why no engine loads it, not null
	 * @param seconds the seconds for which requests have waited
	 * @param valuePerSecond the value per second of the requests
	 */
	public record Unserved(ModelId model, Obstacle reason, double seconds, double valuePerSecond) {
	}

	/**
	 * Why a requested model is not loaded, the last obstacle that any engine reached.
	 */
	public enum Obstacle {

		/** No engine accepts commands now. */
		NO_ENGINE,

		/** The weights are in no cache, and the weight store allows no load now. */
		LOAD_LIMIT,

		/** No resident is large enough and may be unloaded. */
		NO_MEMORY,

		/** Unloading a resident loses more than the model gains. */
		LOW_GAIN

	}

	/**
	 * State of one engine.
	 *
	 * @param id the engine, not null
	 * @param freeBytes the memory that a load may use, in bytes
	 * @param residents the sizes in bytes of the models that the engine holds or loads
	 * @param removable the residents that may be unloaded now
	 * @param secondsUntilReady the expected seconds until each resident that is not ready
	 * yet can serve requests
	 * @param cachedModels the models whose weights the engine caches in host memory or on
	 * disk
	 * @param isAcceptingCommands whether the engine accepts a command now
	 * @param isServing whether the engine serves the models that it holds
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
	 * Size of one model and demand for it, summed over all hosts.
	 *
	 * @param id the model, not null
	 * @param bytes the size of its weights in bytes
	 * @param valuePerSecond the value per second of the requests
	 * @param lateValuePerSecond the value per second of requests answered late or not at
	 * all
	 * @param unservedSeconds the seconds for which requests have waited without a replica
	 * @param peakValuePerSecond the highest value per second of the last minutes
	 * @param cachedLoadSeconds the seconds that a load from an engine's cache takes
	 * @param coldLoadSeconds the seconds that a load from the weight store takes
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
	 * Load of a model on an engine, after an unload if its memory is in use.
	 *
	 * @param engine the engine, not null
	 * @param load the model to load, not null
	 * @param unload the model to unload first; empty if enough memory is free
	 * @param isCold whether the weights come from the weight store, not from a cache
	 * @param gain the expected gain in value per second
	 */
	public record Step(BackendServerId engine, ModelId load, Optional<ModelId> unload, boolean isCold, double gain) {
	}

}
