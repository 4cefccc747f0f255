package org.celeryhill.placement;

/**
 * Plans the unloads that do not serve to free memory for another model: replicas on
 * draining engines, models that the revision no longer lists, and replicas above the
 * maximum of a model. Not thread-safe.
 */
final class UnloadPhase {

	/** Round that is being planned. */
	private final PlanningRound round;

	UnloadPhase(PlanningRound round) {
		this.round = round;
	}

	/** Plans the unloads of a round. */
	void run() {
		for (EngineView engine : this.round.fleet.engines.values()) {
			if (engine.isDraining() && engine.isIdle()) {
				unloadReplaced(engine);
			}
		}
		for (ModelView model : this.round.fleet.models.values()) {
			if (!model.isListed()) {
				unloadUnlisted(model);
			}
			else if (!model.isAdapter() && model.ready() > model.spec.maxReplicas()) {
				unloadExcess(model);
			}
		}
	}

	// Only called for idle engines, as an unload must not interrupt a request.
	private void unloadReplaced(EngineView engine) {
		for (Replica replica : engine.replicas) {
			if (UnloadRule.isUnloadPossible(replica) && isReplaced(replica.model)) {
				this.round.unload(replica, "the engine is draining and idle");
			}
		}
	}

	private static boolean isReplaced(ModelView model) {
		if (!model.isListed()) {
			return model.successor == null || model.successor.ready() > 0;
		}
		if (model.isAdapter()) {
			return model.isIdle || model.ready() > 0;
		}
		boolean hasRequiredReplicas = model.ready() >= model.requiredReplicas
				&& (model.requiredReplicas < 2 || model.isSpread());
		return model.ready() >= 1 && (hasRequiredReplicas || model.lacksMemory);
	}

	private void unloadUnlisted(ModelView model) {
		if (!this.round.moveHistory.isUnlistedLongEnough(model) || model.waiting > 0 || !isSuccessorReady(model)) {
			return;
		}
		for (Replica replica : model.replicas) {
			if (UnloadRule.isUnloadPossible(replica)) {
				this.round.unload(replica, "the revision no longer lists the model");
			}
		}
	}

	private static boolean isSuccessorReady(ModelView model) {
		ModelView successor = model.successor;
		if (successor == null || successor.isAdapter()) {
			return true;
		}
		return successor.ready() >= successor.requiredReplicas || (successor.ready() >= 1 && successor.lacksMemory);
	}

	private void unloadExcess(ModelView model) {
		Replica mostLoaded = null;
		for (Replica replica : model.replicas) {
			boolean isMoreLoaded = mostLoaded == null || replica.engine.load > mostLoaded.engine.load;
			if (replica.engine.isUsable && isMoreLoaded && UnloadRule.SPARE.isAllowed(replica)) {
				mostLoaded = replica;
			}
		}
		if (mostLoaded != null) {
			this.round.unload(mostLoaded, "the model has more than " + model.spec.maxReplicas() + " replicas");
		}
	}

}
