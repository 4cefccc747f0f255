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
import org.celeryhill.placement.FleetModel.Box;
import org.celeryhill.port.EngineReport.Role;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the planner on a fleet that moves in steps; the fleet itself fails a test when
 * a command overcommits memory, removes the last ready replica or contradicts an
 * outstanding command.
 */
class ReplicaPlacementPlannerTests {

	// Guards against models that never get their replicas, also where sizes differ much.
	@Property(tries = 60, seed = "41")
	void convergesFromEmptyFleet(@ForAll @IntRange(min = 0, max = 1_000_000) int seed) {
		FleetModel fleet = randomFleet(seed);
		fleet.run(240);
		assertThat(fleet.unreachable()).isEmpty();
		for (ModelSpec spec : fleet.models) {
			assertThat(fleet.dataCentres(spec.id())).as("data centres of %s", spec.id()).isGreaterThanOrEqualTo(2);
		}
	}

	// Guards against an unreachable model while demand, engines and versions change.
	@Property(tries = 60, seed = "42")
	void keepsEveryModelReadyUnderChange(@ForAll @IntRange(min = 0, max = 1_000_000) int seed) {
		FleetModel fleet = randomFleet(seed);
		Random random = new Random(seed);
		fleet.run(240);
		for (int i = 0; i < 300; i++) {
			if (i % 50 == 10) {
				fleet.setDemand(fleet.models.get(random.nextInt(fleet.models.size())).id(), random.nextInt(20_000));
			}
			if (i % 100 == 20) {
				leaveOne(fleet, random);
			}
			fleet.step();
			assertThat(fleet.unreachable()).as("second %d", fleet.seconds).isEmpty();
		}
	}

	// Guards against a model that stays unreachable after engines have failed.
	@Property(tries = 30, seed = "43")
	void recoversFromLostDataCentre(@ForAll @IntRange(min = 0, max = 1_000_000) int seed) {
		FleetModel fleet = randomFleet(seed);
		fleet.run(240);
		fleet.boxes.values().forEach((box) -> box.isSuspect = box.dataCentre().value().equals("dc-0"));
		fleet.run(240);
		assertThat(fleet.unreachable()).isEmpty();
	}

	// Guards against moves that noise in the demand causes.
	@Test
	void boundsMovesInSteadyState() {
		FleetModel fleet = largeFleet();
		fleet.run(900);
		int before = fleet.loads;
		Random noise = new Random(44);
		for (int i = 0; i < 3600; i++) {
			int second = i;
			fleet.models.forEach((spec) -> {
				double mean = baseDemand(fleet.models.indexOf(spec));
				fleet.setDemand(spec.id(), Math.max(0, mean * (1 + noise.nextGaussian() * 0.4)));
			});
			fleet.step();
			assertThat(fleet.unreachable()).as("second %d", second).isEmpty();
		}
		assertThat(fleet.loads - before).as("moves in an hour with 8 engines").isLessThan(8);
	}

	// Guards against a planner that is too slow for a shift of demand.
	@Test
	void followsTenfoldShift() {
		FleetModel fleet = largeFleet();
		fleet.run(900);
		ModelId cold = fleet.models.get(19).id();
		int before = fleet.ready(cold);
		fleet.setDemand(cold, 10 * baseDemand(0));
		fleet.run(60);
		assertThat(before).isLessThanOrEqualTo(4);
		assertThat(fleet.ready(cold)).isGreaterThanOrEqualTo(6);
	}

	// Guards against loads beyond the rate of the weight store, and against unused rate.
	@Test
	void keepsRateOfWeightStore() {
		FleetModel fleet = largeFleet();
		fleet.limits = new PlacementLimits(0.5, 20, 50);
		for (int i = 0; i < 100; i++) {
			fleet.step();
			assertThat(fleet.loads).isLessThanOrEqualTo((int) (2 + 0.5 * fleet.seconds));
		}
		assertThat(fleet.loads).isGreaterThanOrEqualTo(45);
	}

	// Guards against more loads at once than the weight store serves at full speed.
	@Test
	void keepsConcurrencyOfWeightStore() {
		FleetModel fleet = largeFleet();
		fleet.limits = new PlacementLimits(10, 3, 50);
		for (int i = 0; i < 120; i++) {
			fleet.step();
			assertThat(fleet.inFlight()).isLessThanOrEqualTo(3);
		}
		assertThat(fleet.unreachable()).isEmpty();
	}

