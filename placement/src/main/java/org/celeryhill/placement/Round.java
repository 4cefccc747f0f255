package org.celeryhill.placement;

import java.util.ArrayList;
import java.util.List;

import org.celeryhill.base.Finding;
import org.celeryhill.base.ModelId;
import org.celeryhill.placement.PlacementPlan.Step;
import org.celeryhill.port.EngineCommand.Action;
import org.celeryhill.port.EngineReport.Role;

/**
 * What the phases of one planning round share: the fleet, the budgets and the steps
 * planned so far. Not thread-safe.
 */
final class Round {

	/** Source of findings. */
	static final String SOURCE = "placement";

	/** Fleet of the round; planned steps are applied to it. */
	final FleetView fleet;

	/** Budget of loads. */
	final LoadBudget budget;

	/** Memory between rounds. */
	final Moves moves;

	/** Choice of engines. */
	final EngineChoice choice;

	/** Steps planned so far, most important first. */
	final List<Step> steps = new ArrayList<>();

	/** Findings so far. */
	final List<Finding> findings = new ArrayList<>();

	Round(FleetView fleet, LoadBudget budget, Moves moves) {
		this.fleet = fleet;
		this.budget = budget;
		this.moves = moves;
		this.choice = new EngineChoice(fleet);
	}

	/**
	 * Plans a load; the caller has checked memory and budget.
	 * @param engine the engine
	 * @param model the model
	 * @param reason why, for explanations
	 */
	void load(EngineView engine, ModelView model, String reason) {
		Action action = model.isAdapter() ? Action.LOAD_ADAPTER : Action.LOAD_MODEL;
		this.steps.add(new Step(engine.state.id(), action, model.id, model.spec.bytes(), reason));
		this.fleet.plan(engine, model);
		this.moves.loaded(engine, model);
		if (model.isAdapter()) {
			this.budget.takeAdapter();
		}
		else {
			this.budget.takeModel();
		}
		model.reason = "load on " + engine.state.id() + ": " + reason;
	}

	/**
	 * Plans an unload; the caller has checked the rule. Where adapters on the engine need
	 * the model, only they are unloaded now, and the model follows in a later round.
	 * @param replica the copy
	 * @param reason why, for explanations
	 */
	void unload(Replica replica, String reason) {
		boolean isNeeded = unloadAdapters(replica, reason);
		replica.remove();
		replica.model.reason = "unload from " + replica.engine.state.id() + ": " + reason;
		if (isNeeded) {
			return;
		}
		Action action = this.moves.isAdapter(replica.model) ? Action.UNLOAD_ADAPTER : Action.UNLOAD_MODEL;
		this.steps.add(new Step(replica.engine.state.id(), action, replica.model.id, replica.bytes, reason));
	}

	private boolean unloadAdapters(Replica base, String reason) {
		boolean isNeeded = false;
		for (Replica replica : base.engine.replicas) {
			if (!isAdapterOf(replica, base.model)) {
				continue;
			}
			isNeeded = true;
			boolean isFree = replica.model.isIdle || replica.model.readyWithout(replica) > 0;
			if (isFree && Removal.isPossible(replica)) {
				unload(replica, "base " + base.model.id + " is unloaded: " + reason);
			}
		}
		return isNeeded;
	}

	private static boolean isAdapterOf(Replica replica, ModelView base) {
		return replica.model.isAdapter() && replica.model.spec.base().get().equals(base.id);
	}

	/**
	 * Plans a change of role.
	 * @param engine the engine
	 * @param role the new role
	 * @param reason why, for explanations
	 */
	void changeRole(EngineView engine, Role role, String reason) {
		if (this.moves.startRoleChange(engine)) {
			ModelId name = ModelId.of(role.name());
			this.steps.add(new Step(engine.state.id(), Action.CHANGE_ROLE, name, 0, reason));
		}
	}

	/**
	 * Reports something that the plan cannot satisfy.
	 * @param isError whether this is an error rather than a warning
	 * @param model the model
	 * @param message what is wrong and what to do
	 */
	void report(boolean isError, ModelView model, String message) {
		String path = "models." + model.id;
		this.findings
			.add(isError ? Finding.error(SOURCE, 0, path, message) : Finding.warning(SOURCE, 0, path, message));
		if (model.reason.isEmpty()) {
			model.reason = message;
		}
	}

}
