package org.celeryhill.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Chooses the engine for a replica by one scan over the engines. Not thread-safe.
 */
final class EngineChoice {

	/** Score of an engine outside the data centres that hold the model already. */
	private static final double SAME_DATA_CENTRE = 100;

	/** Score of an engine that runs only one phase of a request. */
	private static final double ONE_PHASE = 10;

	/** Weight of filled memory against load when an engine is chosen. */
	private static final double FILL_WEIGHT = 0.5;

	/** Extra cost of removing a needed copy, in multiples of the least gain. */
	private static final double NEEDED_COPY_COST = 1000;

	/** Fleet of the round. */
	private final FleetView fleet;

	EngineChoice(FleetView fleet) {
		this.fleet = fleet;
	}

	/**
	 * Returns the best engine with free memory for a model.
	 * @param model the model
	 * @param headroomBytes memory that must stay free, in bytes
	 * @param isNewDataCentre whether only data centres without the model are allowed
	 * @return the engine, or empty if none has room
	 */
	Optional<EngineView> fitting(ModelView model, long headroomBytes, boolean isNewDataCentre) {
		EngineView best = null;
		double bestScore = Double.MAX_VALUE;
		long bytes = model.spec.bytes() + headroomBytes;
		for (EngineView engine : this.fleet.usable) {
			if (engine.freeBytes < bytes || !engine.isLoadAllowed(model)) {
				continue;
			}
			boolean isKnown = model.isExpectedIn(engine.state.dataCentre());
			if (isKnown && isNewDataCentre) {
				continue;
			}
			double score = score(engine) + ((isKnown && !model.isSpread()) ? SAME_DATA_CENTRE : 0);
			if (score < bestScore) {
				best = engine;
				bestScore = score;
			}
		}
		return Optional.ofNullable(best);
	}

	private double score(EngineView engine) {
		double load = (this.fleet.meanLoad > 0) ? engine.load / this.fleet.meanLoad : 0;
		double filled = 1 - (double) engine.freeBytes / engine.state.report().memoryBytes();
		boolean isMixed = engine.state.report().role() == org.celeryhill.port.EngineReport.Role.MIXED;
		return load + FILL_WEIGHT * filled + (isMixed ? 0 : ONE_PHASE);
	}

	/**
	 * Returns the engine on which room for a model costs least.
	 * @param model the model
	 * @param rule the rule for removals
	 * @param isNewDataCentre whether only data centres without the model are allowed
	 * @param filter further condition on the copies to remove
	 * @return the engine and the copies to remove, or empty if no engine can make room
	 */
	Optional<Room> room(ModelView model, Removal rule, boolean isNewDataCentre, Predicate<Replica> filter) {
		Room best = null;
		for (EngineView engine : this.fleet.usable) {
			if (engine.reservedFor != null || !engine.isLoadAllowed(model)
					|| engine.usableBytes() < model.spec.bytes()) {
				continue;
			}
			boolean isKnown = model.isExpectedIn(engine.state.dataCentre());
			if (isKnown && isNewDataCentre) {
				continue;
			}
			Optional<Room> room = roomOn(engine, model.spec.bytes(), rule, filter);
			if (room.isPresent() && (best == null || room.get().cost() < best.cost())) {
				best = room.get();
			}
		}
		return Optional.ofNullable(best);
	}

	/**
	 * Returns the copies to remove from an engine so that a size fits.
	 * @param engine the engine
	 * @param bytes the size in bytes
	 * @param rule the rule for removals
	 * @param filter further condition on the copies to remove
	 * @return the copies, or empty if the rule does not allow enough of them
	 */
	Optional<Room> roomOn(EngineView engine, long bytes, Removal rule, Predicate<Replica> filter) {
		long missing = bytes - engine.freeBytes - engine.goingBytes();
		if (missing <= 0) {
			return Optional.of(new Room(engine, List.of(), 0));
		}
		List<Replica> candidates = new ArrayList<>();
		long removable = 0;
		for (Replica replica : engine.replicas) {
			if (rule.isAllowed(replica) && filter.test(replica)) {
				candidates.add(replica);
				removable += replica.bytes;
			}
		}
		return (removable < missing) ? Optional.empty() : Optional.of(cheapest(engine, candidates, missing));
	}