	// Guards against a version change that removes the old version too early or never.
	@Test
	void replacesVersion() {
		FleetModel fleet = largeFleet();
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

	// Guards against unloading an engine that still decodes, and against never emptying
	// it.
	@Test
	void emptiesLeavingEngineWhenIdle() {
		FleetModel fleet = largeFleet();
		fleet.run(300);
		Box leaving = fleet.boxes.get(BackendServerId.of("engine-0"));
		int copies = leaving.copies.size();
		leaving.isLeaving = true;
		leaving.running = 1;
		fleet.run(100);
		assertThat(leaving.copies).hasSize(copies);
		leaving.running = 0;
		fleet.run(100);
		assertThat(leaving.copies).isEmpty();
	}

	// Guards against a first request for an adapter that finds it loaded nowhere, or
	// loaded
	// where its base is not.
	@Test
	void keepsIdleAdapterNextToBase() {
		FleetModel fleet = largeFleet();
		ModelId base = fleet.models.get(3).id();
		ModelId adapter = ModelId.of("tone@1");
		fleet.models.add(new ModelSpec(adapter, 1, Optional.of(base), 1, 4));
		fleet.run(300);
		assertThat(fleet.ready(adapter)).isBetween(1, 2);
		fleet.setDemand(adapter, 50);
		fleet.run(20);
		assertThat(fleet.ready(adapter)).isGreaterThanOrEqualTo(1);
		fleet.boxes.values()
			.stream()
			.filter((box) -> box.copies.containsKey(adapter))
			.forEach((box) -> assertThat(box.copies).containsKey(base));
	}

	// Guards against a model whose only ready engines cannot start a request.
	@Test
	void restoresStartingRole() {
		FleetModel fleet = largeFleet();
		fleet.run(300);
		fleet.boxes.values().forEach((box) -> box.role = Role.DECODE);
		fleet.run(5);
		for (ModelSpec spec : fleet.models) {
			assertThat(fleet.boxes.values().stream().filter((box) -> box.copies.containsKey(spec.id())))
				.anyMatch((box) -> box.role == Role.MIXED);
		}
	}

	// Guards against a revision that cannot survive the loss of a data centre unnoticed.
	@Test
	void reportsFailureBudget() {
		FleetModel fleet = new FleetModel(45);
		fleet.addEngines(1, 1, 100);
		fleet.boxes.put(BackendServerId.of("other"),
				new Box(BackendServerId.of("other"), org.celeryhill.base.DataCentre.of("dc-1"), 60));
		ModelId large = fleet.addModel("large@1", 90, 2);
		fleet.addModel("small@1", 50, 2);
		ModelId huge = fleet.addModel("huge@1", 200, 2);
		List<org.celeryhill.base.Finding> findings = CapacityCheck.check(fleet.toRevision(), FleetModel.SERVICE,
				fleet.boxes.values().stream().map(Box::toState).toList());
		assertThat(findings).anyMatch((one) -> !one.isError() && one.path().endsWith(large.value()));
		assertThat(findings).anyMatch((one) -> one.isError() && one.path().endsWith(huge.value()));
	}

	private static FleetModel randomFleet(int seed) {
		Random random = new Random(seed);
		FleetModel fleet = new FleetModel(seed);
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

	private static FleetModel largeFleet() {
		FleetModel fleet = new FleetModel(7);
		fleet.addEngines(8, 3, 100);
		for (int i = 0; i < 20; i++) {
			fleet.setDemand(fleet.addModel("model-" + i + "@1", 14, 8), baseDemand(i));
		}
		return fleet;
	}

	private static double baseDemand(int rank) {
		return 1000.0 / (1 + rank);
	}

	private static void leaveOne(FleetModel fleet, Random random) {
		fleet.boxes.values().forEach((box) -> box.isLeaving = false);
		int index = random.nextInt(fleet.boxes.size());
		fleet.boxes.values().stream().skip(index).findFirst().ifPresent((box) -> box.isLeaving = true);
	}

}
