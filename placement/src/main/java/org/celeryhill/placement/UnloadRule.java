package org.celeryhill.placement;

/**
 * Rules under which a replica may be unloaded. Each rule assumes that an unload takes
 * effect at once and that only ready replicas on engines that remain in service can take
 * over its requests.
 */
enum UnloadRule {

	/** Allowed if the required ready replicas, spread over data centres, remain. */
	SPARE {

		@Override
		boolean isAllowed(Replica replica) {
			ModelView model = replica.model;
			if (!isUnloadPossible(replica)) {
				return false;
			}
			if (model.isAdapter()) {
				return model.isIdle;
			}
			int otherReady = model.readyWithout(replica);
			if (otherReady < 1 || otherReady < model.requiredReplicas) {
				return false;
			}
			return model.requiredReplicas < 2 || model.isSpreadWithout(replica) || !model.isSpread();
		}

	},

	/** Allowed if one ready replica remains, to free memory for a model without any. */
	LAST_RESORT {

		@Override
		boolean isAllowed(Replica replica) {
			if (replica.model.isAdapter()) {
				return SPARE.isAllowed(replica);
			}
			return isUnloadPossible(replica) && replica.model.readyWithout(replica) >= 1;
		}

	};

	/**
	 * Returns whether a replica may be unloaded.
	 * @param replica the replica to check
	 * @return true if the rule allows it
	 */
	abstract boolean isAllowed(Replica replica);

	/**
	 * Returns whether an unload can be sent: the replica is ready, its engine responds,
	 * and no load or unload of the same model is outstanding there.
	 * @param replica the replica to check
	 * @return true if an unload can be sent
	 */
	static boolean isUnloadPossible(Replica replica) {
		EngineView engine = replica.engine;
		if (!replica.isServing() || engine.state.isSuspect()) {
			return false;
		}
		return !engine.state.pendingLoads().contains(replica.model.id);
	}

}
