package org.celeryhill.placement;

import org.celeryhill.port.EngineReport.Role;

/**
 * Plans role changes for models whose engines do not run every phase of a request. Only
 * changes to {@link Role#MIXED} are planned: a mixed engine runs every phase, so the
 * change cannot remove the last engine that starts requests for another model. Not
 * thread-safe.
 */
final class RoleChangePhase {

	/** Round that is being planned. */
	private final PlanningRound round;

	RoleChangePhase(PlanningRound round) {
		this.round = round;
	}

	/** Plans the role changes of a round. */
	void run() {
		for (ModelView model : this.round.fleet.models.values()) {
			if (model.requiredReplicas > 0 && !isEveryPhaseServed(model)) {
				changeOneToMixed(model);
			}
		}
	}

	private static boolean isEveryPhaseServed(ModelView model) {
		boolean canPrefill = false;
		boolean canDecode = false;
		boolean hasReplica = false;
		for (Replica replica : model.replicas) {
			if (replica.isServing() && replica.engine.isUsable) {
				Role role = replica.engine.state.report().role();
				hasReplica = true;
				canPrefill |= role != Role.DECODE;
				canDecode |= role != Role.PREFILL;
			}
		}
		return !hasReplica || (canPrefill && canDecode);
	}

	private void changeOneToMixed(ModelView model) {
		for (Replica replica : model.replicas) {
			if (replica.isServing() && replica.engine.isUsable) {
				this.round.changeRole(replica.engine, Role.MIXED, model.id + " lacks an engine for prefill or decode");
				return;
			}
		}
	}

}
