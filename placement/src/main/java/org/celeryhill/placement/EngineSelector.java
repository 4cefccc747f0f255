package org.celeryhill.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Selects the engine for a replica with one scan over all usable engines. Not
 * thread-safe.
 */
final class EngineSelector {

	/** Penalty for an engine in a data centre that already holds an unspread model. */
	private static final double SAME_DATA_CENTRE_PENALTY = 100;

	/** Penalty for an engine that runs only prefill or only decode. */
	private static final double NOT_MIXED_PENALTY = 10;

	/** Weight of memory use relative to load in the score; the lowest score is best. */
	private static final double MEMORY_FILL_WEIGHT = 0.5;

	/** Extra cost of unloading a required replica, times one plus the minimum gain. */
	private static final double REQUIRED_REPLICA_COST = 1000;

	/** Fleet of the round. */
	private final FleetView fleet;

	EngineSelector(FleetView fleet) {
		this.fleet = fleet;
	}

	/**
	 * Finds the best engine with enough free memory for a model.
	 * @param model the model or adapter to place, listed
	 * @param headroomBytes the memory that must remain free, in bytes
	 * @param isNewDataCentreRequired whether only data centres without the model are
	 * allowed
	 * @return the engine, or empty if none has enough memory
	 */
	Optional<EngineView> findFittingEngine(ModelView model, long headroomBytes, boolean isNewDataCentreRequired) {
		EngineView best = null;
		double bestScore = Double.MAX_VALUE;
		long bytes = model.spec.bytes() + headroomBytes;
		for (EngineView engine : this.fleet.usableEngines) {
			if (engine.freeBytes < bytes || !engine.isLoadAllowed(model)) {
				continue;
			}
			boolean isInDataCentre = model.isExpectedIn(engine.state.dataCentre());
			if (isInDataCentre && isNewDataCentreRequired) {
				continue;
			}
			double score = computeScore(engine)
					+ ((isInDataCentre && !model.isSpread()) ? SAME_DATA_CENTRE_PENALTY : 0);
			if (score < bestScore) {
				best = engine;
				bestScore = score;
			}
		}
		return Optional.ofNullable(best);
	}

	private double computeScore(EngineView engine) {
		double load = (this.fleet.meanLoad > 0) ? engine.load / this.fleet.meanLoad : 0;
		double memoryFill = 1 - (double) engine.freeBytes / engine.state.report().memoryBytes();
		boolean isMixed = engine.state.report().role() == org.celeryhill.port.EngineReport.Role.MIXED;
		return load + MEMORY_FILL_WEIGHT * memoryFill + (isMixed ? 0 : NOT_MIXED_PENALTY);
	}

	/**
	 * Finds the engine on which freeing the memory for a model costs least.
	 * @param model the model to place, listed
	 * @param rule the rule under which replicas may be unloaded
	 * @param isNewDataCentreRequired whether only data centres without the model are
	 * allowed
	 * @param filter a further condition on the replicas to unload
	 * @return the engine and the replicas to unload, or empty if no engine can free
	 * enough memory
	 */
	Optional<EvictionPlan> findCheapestEviction(ModelView model, UnloadRule rule, boolean isNewDataCentreRequired,
			Predicate<Replica> filter) {
		EvictionPlan best = null;
		for (EngineView engine : this.fleet.usableEngines) {
			if (engine.reservedFor != null || !engine.isLoadAllowed(model)
					|| engine.usableBytes() < model.spec.bytes()) {
				continue;
			}
			boolean isInDataCentre = model.isExpectedIn(engine.state.dataCentre());
			if (isInDataCentre && isNewDataCentreRequired) {
				continue;
			}
			Optional<EvictionPlan> candidate = planEviction(engine, model.spec.bytes(), rule, filter);
			if (candidate.isPresent() && (best == null || candidate.get().cost() < best.cost())) {
				best = candidate.get();
			}
		}
		return Optional.ofNullable(best);
	}

	/**
	 * Selects the replicas to unload from an engine to free memory there.
	 * @param engine the engine on which memory is to be freed
	 * @param bytes the memory that must be free afterwards, in bytes
	 * @param rule the rule under which replicas may be unloaded
	 * @param filter a further condition on the replicas to unload
	 * @return the replicas, or empty if too few of them may be unloaded
	 */
	Optional<EvictionPlan> planEviction(EngineView engine, long bytes, UnloadRule rule, Predicate<Replica> filter) {
		long missingBytes = bytes - engine.freeBytes - engine.pendingUnloadBytes();
		if (missingBytes <= 0) {
			return Optional.of(new EvictionPlan(engine, List.of(), 0));
		}
		List<Replica> candidates = new ArrayList<>();
		long removableBytes = 0;
		for (Replica replica : engine.replicas) {
			if (rule.isAllowed(replica) && filter.test(replica)) {
				candidates.add(replica);
				removableBytes += replica.bytes;
			}
		}
		return (removableBytes < missingBytes) ? Optional.empty()
				: Optional.of(selectVictims(engine, candidates, missingBytes));
	}

