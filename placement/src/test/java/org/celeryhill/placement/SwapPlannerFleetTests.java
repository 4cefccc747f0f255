package org.celeryhill.placement;

import java.util.ArrayList;
import java.util.List;

import org.celeryhill.base.KnownRedCondition;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link SwapPlanner} on simulated fleets that hold fewer models than are
 * requested.
 */
@ExtendWith(KnownRedCondition.class)
class SwapPlannerFleetTests {

	private static final long GB = 1_000_000_000;

	private static final long ENGINE_BYTES = 200 * GB;

	/** Value per second that an engine can serve. */
	private static final double ENGINE_VALUE = 25;

	/** Most loads from the weight store in 5 s for each engine. */
	private static final double COLD_LOADS_PER_ENGINE = 27 / 42.0;

	// Guards against rarely requested models that are never loaded because the least gain
	// of a step grows with the number of engines.
	@Test
	void servesRarelyRequestedModelsOfLargeFleet() {
		assertServesAllModels(42, 20, 50, 54);
	}

	// Guards against a change for large fleets that starves the models of a small one.
	@Test
	void servesRarelyRequestedModelsOfSmallFleet() {
		assertServesAllModels(8, 4, 10, 10);
	}

	// Guards against rarely requested models that stay away after engines have crashed
	// and
	// lost them.
	@Test
	void servesRarelyRequestedModelsAfterCrash() {
		SimulatedSwapFleet fleet = createFleet(42, 20, 50, 54);
		fleet.run(8);
		fleet.crash(5, 4);
		fleet.run(26);
		assertServed(fleet);
	}

	private static void assertServesAllModels(int engines, int hot, int urgent, int batch) {
		SimulatedSwapFleet fleet = createFleet(engines, hot, urgent, batch);
		fleet.run(34);
		assertServed(fleet);
	}

	// The bound is that of the users' rule: 1 + 10 in 100 may never be served.
	private static void assertServed(SimulatedSwapFleet fleet) {
		assertThat(fleet.neverServed()).hasSizeLessThanOrEqualTo(1 + fleet.requestedThroughout().size() / 10);
	}

	// Creates a fleet whose memory is in use: the hot models have several replicas, each
	// idle urgent model has one, and half of the batch models have none.
	private static SimulatedSwapFleet createFleet(int engines, int hot, int urgent, int batch) {
		SimulatedSwapFleet fleet = new SimulatedSwapFleet(13438231, (int) Math.max(1, engines * COLD_LOADS_PER_ENGINE),
				ENGINE_VALUE);
		for (int i = 0; i < engines; i++) {
			fleet.addEngine("e" + i, ENGINE_BYTES);
		}
		List<SimulatedSwapFleet.Model> urgentModels = addModels(fleet, "u", urgent);
		List<SimulatedSwapFleet.Model> batchModels = addModels(fleet, "b", batch);
		List<SimulatedSwapFleet.Model> hotModels = urgentModels.subList(0, hot);
		double weights = 0;
		for (int i = 0; i < hot; i++) {
			weights += Math.pow(i + 1, -0.5);
		}
		for (int i = 0; i < hot; i++) {
			SimulatedSwapFleet.Model model = hotModels.get(i);
			model.requestsPerSecond = 5.0 * engines * Math.pow(i + 1, -0.5) / weights;
			model.requestValue = 2.5;
			model.patienceSeconds = 2.5;
		}
		batchModels.forEach((model) -> model.requestsPerSecond = 0.36);
		urgentModels.forEach(fleet::place);
		batchModels.subList(0, batch / 2).forEach(fleet::place);
		fillMemory(fleet, hotModels);
		return fleet;
	}

	private static List<SimulatedSwapFleet.Model> addModels(SimulatedSwapFleet fleet, String prefix, int count) {
		List<SimulatedSwapFleet.Model> models = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			SimulatedSwapFleet.Model model = switch (i % 4) {
				case 0, 1 -> fleet.addModel(prefix + i, 72 * GB, 1.7, 8.6);
				case 2 -> fleet.addModel(prefix + i, 65 * GB, 1.6, 7.8);
				default -> fleet.addModel(prefix + i, 42 * GB, 1.2, 5);
			};
			models.add(model);
		}
		return models;
	}

	private static void fillMemory(SimulatedSwapFleet fleet, List<SimulatedSwapFleet.Model> models) {
		boolean hasRoom = true;
		while (hasRoom) {
			hasRoom = false;
			for (SimulatedSwapFleet.Model model : models) {
				hasRoom |= fleet.place(model);
			}
		}
	}

}
