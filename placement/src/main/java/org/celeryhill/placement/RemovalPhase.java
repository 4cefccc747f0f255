package org.celeryhill.placement;

/**
 * Plans unloads that are not made for room: copies on draining engines, models that the
 * revision no longer lists, and copies above the most replicas. Not thread-safe.
 */
final class RemovalPhase {

	/** Round that is being planned. */
	private final Round round;

	RemovalPhase(Round round) {
		this.round = round;
	}

	/** Plans the unloads of a round. */
	void run() {
		for (EngineView engine : this.round.fleet.engines.values()) {
			if (engine.isDraining() && engine.isIdle()) {
				empty(engine);
			}
		}
		for (ModelView model : this.round.fleet.models.values()) {
			if (!model.isListed()) {
				removeUnlisted(model);
			}
			else if (!model.isAdapter() && model.ready() > model.spec.maxReplicas()) {
				removeExcess(model);
			}
		}
	}

	// An unload must not interrupt a request, so only an idle engine is emptied.
	private void empty(EngineView engine) {
		for (Replica replica : engine.replicas) {
			if (Removal.isPossible(replica) && isReplaced(replica.model)) {
				this.round.unload(replica, "the engine leaves and is idle");
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
		boolean isSafe = model.ready() >= model.need && (model.need < 2 || model.isSpread());
		return model.ready() >= 1 && (isSafe || model.isBlocked);
	}

	private void removeUnlisted(ModelView model) {
		if (!this.round.moves.isUnlistedLongEnough(model) || model.waiting > 0 || !isSucceeded(model)) {
			return;
		}
		for (Replica replica : model.replicas) {
			if (Removal.isPossible(replica)) {
				this.round.unload(replica, "the revision no longer lists it");
			}
		}
	}

	private static boolean isSucceeded(ModelView model) {
		ModelView successor = model.successor;
		if (successor == null || successor.isAdapter()) {
			return true;
		}
		return successor.ready() >= successor.need || (successor.ready() >= 1 && successor.isBlocked);
	}

	private void removeExcess(ModelView model) {
		Replica worst = null;
		for (Replica replica : model.replicas) {
			boolean isWorse = worst == null || replica.engine.load > worst.engine.load;
			if (replica.engine.isUsable && isWorse && Removal.SPARE.isAllowed(replica)) {
				worst = replica;
			}
		}
		if (worst != null) {
			this.round.unload(worst, "it has more than " + model.spec.maxReplicas() + " replicas");
		}
	}

}