	private EvictionPlan selectVictims(EngineView engine, List<Replica> candidates, long missingBytes) {
		candidates
			.sort(Comparator.comparingDouble((replica) -> computeUnloadCost(replica) / Math.max(1, replica.bytes)));
		List<Replica> victims = new ArrayList<>();
		long remainingBytes = missingBytes;
		double cost = 0;
		for (Replica replica : candidates) {
			if (remainingBytes <= 0) {
				break;
			}
			victims.add(replica);
			cost += computeUnloadCost(replica);
			remainingBytes -= replica.bytes;
		}
		return new EvictionPlan(engine, victims, cost);
	}

	private double computeUnloadCost(Replica replica) {
		boolean isSpare = UnloadRule.SPARE.isAllowed(replica);
		double requiredCost = isSpare ? 0 : REQUIRED_REPLICA_COST * (1 + this.fleet.gain.minGain());
		return requiredCost + this.fleet.gain.ofRemoving(replica.model);
	}

	/**
	 * Finds the engine on which a model fits after the fewest bytes of sole replicas have
	 * been moved to other engines.
	 * @param model the model that fits on no engine now
	 * @return the engine, or empty if no engine can be cleared
	 */
	Optional<EngineView> findClearableEngine(ModelView model) {
		EngineView best = null;
		long bestBytes = Long.MAX_VALUE;
		for (EngineView engine : this.fleet.usableEngines) {
			if (engine.reservedFor != null || !engine.isLoadAllowed(model)
					|| engine.usableBytes() < model.spec.bytes()) {
				continue;
			}
			long bytes = sumBlockerBytes(engine, model.spec.bytes());
			if (bytes < bestBytes && canMoveBlockers(engine, model.spec.bytes())) {
				best = engine;
				bestBytes = bytes;
			}
		}
		return Optional.ofNullable(best);
	}

	private long sumBlockerBytes(EngineView engine, long bytes) {
		long total = 0;
		for (Replica replica : findBlockers(engine, bytes)) {
			total += replica.bytes;
		}
		return total;
	}

	private boolean canMoveBlockers(EngineView engine, long bytes) {
		for (Replica replica : findBlockers(engine, bytes)) {
			if (!replica.model.isListed() || !fitsElsewhere(engine, replica.model)) {
				return false;
			}
		}
		return true;
	}

	private boolean fitsElsewhere(EngineView engine, ModelView model) {
		for (EngineView other : this.fleet.usableEngines) {
			if (other != engine && other.freeBytes >= model.spec.bytes() && other.isLoadAllowed(model)) {
				return true;
			}
		}
		return false;
	}

	/**
	 * Finds the sole replicas that need a replica on another engine before enough memory
	 * can be freed on this one.
	 * @param engine the engine on which memory is to be freed
	 * @param bytes the memory to free, in bytes
	 * @return the replicas, smallest first
	 */
	List<Replica> findBlockers(EngineView engine, long bytes) {
		long missingBytes = bytes - engine.freeBytes - engine.pendingUnloadBytes();
		List<Replica> soleReplicas = new ArrayList<>();
		for (Replica replica : engine.replicas) {
			if (UnloadRule.LAST_RESORT.isAllowed(replica)) {
				missingBytes -= replica.bytes;
			}
			else if (replica.isServing() && !replica.model.isAdapter()) {
				soleReplicas.add(replica);
			}
		}
		soleReplicas.sort(Comparator.comparingLong((replica) -> replica.bytes));
		List<Replica> blockers = new ArrayList<>();
		for (Replica replica : soleReplicas) {
			if (missingBytes <= 0) {
				break;
			}
			blockers.add(replica);
			missingBytes -= replica.bytes;
		}
		return blockers;
	}

	/**
	 * Unloads that free memory for a model on an engine.
	 *
	 * @param engine the engine on which memory is freed
	 * @param victims the replicas to unload; empty if outstanding unloads free enough
	 * @param cost the value per second that the unloads lose
	 */
	record EvictionPlan(EngineView engine, List<Replica> victims, double cost) {

	}

}
