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
import org.celeryhill.state.PlannedStops;
import org.celeryhill.state.StopTarget;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of planning rounds over fakes in virtual time.
 */
class GroupPlannerTests {

	/** Models of the demonstration. */
	private static final List<String> MODELS = List.of("mill-a/furnish@1", "mill-a/grade-report@1", "mill-b/furnish@1",
			"mill-b/grade-report@1");

	/** Time. */
	private final VirtualTimerService timer = VirtualTimerService.startingAt(Instant.EPOCH);

	/** Engines and services. */
	private final PlannerWorld world = new PlannerWorld(this.timer);

	// Guards against models that are not loaded, and against reasons that are not
	// written.
	@Test
	void loadsModelsAndExplains() {
		PlannerContext context = this.world.context("planner-0");
		run(60, new GroupPlanner(PlannerWorld.SERVICE, context));
		for (String model : MODELS) {
			assertThat(this.world.ready(model)).as(model).isGreaterThanOrEqualTo(2);
		}
		assertThat(this.world.mostOvercommittedBytes()).isZero();
		assertThat(this.world.table.peek(RowKey.of("explain", PlannerWorld.SERVICE.value())).orElseThrow().value())
			.contains(MODELS)
			.contains("findings");
	}

	// Guards against two planners at once, and against none after the holder has failed.
	@Test
	void takesOverAfterFailure() {
		GroupPlanner first = new GroupPlanner(PlannerWorld.SERVICE, this.world.context("planner-0"));
		GroupPlanner second = new GroupPlanner(PlannerWorld.SERVICE, this.world.context("planner-1"));
		for (int i = 0; i < 3; i++) {
			run(1, first, second);
			assertThat(first.isHolder() && second.isHolder()).isFalse();
		}
		run(60, second);
		assertThat(first.isHolder()).isFalse();
		assertThat(second.isHolder()).isTrue();
		for (String model : MODELS) {
			assertThat(this.world.ready(model)).as(model).isGreaterThanOrEqualTo(2);
		}
		assertThat(this.world.mostOvercommittedBytes()).isZero();
	}

	// Guards against a lease that stays held after a graceful shutdown.
	@Test
	void releasesLease() {
		GroupPlanner first = new GroupPlanner(PlannerWorld.SERVICE, this.world.context("planner-0"));
		GroupPlanner second = new GroupPlanner(PlannerWorld.SERVICE, this.world.context("planner-1"));
		run(2, first);
		first.release();
		run(1, second);
		assertThat(second.isHolder()).isTrue();
	}

	// Guards against a planned stop that leaves a model without a replica or never ends.
	@Test
	void emptiesStoppedEngine() {
		PlannerContext context = this.world.context("planner-0");
		GroupPlanner group = new GroupPlanner(PlannerWorld.SERVICE, context);
		run(60, group);
		BackendServerId target = this.world.engines.keySet().iterator().next();
		PlannedStops stops = PlannedStops.create(context.writer(), this.timer);
		stops.announce(StopTarget.backendServer(target), "operator", "new fans");
		for (int i = 0; i < 120; i++) {
			context.stops().refresh();
			run(1, group);
			context.stops().reportProgress(List.copyOf(context.fleet().all().values()), Map.of());
			MODELS.forEach((model) -> assertThat(this.world.ready(model)).as(model).isPositive());
		}
		PlannedStops.Stop stop = (PlannedStops.Stop) stops.find(StopTarget.backendServer(target));
		assertThat(stop.stop().state()).isEqualTo(PlannedStop.State.DONE);
	}

	// Guards against commands that are sent although they could not be recorded.
	@Test
	void sendsNothingWithoutStore() {
		GroupPlanner group = new GroupPlanner(PlannerWorld.SERVICE, this.world.context("planner-0"));
		this.world.faults.setDown("table", true);
		run(30, group);
		MODELS.forEach((model) -> assertThat(this.world.ready(model)).isZero());
		this.world.faults.setDown("table", false);
		run(60, group);
		MODELS.forEach((model) -> assertThat(this.world.ready(model)).isPositive());
	}

	// Guards against an unload that names a keeper which leaves or unloads the model too.
	@Test
	void choosesKeeperThatStays() {
		PlannerContext context = this.world.context("planner-0");
		run(60, new GroupPlanner(PlannerWorld.SERVICE, context));
		context.fleet().refreshReports(PlannerWorld.SERVICE);
		ModelId model = ModelId.of(MODELS.get(0));
		Map<BackendServerId, EngineState> states = new java.util.LinkedHashMap<>();
		context.fleet()
			.engines(PlannerWorld.SERVICE)
			.stream()
			.filter((engine) -> engine.report().orElseThrow().isReady(model))
			.limit(2)
			.forEach((engine) -> states.put(engine.entry().id(),
					new EngineState(engine.entry().id(), engine.entry().dataCentre(), engine.report().orElseThrow(), 0,
							java.util.Set.of(), java.util.Set.of(), false, false)));
		List<PlacementPlan.Step> both = states.keySet()
			.stream()
			.map((id) -> new PlacementPlan.Step(id, Action.UNLOAD_MODEL, model, 1, "test"))
			.toList();
		KeeperChoice one = new KeeperChoice(states, context.revisions().revision(), PlannerWorld.SERVICE,
				both.subList(0, 1));
		assertThat(one.keeper(both.get(0))).contains(new KeeperChoice.Copy(both.get(1).engine(), model));
		assertThat(one.isRequired(both.get(0))).isTrue();
		KeeperChoice two = new KeeperChoice(states, context.revisions().revision(), PlannerWorld.SERVICE, both);
		assertThat(two.keeper(both.get(0))).isEmpty();
	}

	// Guards against a version change that never ends or leaves no copy of either
	// version.
	@Test
	void replacesVersion() {
		PlannerContext context = this.world.context("planner-0");
		GroupPlanner group = new GroupPlanner(PlannerWorld.SERVICE, context);
		run(60, group);
		Map<String, String> files = new java.util.TreeMap<>(PlannerWorld.demo(2).files());
		files.replaceAll((name, text) -> text.replace("mill-a/grade-report@1", "mill-a/grade-report@2"));
		context.revisions().apply(new RevisionDocument(2, files));
		for (int i = 0; i < 120; i++) {
			run(1, group);
			assertThat(this.world.ready("mill-a/grade-report@1") + this.world.ready("mill-a/grade-report@2"))
				.isPositive();
		}
		assertThat(this.world.ready("mill-a/grade-report@1")).isZero();
		assertThat(this.world.ready("mill-a/grade-report@2")).isGreaterThanOrEqualTo(2);
	}

	private void run(int seconds, GroupPlanner... groups) {
		for (int i = 0; i < seconds; i++) {
			this.timer.advance(Duration.ofSeconds(1));
			for (GroupPlanner group : groups) {
				group.run();
			}
		}
	}

}
