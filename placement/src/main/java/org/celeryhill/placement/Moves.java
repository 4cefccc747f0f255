package org.celeryhill.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.celeryhill.base.BackendServerId;
import org.celeryhill.base.ModelId;

/**
 * What the planner remembers between rounds about its own moves: room that is being made
 * on an engine, loads planned recently, and the budget of optional moves. Not
 * thread-safe.
 */
final class Moves {

	/** Nanoseconds in a second. */
	private static final long SECOND = 1_000_000_000L;

	/** Time for which room is kept for a model, in nanoseconds. */
	private static final long ROOM_NANOS = 120 * SECOND;

	/** Time for which a new copy is not removed for a small gain, in nanoseconds. */
	private static final long SETTLE_NANOS = 300 * SECOND;

	/** Time after which an unanswered role change is planned again, in nanoseconds. */
	private static final long ROLE_NANOS = 30 * SECOND;

	/** Time for which a model must be unlisted before it is removed, in nanoseconds. */
	private static final long UNLISTED_NANOS = 30 * SECOND;

	/**
	 * Optional moves per engine and hour. Half of the limit of one move per accelerator
	 * and hour, so that moves for other reasons fit below the limit as well.
	 */
	private static final double OPTIONAL_PER_ENGINE_HOUR = 0.5;

	/** Rooms by engine. */
	private final Map<BackendServerId, Room> rooms = new HashMap<>();

	/** Monotonic time of recent loads, in nanoseconds. */
	private final Map<Copy, Long> loads = new HashMap<>();

	/** Monotonic time of recent role changes, in nanoseconds. */
	private final Map<BackendServerId, Long> roleChanges = new HashMap<>();

	/** Monotonic time at which a resident model was first seen unlisted. */
	private final Map<ModelId, Long> unlisted = new HashMap<>();

	/** Models that were listed as adapters; still known after they are unlisted. */
	private final Set<ModelId> adapters = new HashSet<>();

	/** Budget of optional moves. */
	private final TokenBucket optional = new TokenBucket(1);

	/** Monotonic time of the round, in nanoseconds. */
	private long nowNanos;

	/**
	 * Starts a round: forgets what is over and applies rooms to the engines.
	 * @param fleet the fleet of the round
	 * @param now the monotonic time in nanoseconds
	 */
	void startRound(FleetView fleet, long now) {
		this.nowNanos = now;
		int engines = fleet.usable.size();
		this.optional.refill(OPTIONAL_PER_ENGINE_HOUR * engines / 3600, Math.max(1, engines / 8.0), now);
		this.loads.values().removeIf((since) -> now - since > SETTLE_NANOS);
		this.roleChanges.values().removeIf((since) -> now - since > ROLE_NANOS);
		this.rooms.entrySet().removeIf((entry) -> isOver(fleet, entry.getKey(), entry.getValue()));
		this.rooms.forEach((id, room) -> fleet.engines.get(id).reservedFor = fleet.models.get(room.model()));
		noteUnlisted(fleet);
	}

	private boolean isOver(FleetView fleet, BackendServerId id, Room room) {
		EngineView engine = fleet.engines.get(id);
		ModelView model = fleet.models.get(room.model());
		if (engine == null || !engine.isUsable || model == null || !model.isListed()) {
			return true;
		}
		boolean isDone = engine.replica(room.model()) != null;
		boolean isNeedless = room.isUrgent() && model.expected() >= Math.max(1, model.need);
		return isDone || isNeedless || this.nowNanos - room.since() > ROOM_NANOS;
	}

	private void noteUnlisted(FleetView fleet) {
		this.unlisted.keySet().removeIf((id) -> isListedOrGone(fleet.models.get(id)));
		this.adapters.retainAll(fleet.models.keySet());
		for (ModelView model : fleet.models.values()) {
			if (!model.isListed()) {
				this.unlisted.putIfAbsent(model.id, this.nowNanos);
			}
			else if (model.isAdapter()) {
				this.adapters.add(model.id);
			}
		}
	}

	private static boolean isListedOrGone(ModelView model) {
		return model == null || model.isListed();
	}

