package org.celeryhill.measure;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.celeryhill.base.AttemptId;
import org.celeryhill.base.ModelId;
import org.celeryhill.placement.PlacementPlan;
import org.celeryhill.placement.PlacementPlanner;
import org.celeryhill.placement.PlanInput;
import org.celeryhill.placement.ReplicaPlacementPlanner;
import org.celeryhill.port.EngineCommand;
import org.celeryhill.port.EngineReport;

/**
 * Placement by the planner under measurement, with a command ledger for each engine. No
 * command is recorded, and so none is sent, while the table service is down. Not
 * thread-safe.
 */
final class PlannedPlacement implements PlacementPolicy {

	/** Time from the decision until a command arrives, in nanoseconds. */
	private static final long COMMAND_DELAY = 30_000_000L;

	/** Planner under measurement. */
	private final PlacementPlanner planner = ReplicaPlacementPlanner.create();

	/** Unsettled commands by engine. */
	private final Map<EngineModel, List<Entry>> ledger = new HashMap<>();

	/** Time of the last round, in nanoseconds. */
	private long last;

	/** Commands so far. */
	private long commands;

	@Override
	public void round(Simulation run) {
		if (!run.isTableUp()) {
			return;
		}
		long now = run.events.now();
		List<PlanInput.EngineState> states = new ArrayList<>();
		for (EngineModel engine : run.engines) {
			EngineReport report = run.lastReport(engine);
			if (report != null) {
				states.add(state(run, engine, report));
			}
		}
		double seconds = Math.max(1, now - this.last) / 1e9;
		this.last = now;
		PlacementPlan plan = this.planner
			.plan(new PlanInput(run.deployment.engineService, run.revision, states, run.demand.take(seconds), now, 1));
		plan.steps().forEach((step) -> send(run, step));
	}

	private PlanInput.EngineState state(Simulation run, EngineModel engine, EngineReport report) {
		List<Entry> entries = this.ledger.computeIfAbsent(engine, (key) -> new ArrayList<>());
		Set<AttemptId> settled = new HashSet<>(report.settled());
		entries.removeIf((one) -> settled.contains(one.id) || !one.incarnation.equals(report.incarnation()));
		Set<ModelId> loads = new HashSet<>();
		Set<ModelId> unloads = new HashSet<>();
		Set<ModelId> residents = new HashSet<>();
		report.residents().forEach((one) -> residents.add(one.model()));
		long bytes = report.legacyBytes() + report.residentBytes();
		for (Entry entry : entries) {
			if (entry.action.isUnload()) {
				unloads.add(entry.model);
			}
			else if (loads.add(entry.model) && !residents.contains(entry.model)) {
				bytes += entry.bytes;
			}
		}
		boolean isLeaving = report.isLeaving() || run.isListedAsLeaving(engine);
		return new PlanInput.EngineState(engine.id, engine.dataCentre, report, bytes, loads, unloads, isLeaving,
				!run.isAnswering(engine));
	}

	private void send(Simulation run, PlacementPlan.Step step) {
		EngineModel engine = run.engine(step.engine());
		AttemptId id = AttemptId.of("plan-" + this.commands++);
		String incarnation = run.lastReport(engine).incarnation();
		this.ledger.get(engine).add(new Entry(id, step.action(), step.model(), step.bytes(), incarnation));
		run.events.after(COMMAND_DELAY, () -> {
			if (step.action().isLoad()) {
				engine.load(id, step.model(), step.bytes());
			}
			else if (step.action().isUnload()) {
				engine.unload(id, step.model());
			}
		});
	}

	private record Entry(AttemptId id, EngineCommand.Action action, ModelId model, long bytes, String incarnation) {

	}

}
