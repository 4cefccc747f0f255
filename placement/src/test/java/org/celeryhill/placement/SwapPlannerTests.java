package org.celeryhill.placement;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.celeryhill.base.BackendServerId;
import org.celeryhill.base.ModelId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link SwapPlanner}.
 */
class SwapPlannerTests {

	private static final ModelId HOT = ModelId.of("hot");

	private static final ModelId WARM = ModelId.of("warm");

	private static final ModelId IDLE = ModelId.of("idle");

	private static final ModelId MISSING = ModelId.of("missing");

	private static final long SIZE_BYTES = 70;

	// Guards against memory that stays free while a model has no replica.
	@Test
	void loadsMissingModelIntoFreeMemoryWithoutDemand() {
		List<SwapPlanner.Step> steps = SwapPlanner
			.plan(List.of(engine("e1", 100, Map.of(HOT, SIZE_BYTES), Set.of())),
					List.of(model(HOT, 0, 0, 0), model(MISSING, 0, 0, 0)), 1)
			.steps();
		assertThat(steps).hasSize(1);
		assertThat(steps.get(0).load()).isEqualTo(MISSING);
		assertThat(steps.get(0).unload()).isEmpty();
	}

	// Guards against unloads while the measured demand is too low to be reliable.
	@Test
	void unloadsNothingWhileDemandIsUnknown() {
		assertThat(SwapPlanner
			.plan(List.of(engine("e1", 0, Map.of(HOT, SIZE_BYTES), Set.of(MISSING))),
					List.of(model(HOT, 0, 0, 0), model(MISSING, 0.2, 0, 3)), 1)
			.steps()).isEmpty();
	}

	// Guards against requests that time out because no engine holds their model.
	@Test
	void replacesIdleModelWithRequestedModel() {
		List<SwapPlanner.Step> steps = SwapPlanner
			.plan(List.of(engine("e1", 0, Map.of(HOT, SIZE_BYTES, IDLE, SIZE_BYTES), Set.of(MISSING))),
					List.of(model(HOT, 30, 0, 0), model(IDLE, 0, 0, 0), model(MISSING, 0.3, 0, 1)), 1)
			.steps();
		assertThat(steps).hasSize(1);
		assertThat(steps.get(0).unload()).contains(IDLE);
		assertThat(steps.get(0).isCold()).isFalse();
	}

	// Guards against unloading a busy model to load a rarely requested one.
	@Test
	void keepsOnlyReplicaOfBusyModel() {
		assertThat(SwapPlanner
			.plan(List.of(engine("e1", 0, Map.of(HOT, SIZE_BYTES), Set.of(MISSING))),
					List.of(model(HOT, 30, 0, 0), model(MISSING, 0.3, 0, 2)), 1)
			.steps()).isEmpty();
	}

	// Guards against models that are loaded and unloaded repeatedly because the measured
	// demand is noisy.
	@Test
	void addsReplicaOnlyForLateRequests() {
		List<SwapPlanner.EngineInput> engines = List.of(engine("e1", 0, Map.of(HOT, SIZE_BYTES), Set.of()),
				engine("e2", 0, Map.of(IDLE, SIZE_BYTES), Set.of(HOT)));
		assertThat(SwapPlanner
			.plan(engines, List.of(model(HOT, 30, 0.5, 0), model(IDLE, 0, 0, 0), model(WARM, 1, 0, 0)), 0)
			.steps()).isEmpty();
		List<SwapPlanner.Step> steps = SwapPlanner
			.plan(engines, List.of(model(HOT, 30, 10, 0), model(IDLE, 0, 0, 0), model(WARM, 1, 0, 0)), 0)
			.steps();
		assertThat(steps).extracting(SwapPlanner.Step::load).containsExactly(HOT);
	}

	// Guards against replacing a model of urgent requests with a rarely requested one
	// during a pause in demand. Loading it again takes seconds.
	@Test
	void keepsRecentlyRequestedModel() {
		SwapPlanner.ModelInput paused = new SwapPlanner.ModelInput(WARM, SIZE_BYTES, 0, 0, 0, 30, 2, 8);
		List<SwapPlanner.EngineInput> engines = List
			.of(engine("e1", 0, Map.of(HOT, SIZE_BYTES, WARM, SIZE_BYTES), Set.of(MISSING)));
		assertThat(
				SwapPlanner.plan(engines, List.of(model(HOT, 30, 0, 0), paused, model(MISSING, 0.3, 0, 1)), 1).steps())
			.isEmpty();
		assertThat(SwapPlanner.plan(engines, List.of(model(HOT, 30, 0, 0), paused, model(MISSING, 8, 0, 1)), 1).steps())
			.hasSize(1);
	}

	// Guards against more loads from the weight store than allowed.
	@Test
	void limitsColdLoads() {
		List<SwapPlanner.EngineInput> engines = List.of(engine("e1", 100, Map.of(), Set.of()),
				engine("e2", 100, Map.of(), Set.of()));
		List<SwapPlanner.ModelInput> models = List.of(model(HOT, 9, 0, 1), model(WARM, 5, 0, 1));
		assertThat(SwapPlanner.plan(engines, models, 1).steps()).hasSize(1);
		assertThat(SwapPlanner.plan(engines, models, 0).steps()).isEmpty();
	}