	/**
	 * Returns whether a model has been unlisted for long enough to remove it without a
	 * successor. The delay keeps a planner that has just started with an old revision
	 * from removing a model that a newer revision lists.
	 * @param model the model
	 * @return true if so
	 */
	boolean isUnlistedLongEnough(ModelView model) {
		Long since = this.unlisted.get(model.id);
		return since != null && this.nowNanos - since >= UNLISTED_NANOS;
	}

	/**
	 * Returns whether a model is an adapter, as far as known: reports do not tell
	 * adapters from models, so an unlisted adapter is recognised by an earlier revision
	 * or by a listed adapter of the same family.
	 * @param model the model
	 * @return true if so
	 */
	boolean isAdapter(ModelView model) {
		return this.adapters.contains(model.id) || (model.successor != null && model.successor.isAdapter());
	}

	/**
	 * Keeps an engine's memory for a model.
	 * @param engine the engine
	 * @param model the model
	 * @param isUrgent whether the model lacks a needed copy
	 */
	void reserve(EngineView engine, ModelView model, boolean isUrgent) {
		this.rooms.put(engine.state.id(), new Room(model.id, this.nowNanos, isUrgent));
		engine.reservedFor = model;
	}

	/**
	 * Returns the engines on which room is being made.
	 * @param fleet the fleet of the round
	 * @return the engines on which room is being made
	 */
	List<EngineView> reserved(FleetView fleet) {
		List<EngineView> engines = new ArrayList<>();
		this.rooms.keySet().forEach((id) -> engines.add(fleet.engines.get(id)));
		return engines;
	}

	/**
	 * Returns whether the room on an engine is for a model that lacks a needed copy.
	 * @param engine the engine
	 * @return true if so
	 */
	boolean isUrgentRoom(EngineView engine) {
		Room room = this.rooms.get(engine.state.id());
		return room != null && room.isUrgent();
	}

	/**
	 * Returns whether room is being made for a model anywhere.
	 * @param model the model
	 * @return true if so
	 */
	boolean isReservedFor(ModelView model) {
		for (Room room : this.rooms.values()) {
			if (room.model().equals(model.id)) {
				return true;
			}
		}
		return false;
	}

	/**
	 * Returns the number of engines on which room is being made.
	 * @return the number of engines on which room is being made
	 */
	int reservedCount() {
		return this.rooms.size();
	}

	/**
	 * Records that a load was planned.
	 * @param engine the engine
	 * @param model the model
	 */
	void loaded(EngineView engine, ModelView model) {
		this.loads.put(new Copy(engine.state.id(), model.id), this.nowNanos);
		Room room = this.rooms.get(engine.state.id());
		if (room != null && room.model().equals(model.id)) {
			this.rooms.remove(engine.state.id());
			engine.reservedFor = null;
		}
	}

	/**
	 * Returns whether a copy was loaded too recently to be removed for a small gain.
	 * @param replica the copy
	 * @return true if so
	 */
	boolean isSettling(Replica replica) {
		return this.loads.containsKey(new Copy(replica.engine.state.id(), replica.model.id));
	}

	/**
	 * Returns whether an optional move is within its budget.
	 * @return true if so
	 */
	boolean isOptionalAllowed() {
		return this.optional.isAvailable();
	}

	/** Takes the budget of one optional move. */
	void takeOptional() {
		this.optional.take();
	}

	/**
	 * Returns whether a role change may be planned, and records it if so.
	 * @param engine the engine
	 * @return true if so
	 */
	boolean startRoleChange(EngineView engine) {
		return this.roleChanges.putIfAbsent(engine.state.id(), this.nowNanos) == null;
	}

	/**
	 * Memory kept for a model.
	 *
	 * @param model the model
	 * @param since the monotonic time of the decision, in nanoseconds
	 * @param isUrgent whether the model lacks a needed copy
	 */
	private record Room(ModelId model, long since, boolean isUrgent) {

	}

	/**
	 * One copy of a model.
	 *
	 * @param engine the engine
	 * @param model the model
	 */
	private record Copy(BackendServerId engine, ModelId model) {

	}

}
