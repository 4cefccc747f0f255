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
 * Placement by the planner of the system, with a command ledger for each engine. While
 * the table service is down, no command can be recorded, and so none is sent. Not
 * thread-safe.
 */
final class PlannedPlacement implements PlacementPolicy {

	/** Time from the decision until a command arrives at its engine, in nanoseconds. */
	private static final long COMMAND_DELAY_NANOS = 30_000_000L;

	/** Planner of the system. */
	private final PlacementPlanner planner = ReplicaPlacementPlanner.create();

	/** Unsettled commands by engine. */
	private final Map<SimulatedEngine, List<PendingCommand>> ledger = new HashMap<>();

	/** Time of the last round, in nanoseconds. */
	private long lastRoundNanos;

	/** Number of commands so far. */
	private long commandCount;

	@Override
	public void runRound(Simulation run) {
		if (!run.isTableUp()) {
			return;
		}
		long now = run.events.now();
		List<PlanInput.EngineState> states = new ArrayList<>();
		for (SimulatedEngine engine : run.engines) {
			EngineReport report = run.lastReport(engine);
			if (report != null) {
				states.add(state(run, engine, report));
			}
		}
		double seconds = Math.max(1, now - this.lastRoundNanos) / 1e9;
		this.lastRoundNanos = now;
		PlacementPlan plan = this.planner.plan(new PlanInput(run.deployment.engineService, run.revision, states,
				run.demand.readAndReset(seconds), now, 1));
		plan.steps().forEach((step) -> send(run, step));
	}

	private PlanInput.EngineState state(Simulation run, SimulatedEngine engine, EngineReport report) {
		List<PendingCommand> entries = this.ledger.computeIfAbsent(engine, (key) -> new ArrayList<>());
		Set<AttemptId> settled = new HashSet<>(report.settled());
		entries.removeIf((one) -> settled.contains(one.id) || !one.incarnation.equals(report.incarnation()));
		Set<ModelId> loads = new HashSet<>();
		Set<ModelId> unloads = new HashSet<>();
		Set<ModelId> residents = new HashSet<>();
		report.residents().forEach((one) -> residents.add(one.model()));
		long bytes = report.legacyBytes() + report.residentBytes();
		for (PendingCommand entry : entries) {
			if (entry.action.isUnload()) {
				unloads.add(entry.model);
			}
			else if (loads.add(entry.model) && !residents.contains(entry.model)) {
				bytes += entry.bytes;
			}
		}
		boolean isLeaving = report.isLeaving() || run.isListedAsLeaving(engine);
		return new PlanInput.EngineState(engine.id, engine.dataCentre, report, bytes, loads, unloads, isLeaving,
				!run.isReachable(engine));
	}

	private void send(Simulation run, PlacementPlan.Step step) {
		SimulatedEngine engine = run.engine(step.engine());
		AttemptId id = AttemptId.of("plan-" + this.commandCount++);
		String incarnation = run.lastReport(engine).incarnation();
		this.ledger.get(engine).add(new PendingCommand(id, step.action(), step.model(), step.bytes(), incarnation));
		run.events.scheduleAfter(COMMAND_DELAY_NANOS, () -> {
			if (step.action().isLoad()) {
				engine.load(id, step.model(), step.bytes());
			}
			else if (step.action().isUnload()) {
				engine.unload(id, step.model());
			}
		});
	}

	private record PendingCommand(AttemptId id, EngineCommand.Action action, ModelId model, long bytes,
			String incarnation) {

	}

}