	// Guards against loading a model on two engines when one replica is enough.
	@Test
	void loadsMissingModelOnOneEngine() {
		List<SwapPlanner.EngineInput> engines = List.of(engine("e1", 100, Map.of(), Set.of(MISSING)),
				engine("e2", 100, Map.of(), Set.of(MISSING)));
		assertThat(SwapPlanner.plan(engines, List.of(model(MISSING, 9, 0, 1)), 4).steps()).hasSize(1);
	}

	// Guards against commands to engines that are executing a command or draining.
	@Test
	void skipsEngineThatDoesNotAcceptCommands() {
		SwapPlanner.EngineInput closed = new SwapPlanner.EngineInput(BackendServerId.of("e1"), 100, Map.of(), Set.of(),
				Map.of(), Set.of(), false, true);
		assertThat(SwapPlanner.plan(List.of(closed), List.of(model(MISSING, 9, 0, 1)), 4).steps()).isEmpty();
	}

	// Guards against many engines that load the same model. Loads take seconds, in which
	// demand may move to other models.
	@Test
	void countsLoadingReplicas() {
		List<SwapPlanner.EngineInput> engines = List.of(engine("e1", 0, Map.of(HOT, SIZE_BYTES), Set.of()),
				loadingEngine("e2", HOT, 6), loadingEngine("e3", HOT, 7),
				engine("e4", 0, Map.of(IDLE, SIZE_BYTES), Set.of()));
		List<SwapPlanner.ModelInput> models = List.of(model(HOT, 30, 18, 0), model(IDLE, 0, 0, 0));
		assertThat(SwapPlanner.plan(engines, models, 2).steps()).isEmpty();
	}

	// Guards against a model that stays without a ready replica while slow loads or stuck
	// unloads are in progress, although another engine caches its weights.
	@Test
	void loadsCachedWeightsDespiteSlowerLoadElsewhere() {
		List<SwapPlanner.EngineInput> engines = List.of(loadingEngine("e1", MISSING, 6),
				engine("e2", 0, Map.of(IDLE, SIZE_BYTES), Set.of(MISSING)));
		List<SwapPlanner.Step> steps = SwapPlanner
			.plan(engines, List.of(model(MISSING, 30, 30, 0), model(IDLE, 0, 0, 0)), 0)
			.steps();
		assertThat(steps).extracting(SwapPlanner.Step::load).containsExactly(MISSING);
	}

	// Guards against placing another replica on an engine that is busy with other models.
	@Test
	void prefersLeastLoadedEngine() {
		List<SwapPlanner.EngineInput> engines = List.of(engine("e1", 0, Map.of(HOT, SIZE_BYTES), Set.of()),
				engine("e2", 0, Map.of(WARM, SIZE_BYTES, IDLE, SIZE_BYTES), Set.of(HOT)),
				engine("e3", 0, Map.of(IDLE, SIZE_BYTES), Set.of(HOT)));
		List<SwapPlanner.Step> steps = SwapPlanner
			.plan(engines, List.of(model(HOT, 30, 20, 0), model(WARM, 30, 0, 0), model(IDLE, 0, 0, 0)), 0)
			.steps();
		assertThat(steps).hasSize(1);
		assertThat(steps.get(0).engine()).isEqualTo(BackendServerId.of("e3"));
	}

	// Guards against replacing models that may be requested soon with more replicas of
	// other models.
	@Test
	void unloadsRarelyRequestedModelBeforeNeverRequestedOne() {
		ModelId rare = ModelId.of("rare");
		SwapPlanner.ModelInput rarelyRequested = new SwapPlanner.ModelInput(rare, SIZE_BYTES, 0, 0, 0, 0.3, 2, 8);
		List<SwapPlanner.EngineInput> engines = List
			.of(engine("e1", 0, Map.of(HOT, SIZE_BYTES, IDLE, SIZE_BYTES, rare, SIZE_BYTES), Set.of(MISSING)));
		List<SwapPlanner.Step> steps = SwapPlanner
			.plan(engines,
					List.of(model(HOT, 30, 0, 0), model(IDLE, 0, 0, 0), rarelyRequested, model(MISSING, 5, 5, 0)), 0)
			.steps();
		assertThat(steps).extracting(SwapPlanner.Step::unload).containsExactly(Optional.of(rare));
	}

	private static SwapPlanner.EngineInput loadingEngine(String id, ModelId model, double seconds) {
		return new SwapPlanner.EngineInput(BackendServerId.of(id), 0, Map.of(model, SIZE_BYTES), Set.of(),
				Map.of(model, seconds), Set.of(), false, true);
	}

	private static SwapPlanner.EngineInput engine(String id, long freeBytes, Map<ModelId, Long> residents,
			Set<ModelId> cachedModels) {
		return new SwapPlanner.EngineInput(BackendServerId.of(id), freeBytes, residents, residents.keySet(), Map.of(),
				cachedModels, true, true);
	}

	private static SwapPlanner.ModelInput model(ModelId id, double value, double lateValue, double unservedSeconds) {
		return new SwapPlanner.ModelInput(id, SIZE_BYTES, value, lateValue, unservedSeconds, value, 2, 8);
	}

}