	private Room cheapest(EngineView engine, List<Replica> candidates, long missing) {
		candidates.sort(Comparator.comparingDouble((replica) -> cost(replica) / Math.max(1, replica.bytes)));
		List<Replica> removals = new ArrayList<>();
		long left = missing;
		double cost = 0;
		for (Replica replica : candidates) {
			if (left <= 0) {
				break;
			}
			removals.add(replica);
			cost += cost(replica);
			left -= replica.bytes;
		}
		return new Room(engine, removals, cost);
	}

	private double cost(Replica replica) {
		boolean isSpare = Removal.SPARE.isAllowed(replica);
		double needed = isSpare ? 0 : NEEDED_COPY_COST * (1 + this.fleet.gain.minGain());
		return needed + this.fleet.gain.ofRemoving(replica.model);
	}

	/**
	 * Returns the engine that can be cleared for a model by moving the fewest bytes of
	 * sole copies to other engines.
	 * @param model the model that fits nowhere
	 * @return the engine, or empty if no engine can be cleared
	 */
	Optional<EngineView> clearable(ModelView model) {
		EngineView best = null;
		long bestBytes = Long.MAX_VALUE;
		for (EngineView engine : this.fleet.usable) {
			if (engine.reservedFor != null || !engine.isLoadAllowed(model)
					|| engine.usableBytes() < model.spec.bytes()) {
				continue;
			}
			long bytes = blockedBytes(engine, model.spec.bytes());
			if (bytes < bestBytes && isMovable(engine, model.spec.bytes())) {
				best = engine;
				bestBytes = bytes;
			}
		}
		return Optional.ofNullable(best);
	}

	private long blockedBytes(EngineView engine, long bytes) {
		long blocked = 0;
		for (Replica replica : blockers(engine, bytes)) {
			blocked += replica.bytes;
		}
		return blocked;
	}

	private boolean isMovable(EngineView engine, long bytes) {
		for (Replica replica : blockers(engine, bytes)) {
			if (!replica.model.isListed() || !isPlaceableElsewhere(engine, replica.model)) {
				return false;
			}
		}
		return true;
	}

	private boolean isPlaceableElsewhere(EngineView engine, ModelView model) {
		for (EngineView other : this.fleet.usable) {
			if (other != engine && other.freeBytes >= model.spec.bytes() && other.isLoadAllowed(model)) {
				return true;
			}
		}
		return false;
	}

	/**
	 * Returns the sole copies that must get a copy elsewhere before a size fits on an
	 * engine.
	 * @param engine the engine
	 * @param bytes the size in bytes
	 * @return the copies, smallest first
	 */
	List<Replica> blockers(EngineView engine, long bytes) {
		long missing = bytes - engine.freeBytes - engine.goingBytes();
		List<Replica> sole = new ArrayList<>();
		for (Replica replica : engine.replicas) {
			if (Removal.LAST_RESORT.isAllowed(replica)) {
				missing -= replica.bytes;
			}
			else if (replica.isServing() && !replica.model.isAdapter()) {
				sole.add(replica);
			}
		}
		sole.sort(Comparator.comparingLong((replica) -> replica.bytes));
		List<Replica> blockers = new ArrayList<>();
		for (Replica replica : sole) {
			if (missing <= 0) {
				break;
			}
			blockers.add(replica);
			missing -= replica.bytes;
		}
		return blockers;
	}

	/**
	 * Room for a model on an engine.
	 *
	 * @param engine the engine
	 * @param removals the copies to remove first
	 * @param cost the value per second that the removals lose
	 */
	record Room(EngineView engine, List<Replica> removals, double cost) {

	}

}
