package org.celeryhill.placement;

import java.util.List;
import java.util.Optional;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.celeryhill.base.BackendServerId;
import org.celeryhill.base.ModelId;
import org.celeryhill.config.ModelSpec;
import org.celeryhill.config.PlacementLimits;
import org.celeryhill.placement.SimulatedFleet.SimulatedEngine;
import org.celeryhill.port.EngineReport.Role;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link ReplicaPlacementPlanner} on a simulated fleet. The fleet itself fails a
 * test if a command overcommits memory, unloads the last ready replica, goes to an engine
 * that does not respond or contradicts an outstanding command.
 */
class ReplicaPlacementPlannerTests {

	// Guards against models that never get their required replicas, for example because
	// model sizes differ widely.
	@Property(tries = 60, seed = "41")
	void loadsEveryModelInTwoDataCentres(@ForAll @IntRange(min = 0, max = 1_000_000) int seed) {
		SimulatedFleet fleet = randomFleet(seed);
		fleet.run(240);
		assertThat(fleet.unreachableModels()).isEmpty();
		for (ModelSpec spec : fleet.models) {
			assertThat(fleet.dataCentres(spec.id())).as("data centres of %s", spec.id()).isGreaterThanOrEqualTo(2);
		}
	}

	// Guards against a model without a ready replica while demand changes and engines
	// start and stop draining.
	@Property(tries = 60, seed = "42")
	void keepsEveryModelReadyWhileDemandAndEnginesChange(@ForAll @IntRange(min = 0, max = 1_000_000) int seed) {
		SimulatedFleet fleet = randomFleet(seed);
		Random random = new Random(seed);
		fleet.run(240);
		for (int i = 0; i < 300; i++) {
			if (i % 50 == 10) {
				fleet.setDemand(fleet.models.get(random.nextInt(fleet.models.size())).id(), random.nextInt(20_000));
			}
			if (i % 100 == 20) {
				drainRandomEngine(fleet, random);
			}
			fleet.step();
			assertThat(fleet.unreachableModels()).as("second %d", fleet.seconds).isEmpty();
		}
	}

	// Guards against a model that stays without a ready replica after all engines of one
	// data centre have stopped responding.
	@Property(tries = 30, seed = "43")
	void recoversFromLostDataCentre(@ForAll @IntRange(min = 0, max = 1_000_000) int seed) {
		SimulatedFleet fleet = randomFleet(seed);
		fleet.run(240);
		fleet.enginesById.values().forEach((engine) -> engine.isSuspect = engine.dataCentre().value().equals("dc-0"));
		fleet.run(240);
		assertThat(fleet.unreachableModels()).isEmpty();
	}

	// Guards against moves that are caused by noise in the demand.
	@Test
	void limitsMovesUnderNoisyDemand() {
		SimulatedFleet fleet = largeFleet();
		fleet.run(900);
		int before = fleet.loadCount;
		Random noise = new Random(44);
		for (int i = 0; i < 3600; i++) {
			int second = i;
			fleet.models.forEach((spec) -> {
				double mean = baseDemand(fleet.models.indexOf(spec));
				fleet.setDemand(spec.id(), Math.max(0, mean * (1 + noise.nextGaussian() * 0.4)));
			});
			fleet.step();
			assertThat(fleet.unreachableModels()).as("second %d", second).isEmpty();
		}
		assertThat(fleet.loadCount - before).as("loads in an hour with 8 engines").isLessThan(8);
	}

	// Guards against a planner that takes more than a minute to add replicas after the
	// demand for a model has grown far beyond its former level.
	@Test
	void addsReplicasWithinMinuteOfDemandShift() {
		SimulatedFleet fleet = largeFleet();
		fleet.run(900);
		ModelId rarelyUsed = fleet.models.get(19).id();
		int before = fleet.ready(rarelyUsed);
		fleet.setDemand(rarelyUsed, 10 * baseDemand(0));
		fleet.run(60);
		assertThat(before).isLessThanOrEqualTo(4);
		assertThat(fleet.ready(rarelyUsed)).isGreaterThanOrEqualTo(6);
	}

	// Guards against loads beyond the rate limit of the weight store, and against leaving
	// part of the rate unused.
	@Test
	void usesLoadRateOfWeightStoreWithoutExceedingIt() {
		SimulatedFleet fleet = largeFleet();
		fleet.limits = new PlacementLimits(0.5, 20, 50);
		for (int i = 0; i < 100; i++) {
			fleet.step();
			assertThat(fleet.loadCount).isLessThanOrEqualTo((int) (2 + 0.5 * fleet.seconds));
		}
		assertThat(fleet.loadCount).isGreaterThanOrEqualTo(45);
	}

	// Guards against more concurrent loads than the weight store serves at full speed.
	@Test
	void limitsConcurrentLoads() {
		SimulatedFleet fleet = largeFleet();
		fleet.limits = new PlacementLimits(10, 3, 50);
		for (int i = 0; i < 120; i++) {
			fleet.step();
			assertThat(fleet.countInFlight()).isLessThanOrEqualTo(3);
		}
		assertThat(fleet.unreachableModels()).isEmpty();
	}

