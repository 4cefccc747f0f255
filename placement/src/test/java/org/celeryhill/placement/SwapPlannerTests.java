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
 * Tests of the planner of swaps.
 */
class SwapPlannerTests {

	private static final ModelId HOT = ModelId.of("hot");

	private static final ModelId WARM = ModelId.of("warm");

	private static final ModelId IDLE = ModelId.of("idle");

	private static final ModelId MISSING = ModelId.of("missing");

	private static final long SIZE = 70;

	// Guards against free memory that stays empty while a model has no replica.
	@Test
	void fillsFreeMemoryBeforeThereIsDemand() {
		List<SwapPlanner.Step> steps = SwapPlanner.plan(List.of(engine("e1", 100, Map.of(HOT, SIZE), Set.of())),
				List.of(model(HOT, 0, 0, 0), model(MISSING, 0, 0, 0)), 1);
		assertThat(steps).hasSize(1);
		assertThat(steps.get(0).load()).isEqualTo(MISSING);
		assertThat(steps.get(0).unload()).isEmpty();
	}

	// Guards against removals before the demand is known.
	@Test
	void removesNothingWithoutDemand() {
		assertThat(SwapPlanner.plan(List.of(engine("e1", 0, Map.of(HOT, SIZE), Set.of(MISSING))),
				List.of(model(HOT, 0, 0, 0), model(MISSING, 0.2, 0, 3)), 1))
			.isEmpty();
	}

	// Guards against requests for a model that no engine holds and that wait to their
	// end.
	@Test
	void removesAnIdleModelForOneThatIsAskedFor() {
		List<SwapPlanner.Step> steps = SwapPlanner.plan(
				List.of(engine("e1", 0, Map.of(HOT, SIZE, IDLE, SIZE), Set.of(MISSING))),
				List.of(model(HOT, 30, 0, 0), model(IDLE, 0, 0, 0), model(MISSING, 0.3, 0, 1)), 1);
		assertThat(steps).hasSize(1);
		assertThat(steps.get(0).unload()).contains(IDLE);
		assertThat(steps.get(0).isCold()).isFalse();
	}

	// Guards against a busy model that makes room for a rare one.
	@Test
	void keepsTheOnlyReplicaOfABusyModel() {
		assertThat(SwapPlanner.plan(List.of(engine("e1", 0, Map.of(HOT, SIZE), Set.of(MISSING))),
				List.of(model(HOT, 30, 0, 0), model(MISSING, 0.3, 0, 2)), 1))
			.isEmpty();
	}

	// Guards against models that move back and forth as demand is measured with noise.
	@Test
	void addsAReplicaOnlyWhereWorthComesLate() {
		List<SwapPlanner.EngineInput> engines = List.of(engine("e1", 0, Map.of(HOT, SIZE), Set.of()),
				engine("e2", 0, Map.of(IDLE, SIZE), Set.of(HOT)));
		assertThat(SwapPlanner.plan(engines,
				List.of(model(HOT, 30, 0.5, 0), model(IDLE, 0, 0, 0), model(WARM, 1, 0, 0)), 0))
			.isEmpty();
		List<SwapPlanner.Step> steps = SwapPlanner.plan(engines,
				List.of(model(HOT, 30, 10, 0), model(IDLE, 0, 0, 0), model(WARM, 1, 0, 0)), 0);
		assertThat(steps).extracting(SwapPlanner.Step::load).containsExactly(HOT);
	}

	// Guards against a model of urgent work that leaves in a pause for a rare one, as it
	// takes
	// seconds to come back.
	@Test
	void keepsAModelThatWasInDemand() {
		SwapPlanner.ModelInput paused = new SwapPlanner.ModelInput(WARM, SIZE, 0, 0, 0, 30, 2, 8);
		List<SwapPlanner.EngineInput> engines = List
			.of(engine("e1", 0, Map.of(HOT, SIZE, WARM, SIZE), Set.of(MISSING)));
		assertThat(SwapPlanner.plan(engines, List.of(model(HOT, 30, 0, 0), paused, model(MISSING, 0.3, 0, 1)), 1))
			.isEmpty();
		assertThat(SwapPlanner.plan(engines, List.of(model(HOT, 30, 0, 0), paused, model(MISSING, 8, 0, 1)), 1))
			.hasSize(1);
	}

	// Guards against more loads from the weight store than are allowed.
	@Test
	void staysWithinTheColdLoads() {
		List<SwapPlanner.EngineInput> engines = List.of(engine("e1", 100, Map.of(), Set.of()),
				engine("e2", 100, Map.of(), Set.of()));
		List<SwapPlanner.ModelInput> models = List.of(model(HOT, 9, 0, 1), model(WARM, 5, 0, 1));
		assertThat(SwapPlanner.plan(engines, models, 1)).hasSize(1);
		assertThat(SwapPlanner.plan(engines, models, 0)).isEmpty();
	}

