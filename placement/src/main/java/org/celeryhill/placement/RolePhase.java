package org.celeryhill.placement;

import org.celeryhill.port.EngineReport.Role;

/**
 * Plans changes of role. Only changes to {@link Role#MIXED} are planned, since such an
 * engine runs every phase and the change cannot take the last starting engine from a
 * model. Not thread-safe.
 */
final class RolePhase {

	/** Round that is being planned. */
	private final Round round;

	RolePhase(Round round) {
		this.round = round;
	}

	/** Plans the role changes of a round. */
	void run() {
		for (ModelView model : this.round.fleet.models.values()) {
			if (model.need > 0 && !isComplete(model)) {
				makeMixed(model);
			}
		}
	}

	private static boolean isComplete(ModelView model) {
		boolean starts = false;
		boolean decodes = false;
		boolean isAny = false;
		for (Replica replica : model.replicas) {
			if (replica.isServing() && replica.engine.isUsable) {
				Role role = replica.engine.state.report().role();
				isAny = true;
				starts |= role != Role.DECODE;
				decodes |= role != Role.PREFILL;
			}
		}
		return !isAny || (starts && decodes);
	}

	private void makeMixed(ModelView model) {
		for (Replica replica : model.replicas) {
			if (replica.isServing() && replica.engine.isUsable) {
				this.round.changeRole(replica.engine, Role.MIXED, model.id + " has no engine for one of its phases");
				return;
			}
		}
	}

}
