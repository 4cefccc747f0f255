package org.celeryhill.planner;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;

import org.celeryhill.base.BackendServerId;
import org.celeryhill.base.ModelId;
import org.celeryhill.base.RevisionDocument;
import org.celeryhill.base.VirtualTimerService;
import org.celeryhill.placement.PlacementPlan;
import org.celeryhill.placement.PlanInput.EngineState;
import org.celeryhill.port.EngineCommand.Action;
import org.celeryhill.port.RowKey;
import org.celeryhill.state.PlannedStop;
import org.celeryhill.state.PlannedStopStore;
import org.celeryhill.state.StopTarget;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of planning rounds with fake engines and services in virtual time.
 */
class ServicePlannerTests {

	/** Models of the demo configuration. */
	private static final List<String> MODELS = List.of("mill-a/furnish@1", "mill-a/grade-report@1", "mill-b/furnish@1",
			"mill-b/grade-report@1");

	private final VirtualTimerService timer = VirtualTimerService.startingAt(Instant.EPOCH);

	private final PlannerFixture fixture = new PlannerFixture(this.timer);

	// Guards against listed models that are not loaded, and against reasons that are not
	// written to the table.
	@Test
	void loadsListedModelsAndWritesReasons() {
		PlannerContext context = this.fixture.createContext("planner-0");
		advanceAndRunRounds(60, new ServicePlanner(PlannerFixture.SERVICE, context));
		for (String model : MODELS) {
			assertThat(this.fixture.ready(model)).as(model).isGreaterThanOrEqualTo(2);
		}
		assertThat(this.fixture.maxOvercommittedBytes()).isZero();
		assertThat(this.fixture.table.peek(RowKey.of("explain", PlannerFixture.SERVICE.value())).orElseThrow().value())
			.contains(MODELS)
			.contains("findings");
	}

	// Guards against two planners that hold the lease at once, and against a lease that
	// no planner acquires after its holder has failed.
	@Test
	void acquiresLeaseAfterHolderFails() {
		ServicePlanner first = new ServicePlanner(PlannerFixture.SERVICE, this.fixture.createContext("planner-0"));
		ServicePlanner second = new ServicePlanner(PlannerFixture.SERVICE, this.fixture.createContext("planner-1"));
		for (int i = 0; i < 3; i++) {
			advanceAndRunRounds(1, first, second);
			assertThat(first.isLeaseHolder() && second.isLeaseHolder()).isFalse();
		}
		advanceAndRunRounds(60, second);
		assertThat(first.isLeaseHolder()).isFalse();
		assertThat(second.isLeaseHolder()).isTrue();
		for (String model : MODELS) {
			assertThat(this.fixture.ready(model)).as(model).isGreaterThanOrEqualTo(2);
		}
		assertThat(this.fixture.maxOvercommittedBytes()).isZero();
	}

	// Guards against a lease that stays held after a graceful shutdown, so that another
	// planner has to wait until it expires.
	@Test
	void acquiresReleasedLeaseAtOnce() {
		ServicePlanner first = new ServicePlanner(PlannerFixture.SERVICE, this.fixture.createContext("planner-0"));
		ServicePlanner second = new ServicePlanner(PlannerFixture.SERVICE, this.fixture.createContext("planner-1"));
		advanceAndRunRounds(2, first);
		first.releaseLease();
		advanceAndRunRounds(1, second);
		assertThat(second.isLeaseHolder()).isTrue();
	}

	// Guards against a planned stop of an engine that leaves a model without a ready
	// replica or never completes.
	@Test
	void drainsEngineOfPlannedStop() {
		PlannerContext context = this.fixture.createContext("planner-0");
		ServicePlanner planner = new ServicePlanner(PlannerFixture.SERVICE, context);
		advanceAndRunRounds(60, planner);
		BackendServerId target = this.fixture.engines.keySet().iterator().next();
		PlannedStopStore stops = PlannedStopStore.create(context.writer(), this.timer);
		stops.announce(StopTarget.backendServer(target), "operator", "new fans");
		for (int i = 0; i < 120; i++) {
			context.stops().refresh();
			advanceAndRunRounds(1, planner);
			context.stops().reportProgress(List.copyOf(context.fleet().enginesById().values()), Map.of());
			MODELS.forEach((model) -> assertThat(this.fixture.ready(model)).as(model).isPositive());
		}
		PlannedStopStore.StoredStop stop = (PlannedStopStore.StoredStop) stops.find(StopTarget.backendServer(target));
		assertThat(stop.stop().state()).isEqualTo(PlannedStop.State.DONE);
	}

