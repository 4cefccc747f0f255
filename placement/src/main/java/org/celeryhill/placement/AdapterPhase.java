package org.celeryhill.placement;

import java.util.Optional;

/**
 * Plans the loads of adapters next to ready replicas of their base: those with demand
 * first, then one or two replicas of every other adapter while memory is free, so that
 * the first request for it does not wait for a load. Not thread-safe.
 */
final class AdapterPhase {

	/**
	 * Replicas of an adapter without demand that are kept loaded while memory is free.
	 */
	private static final int IDLE_REPLICAS = 2;

	/** Round that is being planned. */
	private final Round round;

	AdapterPhase(Round round) {
		this.round = round;
	}

	/** Plans the adapter loads of a round. */
	void run() {
		this.round.fleet.models.values()
			.stream()
			.filter((model) -> model.isAdapter() && !model.isIdle)
			.sorted((one, other) -> Double.compare(other.demand.value() + other.waiting,
					one.demand.value() + one.waiting))
			.forEach(this::place);
		for (int wanted = 1; wanted <= IDLE_REPLICAS; wanted++) {
			keepLoaded(wanted);
		}
	}

	private void keepLoaded(int wanted) {
		for (ModelView adapter : this.round.fleet.models.values()) {
			if (!adapter.isAdapter() || !adapter.isIdle || !adapter.isListed()) {
				continue;
			}
			ModelView base = this.round.fleet.models.get(adapter.spec.base().get());
			if (base == null || count(adapter, base) >= Math.min(wanted, base.ready())) {
				continue;
			}
			if (!this.round.budget.isAdapterAllowed()) {
				return;
			}
			fitting(adapter, base)
				.ifPresent((engine) -> this.round.load(engine, adapter, "kept loaded for its first request"));
		}
	}

	private void place(ModelView adapter) {
		ModelView base = this.round.fleet.models.get(adapter.spec.base().get());
		if (base == null || !base.isListed()) {
			this.round.report(true, adapter, "its base " + adapter.spec.base().get() + " is not listed; list it");
			return;
		}
		int have = count(adapter, base);
		int wanted = wanted(adapter, base);
		while (have < wanted && this.round.budget.isAdapterAllowed()) {
			Optional<EngineView> engine = fitting(adapter, base);
			if (engine.isEmpty()) {
				makeRoom(adapter, base, have);
				return;
			}
			this.round.load(engine.get(), adapter, "it has demand and " + have + " replicas");
			have++;
		}
	}

	private int wanted(ModelView adapter, ModelView base) {
		double share = this.round.fleet.gain.shareTokens();
		int byLoad = (share > 0) ? (int) Math.ceil(adapter.demand.tokens() / share) : 1;
		int most = Math.min(adapter.spec.maxReplicas(), base.ready());
		return Math.min(most, Math.max(1, byLoad));
	}

	private static int count(ModelView adapter, ModelView base) {
		int count = 0;
		for (Replica replica : adapter.replicas) {
			Replica below = replica.engine.replica(base.id);
			count += (replica.isExpected() && below != null && below.isServing()) ? 1 : 0;
		}
		return count;
	}

	private Optional<EngineView> fitting(ModelView adapter, ModelView base) {
		EngineView best = null;
		for (Replica replica : base.replicas) {
			EngineView engine = replica.engine;
			if (!isHost(replica, adapter) || engine.freeBytes < adapter.spec.bytes()) {
				continue;
			}
			if (best == null || engine.load < best.load) {
				best = engine;
			}
		}
		return Optional.ofNullable(best);
	}

	private static boolean isHost(Replica base, ModelView adapter) {
		return base.isDependable() && base.engine.reservedFor == null && base.engine.isLoadAllowed(adapter);
	}

	private void makeRoom(ModelView adapter, ModelView base, int have) {
		EngineChoice.Room best = null;
		for (Replica replica : base.replicas) {
			if (!isHost(replica, adapter)) {
				continue;
			}
			// Further copies of an adapter replace only other adapters, not models.
			Optional<EngineChoice.Room> room = this.round.choice.roomOn(replica.engine, adapter.spec.bytes(),
					Removal.SPARE, (victim) -> victim.model != base && (have == 0 || victim.model.isAdapter()));
			if (room.isPresent() && (best == null || room.get().cost() < best.cost())) {
				best = room.get();
			}
		}
		if (best != null) {
			best.removals().forEach((victim) -> this.round.unload(victim, "room for adapter " + adapter.id));
		}
		else if (have == 0 && base.ready() > 0) {
			this.round.report(false, adapter, "no engine with its base has room for it; add memory");
		}
	}

}