	// Guards against a model that is loaded on two engines for one need.
	@Test
	void loadsAMissingModelOnce() {
		List<SwapPlanner.EngineInput> engines = List.of(engine("e1", 100, Map.of(), Set.of(MISSING)),
				engine("e2", 100, Map.of(), Set.of(MISSING)));
		assertThat(SwapPlanner.plan(engines, List.of(model(MISSING, 9, 0, 1)), 4)).hasSize(1);
	}

	// Guards against commands to engines that carry one out or leave.
	@Test
	void leavesClosedEnginesAlone() {
		SwapPlanner.EngineInput busy = new SwapPlanner.EngineInput(BackendServerId.of("e1"), 100, Map.of(), Set.of(),
				Map.of(), Set.of(), false, true);
		assertThat(SwapPlanner.plan(List.of(busy), List.of(model(MISSING, 9, 0, 1)), 4)).isEmpty();
	}

	// Guards against many engines that load one model for seconds while demand moves on.
	@Test
	void countsTheReplicasThatArrive() {
		List<SwapPlanner.EngineInput> engines = List.of(engine("e1", 0, Map.of(HOT, SIZE), Set.of()),
				arriving("e2", HOT, 6), arriving("e3", HOT, 7), engine("e4", 0, Map.of(IDLE, SIZE), Set.of()));
		List<SwapPlanner.ModelInput> models = List.of(model(HOT, 30, 18, 0), model(IDLE, 0, 0, 0));
		assertThat(SwapPlanner.plan(engines, models, 2)).isEmpty();
	}

	// Guards against a model that stays absent while slow loads and stuck removals are
	// under way, though an engine has a copy close by.
	@Test
	void loadsFromANearCopyAheadOfSlowArrivals() {
		List<SwapPlanner.EngineInput> engines = List.of(arriving("e1", MISSING, 6),
				engine("e2", 0, Map.of(IDLE, SIZE), Set.of(MISSING)));
		List<SwapPlanner.Step> steps = SwapPlanner.plan(engines,
				List.of(model(MISSING, 30, 30, 0), model(IDLE, 0, 0, 0)), 0);
		assertThat(steps).extracting(SwapPlanner.Step::load).containsExactly(MISSING);
	}

	// Guards against a further replica on an engine that is busy with other models.
	@Test
	void prefersTheEngineWithTheLeastLoad() {
		List<SwapPlanner.EngineInput> engines = List.of(engine("e1", 0, Map.of(HOT, SIZE), Set.of()),
				engine("e2", 0, Map.of(WARM, SIZE, IDLE, SIZE), Set.of(HOT)),
				engine("e3", 0, Map.of(IDLE, SIZE), Set.of(HOT)));
		List<SwapPlanner.Step> steps = SwapPlanner.plan(engines,
				List.of(model(HOT, 30, 20, 0), model(WARM, 30, 0, 0), model(IDLE, 0, 0, 0)), 0);
		assertThat(steps).hasSize(1);
		assertThat(steps.get(0).engine()).isEqualTo(BackendServerId.of("e3"));
	}

	// Guards against the removal of models that come into demand next for copies of
	// others.
	@Test
	void keepsAModelThatNobodyHasAskedForYet() {
		ModelId rare = ModelId.of("rare");
		SwapPlanner.ModelInput seen = new SwapPlanner.ModelInput(rare, SIZE, 0, 0, 0, 0.3, 2, 8);
		List<SwapPlanner.EngineInput> engines = List
			.of(engine("e1", 0, Map.of(HOT, SIZE, IDLE, SIZE, rare, SIZE), Set.of(MISSING)));
		List<SwapPlanner.Step> steps = SwapPlanner.plan(engines,
				List.of(model(HOT, 30, 0, 0), model(IDLE, 0, 0, 0), seen, model(MISSING, 5, 5, 0)), 0);
		assertThat(steps).extracting(SwapPlanner.Step::unload).containsExactly(Optional.of(rare));
	}

	private static SwapPlanner.EngineInput arriving(String id, ModelId model, double seconds) {
		return new SwapPlanner.EngineInput(BackendServerId.of(id), 0, Map.of(model, SIZE), Set.of(),
				Map.of(model, seconds), Set.of(), false, true);
	}

	private static SwapPlanner.EngineInput engine(String id, long free, Map<ModelId, Long> residents,
			Set<ModelId> near) {
		return new SwapPlanner.EngineInput(BackendServerId.of(id), free, residents, residents.keySet(), Map.of(), near,
				true, true);
	}

	private static SwapPlanner.ModelInput model(ModelId id, double value, double late, double unserved) {
		return new SwapPlanner.ModelInput(id, SIZE, value, late, unserved, value, 2, 8);
	}

}
