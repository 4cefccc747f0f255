package org.celeryhill.placement;

/**
 * Rules under which a copy may be unloaded. Each rule assumes that an unload takes effect
 * at once and that only copies that are ready on engines that stay can take over.
 */
enum Removal {

	/** Spare copy: all needed ready copies in two data centres stay. */
	SPARE {

		@Override
		boolean isAllowed(Replica replica) {
			ModelView model = replica.model;
			if (!isPossible(replica)) {
				return false;
			}
			if (model.isAdapter()) {
				return model.isIdle;
			}
			int others = model.readyWithout(replica);
			if (others < 1 || others < model.need) {
				return false;
			}
			return model.need < 2 || model.isSpreadWithout(replica) || !model.isSpread();
		}

	},

	/** Copy in the way of a model that cannot be reached: one ready copy stays. */
	LAST_RESORT {

		@Override
		boolean isAllowed(Replica replica) {
			if (replica.model.isAdapter()) {
				return SPARE.isAllowed(replica);
			}
			return isPossible(replica) && replica.model.readyWithout(replica) >= 1;
		}

	};

	/**
	 * Returns whether a copy may be unloaded.
	 * @param replica the copy
	 * @return true if the rule allows it
	 */
	abstract boolean isAllowed(Replica replica);

	/**
	 * Returns whether commands allow an unload: the copy is ready, its engine answers,
	 * and no load or unload of the same model is outstanding there.
	 * @param replica the copy
	 * @return true if an unload can be sent
	 */
	static boolean isPossible(Replica replica) {
		EngineView engine = replica.engine;
		if (!replica.isServing() || engine.state.isSuspect()) {
			return false;
		}
		return !engine.state.pendingLoads().contains(replica.model.id);
	}

}