	// Guards against commands that are sent although the table service is down and they
	// cannot be recorded.
	@Test
	void sendsNoCommandsWhileStoreIsDown() {
		ServicePlanner planner = new ServicePlanner(PlannerFixture.SERVICE, this.fixture.createContext("planner-0"));
		this.fixture.faults.setDown("table", true);
		advanceAndRunRounds(30, planner);
		MODELS.forEach((model) -> assertThat(this.fixture.ready(model)).isZero());
		this.fixture.faults.setDown("table", false);
		advanceAndRunRounds(60, planner);
		MODELS.forEach((model) -> assertThat(this.fixture.ready(model)).isPositive());
	}

	// Guards against an unload whose keeper is an engine that leaves or unloads the model
	// in the same plan.
	@Test
	void selectsKeeperThatKeepsItsReplica() {
		PlannerContext context = this.fixture.createContext("planner-0");
		advanceAndRunRounds(60, new ServicePlanner(PlannerFixture.SERVICE, context));
		context.fleet().refreshReports(PlannerFixture.SERVICE);
		ModelId model = ModelId.of(MODELS.get(0));
		Map<BackendServerId, EngineState> states = new java.util.LinkedHashMap<>();
		context.fleet()
			.engines(PlannerFixture.SERVICE)
			.stream()
			.filter((engine) -> engine.report().orElseThrow().isReady(model))
			.limit(2)
			.forEach((engine) -> states.put(engine.entry().id(),
					new EngineState(engine.entry().id(), engine.entry().dataCentre(), engine.report().orElseThrow(), 0,
							java.util.Set.of(), java.util.Set.of(), false, false)));
		List<PlacementPlan.Step> unloads = states.keySet()
			.stream()
			.map((id) -> new PlacementPlan.Step(id, Action.UNLOAD_MODEL, model, 1, "test"))
			.toList();
		KeeperSelector selectorForOneUnload = new KeeperSelector(states, context.revisions().revision(),
				PlannerFixture.SERVICE, unloads.subList(0, 1));
		assertThat(selectorForOneUnload.selectKeeper(unloads.get(0)))
			.contains(new KeeperSelector.Replica(unloads.get(1).engine(), model));
		assertThat(selectorForOneUnload.isKeeperRequired(unloads.get(0))).isTrue();
		KeeperSelector selectorForBothUnloads = new KeeperSelector(states, context.revisions().revision(),
				PlannerFixture.SERVICE, unloads);
		assertThat(selectorForBothUnloads.selectKeeper(unloads.get(0))).isEmpty();
	}

	// Guards against a version change that never completes or leaves no ready replica of
	// either version.
	@Test
	void replacesModelVersionWithoutGap() {
		PlannerContext context = this.fixture.createContext("planner-0");
		ServicePlanner planner = new ServicePlanner(PlannerFixture.SERVICE, context);
		advanceAndRunRounds(60, planner);
		Map<String, String> files = new java.util.TreeMap<>(PlannerFixture.readDemoRevision(2).files());
		files.replaceAll((name, text) -> text.replace("mill-a/grade-report@1", "mill-a/grade-report@2"));
		context.revisions().apply(new RevisionDocument(2, files));
		for (int i = 0; i < 120; i++) {
			advanceAndRunRounds(1, planner);
			assertThat(this.fixture.ready("mill-a/grade-report@1") + this.fixture.ready("mill-a/grade-report@2"))
				.isPositive();
		}
		assertThat(this.fixture.ready("mill-a/grade-report@1")).isZero();
		assertThat(this.fixture.ready("mill-a/grade-report@2")).isGreaterThanOrEqualTo(2);
	}

	private void advanceAndRunRounds(int seconds, ServicePlanner... planners) {
		for (int i = 0; i < seconds; i++) {
			this.timer.advance(Duration.ofSeconds(1));
			for (ServicePlanner planner : planners) {
				planner.runRound();
			}
		}
	}

}
