package org.celeryhill.placement;

import java.util.Optional;

/**
 * Plans the loads of adapters onto engines with a ready replica of their base model.
 * Adapters with demand come first. While memory is free, every other adapter gets one or
 * two replicas, so that its first request does not wait for a load. Not thread-safe.
 */
final class AdapterLoadPhase {

	/**
	 * Most replicas of an adapter without demand that are loaded while memory is free.
	 */
	private static final int MAX_IDLE_REPLICAS = 2;

	/** Round that is being planned. */
	private final PlanningRound round;

	AdapterLoadPhase(PlanningRound round) {
		this.round = round;
	}

	/** Plans the adapter loads of a round. */
	void run() {
		this.round.fleet.models.values()
			.stream()
			.filter((model) -> model.isAdapter() && !model.isIdle)
			.sorted((one, other) -> Double.compare(other.demand.value() + other.waiting,
					one.demand.value() + one.waiting))
			.forEach(this::loadRequested);
		for (int targetReplicas = 1; targetReplicas <= MAX_IDLE_REPLICAS; targetReplicas++) {
			loadIdleAdapters(targetReplicas);
		}
	}

	private void loadIdleAdapters(int targetReplicas) {
		for (ModelView adapter : this.round.fleet.models.values()) {
			if (!adapter.isAdapter() || !adapter.isIdle || !adapter.isListed()) {
				continue;
			}
			ModelView base = this.round.fleet.models.get(adapter.spec.base().get());
			if (base == null || countWithBase(adapter, base) >= Math.min(targetReplicas, base.ready())) {
				continue;
			}
			if (!this.round.loadBudget.isAdapterLoadAllowed()) {
				return;
			}
			findFittingEngine(adapter, base)
				.ifPresent((engine) -> this.round.load(engine, adapter, "loaded in advance for its first request"));
		}
	}

	private void loadRequested(ModelView adapter) {
		ModelView base = this.round.fleet.models.get(adapter.spec.base().get());
		if (base == null || !base.isListed()) {
			this.round.addFinding(true, adapter,
					"its base model " + adapter.spec.base().get() + " is not listed; add it to the revision");
			return;
		}
		int current = countWithBase(adapter, base);
		int targetReplicas = computeTargetReplicas(adapter, base);
		while (current < targetReplicas && this.round.loadBudget.isAdapterLoadAllowed()) {
			Optional<EngineView> engine = findFittingEngine(adapter, base);
			if (engine.isEmpty()) {
				unloadToFit(adapter, base, current);
				return;
			}
			this.round.load(engine.get(), adapter, "it has demand and " + current + " replicas");
			current++;
		}
	}

	private int computeTargetReplicas(ModelView adapter, ModelView base) {
		double replicaTokens = this.round.fleet.gain.tokensPerReplica();
		int replicasForLoad = (replicaTokens > 0) ? (int) Math.ceil(adapter.demand.tokens() / replicaTokens) : 1;
		int limit = Math.min(adapter.spec.maxReplicas(), base.ready());
		return Math.min(limit, Math.max(1, replicasForLoad));
	}

	private static int countWithBase(ModelView adapter, ModelView base) {
		int count = 0;
		for (Replica replica : adapter.replicas) {
			Replica baseReplica = replica.engine.findReplica(base.id);
			count += (replica.isExpected() && baseReplica != null && baseReplica.isServing()) ? 1 : 0;
		}
		return count;
	}

	private Optional<EngineView> findFittingEngine(ModelView adapter, ModelView base) {
		EngineView best = null;
		for (Replica replica : base.replicas) {
			EngineView engine = replica.engine;
			if (!canHost(replica, adapter) || engine.freeBytes < adapter.spec.bytes()) {
				continue;
			}
			if (best == null || engine.load < best.load) {
				best = engine;
			}
		}
		return Optional.ofNullable(best);
	}

	private static boolean canHost(Replica baseReplica, ModelView adapter) {
		return baseReplica.countsAsReady() && baseReplica.engine.reservedFor == null
				&& baseReplica.engine.isLoadAllowed(adapter);
	}

	private void unloadToFit(ModelView adapter, ModelView base, int current) {
		EngineSelector.EvictionPlan best = null;
		for (Replica replica : base.replicas) {
			if (!canHost(replica, adapter)) {
				continue;
			}
			// Only the first replica of an adapter may displace a model.
			Optional<EngineSelector.EvictionPlan> candidate = this.round.engineSelector.planEviction(replica.engine,
					adapter.spec.bytes(), UnloadRule.SPARE,
					(victim) -> victim.model != base && (current == 0 || victim.model.isAdapter()));
			if (candidate.isPresent() && (best == null || candidate.get().cost() < best.cost())) {
				best = candidate.get();
			}
		}
		if (best != null) {
			best.victims().forEach((victim) -> this.round.unload(victim, "frees memory for adapter " + adapter.id));
		}
		else if (current == 0 && base.ready() > 0) {
			this.round.addFinding(false, adapter, "no engine with its base model has enough memory for it; add memory");
		}
	}

}