	// Guards against a version change that unloads the old version before the new one is
	// ready, or never.
	@Test
	void keepsModelReadyDuringVersionChange() {
		SimulatedFleet fleet = largeFleet();
		fleet.run(300);
		ModelSpec old = fleet.models.get(0);
		ModelSpec next = new ModelSpec(ModelId.of("model-0@2"), old.bytes(), Optional.empty(), 1, 8);
		List<ModelSpec> specs = new java.util.ArrayList<>(fleet.models);
		specs.set(0, next);
		fleet.replaceModels(specs);
		for (int i = 0; i < 200; i++) {
			fleet.step();
			assertThat(fleet.ready(old.id()) + fleet.ready(next.id())).isGreaterThanOrEqualTo(1);
		}
		assertThat(fleet.ready(next.id())).isGreaterThanOrEqualTo(2);
		assertThat(fleet.ready(old.id())).isZero();
	}

	// Guards against unloading models from a draining engine that still decodes, and
	// against never unloading them.
	@Test
	void unloadsDrainingEngineOnlyWhenIdle() {
		SimulatedFleet fleet = largeFleet();
		fleet.run(300);
		SimulatedEngine leaving = fleet.enginesById.get(BackendServerId.of("engine-0"));
		int replicasBefore = leaving.replicas.size();
		leaving.isLeaving = true;
		leaving.running = 1;
		fleet.run(100);
		assertThat(leaving.replicas).hasSize(replicasBefore);
		leaving.running = 0;
		fleet.run(100);
		assertThat(leaving.replicas).isEmpty();
	}

	// Guards against an adapter that is loaded nowhere when its first request comes, or
	// that is loaded on an engine without its base model.
	@Test
	void keepsIdleAdapterLoadedNextToBase() {
		SimulatedFleet fleet = largeFleet();
		ModelId base = fleet.models.get(3).id();
		ModelId adapter = ModelId.of("tone@1");
		fleet.models.add(new ModelSpec(adapter, 1, Optional.of(base), 1, 4));
		fleet.run(300);
		assertThat(fleet.ready(adapter)).isBetween(1, 2);
		fleet.setDemand(adapter, 50);
		fleet.run(20);
		assertThat(fleet.ready(adapter)).isGreaterThanOrEqualTo(1);
		fleet.enginesById.values()
			.stream()
			.filter((engine) -> engine.replicas.containsKey(adapter))
			.forEach((engine) -> assertThat(engine.replicas).containsKey(base));
	}

	// Guards against a model that is ready only on engines that cannot start a request.
	@Test
	void restoresEngineThatCanStartRequests() {
		SimulatedFleet fleet = largeFleet();
		fleet.run(300);
		fleet.enginesById.values().forEach((engine) -> engine.role = Role.DECODE);
		fleet.run(5);
		for (ModelSpec spec : fleet.models) {
			assertThat(fleet.enginesById.values().stream().filter((engine) -> engine.replicas.containsKey(spec.id())))
				.anyMatch((engine) -> engine.role == Role.MIXED);
		}
	}

	// Guards against missing findings for models that do not fit into the fleet, or no
	// longer fit once a data centre is lost.
	@Test
	void reportsModelsWithoutCapacity() {
		SimulatedFleet fleet = new SimulatedFleet(45);
		fleet.addEngines(1, 1, 100);
		fleet.enginesById.put(BackendServerId.of("other"),
				new SimulatedEngine(BackendServerId.of("other"), org.celeryhill.base.DataCentre.of("dc-1"), 60));
		ModelId large = fleet.addModel("large@1", 90, 2);
		fleet.addModel("small@1", 50, 2);
		ModelId huge = fleet.addModel("huge@1", 200, 2);
		List<org.celeryhill.base.Finding> findings = CapacityCheck.check(fleet.toRevision(), SimulatedFleet.SERVICE,
				fleet.enginesById.values().stream().map(SimulatedEngine::toState).toList());
		assertThat(findings).anyMatch((finding) -> !finding.isError() && finding.path().endsWith(large.value()));
		assertThat(findings).anyMatch((finding) -> finding.isError() && finding.path().endsWith(huge.value()));
	}

	private static SimulatedFleet randomFleet(int seed) {
		Random random = new Random(seed);
		SimulatedFleet fleet = new SimulatedFleet(seed);
		int engines = 6 + random.nextInt(6);
		fleet.addEngines(engines, 3, 100);
		long budget = engines * 100L * 2 / 7;
		for (int i = 0; budget > 0; i++) {
			long bytes = 5 + random.nextInt(36);
			budget -= bytes;
			ModelId model = fleet.addModel("model-" + i + "@1", bytes, 2 + random.nextInt(5));
			fleet.setDemand(model, random.nextInt(1000));
		}
		return fleet;
	}

	private static SimulatedFleet largeFleet() {
		SimulatedFleet fleet = new SimulatedFleet(7);
		fleet.addEngines(8, 3, 100);
		for (int i = 0; i < 20; i++) {
			fleet.setDemand(fleet.addModel("model-" + i + "@1", 14, 8), baseDemand(i));
		}
		return fleet;
	}

	private static double baseDemand(int rank) {
		return 1000.0 / (1 + rank);
	}

	private static void drainRandomEngine(SimulatedFleet fleet, Random random) {
		fleet.enginesById.values().forEach((engine) -> engine.isLeaving = false);
		int index = random.nextInt(fleet.enginesById.size());
		fleet.enginesById.values().stream().skip(index).findFirst().ifPresent((engine) -> engine.isLeaving = true);
	}

}
