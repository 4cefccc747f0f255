package org.celeryhill.placement;

import java.util.ArrayList;
import java.util.List;

import org.celeryhill.base.Finding;
import org.celeryhill.base.ModelId;
import org.celeryhill.placement.PlacementPlan.Step;
import org.celeryhill.port.EngineCommand.Action;
import org.celeryhill.port.EngineReport.Role;

/**
 * State shared by the phases of one planning round: the fleet, the budgets, and the steps
 * and findings so far. Not thread-safe.
 */
final class PlanningRound {

	/** Source given in findings. */
	static final String FINDING_SOURCE = "placement";

	/** Fleet of the round, including the effects of the steps planned so far. */
	final FleetView fleet;

	/** Budget of model and adapter loads. */
	final LoadBudget loadBudget;

	/** Reservations and recent moves that are kept between rounds. */
	final MoveHistory moveHistory;

	/** Selects engines for replicas. */
	final EngineSelector engineSelector;

	/** Steps planned so far, most important first. */
	final List<Step> steps = new ArrayList<>();

	/** Requirements found so far that the plan cannot meet. */
	final List<Finding> findings = new ArrayList<>();

	PlanningRound(FleetView fleet, LoadBudget loadBudget, MoveHistory moveHistory) {
		this.fleet = fleet;
		this.loadBudget = loadBudget;
		this.moveHistory = moveHistory;
		this.engineSelector = new EngineSelector(fleet);
	}

	/**
	 * Plans a load. The caller must have checked memory and budget.
	 * @param engine the engine that loads the model
	 * @param model the model or adapter
	 * @param reason the reason in words, for operators
	 */
	void load(EngineView engine, ModelView model, String reason) {
		Action action = model.isAdapter() ? Action.LOAD_ADAPTER : Action.LOAD_MODEL;
		this.steps.add(new Step(engine.state.id(), action, model.id, model.spec.bytes(), reason));
		this.fleet.addPlannedLoad(engine, model);
		this.moveHistory.recordLoad(engine, model);
		if (model.isAdapter()) {
			this.loadBudget.consumeAdapterLoad();
		}
		else {
			this.loadBudget.consumeModelLoad();
		}
		model.reason = "load on " + engine.state.id() + ": " + reason;
	}

	/**
	 * Plans an unload. The caller must have checked the unload rule. If adapters on the
	 * engine depend on the model, only they are unloaded now, and the model follows in a
	 * later round.
	 * @param replica the replica to unload
	 * @param reason the reason in words, for operators
	 */
	void unload(Replica replica, String reason) {
		boolean hasAdapters = unloadAdapters(replica, reason);
		replica.markUnloadPending();
		replica.model.reason = "unload from " + replica.engine.state.id() + ": " + reason;
		if (hasAdapters) {
			return;
		}
		Action action = this.moveHistory.isAdapter(replica.model) ? Action.UNLOAD_ADAPTER : Action.UNLOAD_MODEL;
		this.steps.add(new Step(replica.engine.state.id(), action, replica.model.id, replica.bytes, reason));
	}

	private boolean unloadAdapters(Replica base, String reason) {
		boolean hasAdapters = false;
		for (Replica replica : base.engine.replicas) {
			if (!isAdapterOf(replica, base.model)) {
				continue;
			}
			hasAdapters = true;
			boolean isDispensable = replica.model.isIdle || replica.model.readyWithout(replica) > 0;
			if (isDispensable && UnloadRule.isUnloadPossible(replica)) {
				unload(replica, "base model " + base.model.id + " is unloaded: " + reason);
			}
		}
		return hasAdapters;
	}

	private static boolean isAdapterOf(Replica replica, ModelView base) {
		return replica.model.isAdapter() && replica.model.spec.base().get().equals(base.id);
	}

	/**
	 * Plans a role change unless one was planned for the engine recently.
	 * @param engine the engine whose role is to change
	 * @param role the new role
	 * @param reason the reason in words, for operators
	 */
	void changeRole(EngineView engine, Role role, String reason) {
		if (this.moveHistory.tryStartRoleChange(engine)) {
			ModelId name = ModelId.of(role.name());
			this.steps.add(new Step(engine.state.id(), Action.CHANGE_ROLE, name, 0, reason));
		}
	}

	/**
	 * Adds a finding about a requirement that the plan cannot meet.
	 * @param isError true for an error, false for a warning
	 * @param model the model or adapter
	 * @param message what is wrong and what to do
	 */
	void addFinding(boolean isError, ModelView model, String message) {
		String path = "models." + model.id;
		this.findings.add(isError ? Finding.error(FINDING_SOURCE, 0, path, message)
				: Finding.warning(FINDING_SOURCE, 0, path, message));
		if (model.reason.isEmpty()) {
			model.reason = message;
		}
	}

}
