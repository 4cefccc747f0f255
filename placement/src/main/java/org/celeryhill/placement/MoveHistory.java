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
 * State that the planner keeps between rounds about its own moves: reservations of
 * engines on which memory is being freed, recent loads and role changes, models that are
 * no longer listed, and the budget of optional moves. Not thread-safe.
 */
final class MoveHistory {

	/** Nanoseconds in a second. */
	private static final long NANOS_PER_SECOND = 1_000_000_000L;

	/** Time after which a reservation expires, in nanoseconds. */
	private static final long RESERVATION_TIMEOUT_NANOS = 120 * NANOS_PER_SECOND;

	/** Time for which a new replica is not replaced for a small gain, in nanoseconds. */
	private static final long RECENT_LOAD_NANOS = 300 * NANOS_PER_SECOND;

	/** Time after which a role change without effect is retried, in nanoseconds. */
	private static final long ROLE_CHANGE_RETRY_NANOS = 30 * NANOS_PER_SECOND;

	/** Time for which a model must be unlisted before it is unloaded, in nanoseconds. */
	private static final long UNLISTED_DELAY_NANOS = 30 * NANOS_PER_SECOND;

	/**
	 * Optional moves per engine and hour. Half of the limit of one move per accelerator
	 * and hour, which leaves the other half for moves with other reasons.
	 */
	private static final double OPTIONAL_MOVES_PER_ENGINE_HOUR = 0.5;

	/** Reservations by engine. */
	private final Map<BackendServerId, Reservation> reservations = new HashMap<>();

	/** Monotonic time of each recent load, in nanoseconds. */
	private final Map<ReplicaKey, Long> loadTimes = new HashMap<>();

	/** Monotonic time of each recent role change, in nanoseconds. */
	private final Map<BackendServerId, Long> roleChangeTimes = new HashMap<>();

	/** Monotonic time at which each model was first seen unlisted, in nanoseconds. */
	private final Map<ModelId, Long> unlistedSince = new HashMap<>();

	/** Listed or resident models that this or an earlier revision lists as adapters. */
	private final Set<ModelId> knownAdapters = new HashSet<>();

	/** Rate limit of optional moves. */
	private final TokenBucket optionalMoves = new TokenBucket(1);

	/** Monotonic time of the current round, in nanoseconds. */
	private long nowNanos;

	/**
	 * Starts a round: drops expired entries and marks the reserved engines.
	 * @param fleet the fleet of the round, whose engines are marked
	 * @param now the monotonic time in nanoseconds
	 */
	void startRound(FleetView fleet, long now) {
		this.nowNanos = now;
		int engines = fleet.usableEngines.size();
		this.optionalMoves.refill(OPTIONAL_MOVES_PER_ENGINE_HOUR * engines / 3600, Math.max(1, engines / 8.0), now);
		this.loadTimes.values().removeIf((since) -> now - since > RECENT_LOAD_NANOS);
		this.roleChangeTimes.values().removeIf((since) -> now - since > ROLE_CHANGE_RETRY_NANOS);
		this.reservations.entrySet().removeIf((entry) -> isExpired(fleet, entry.getKey(), entry.getValue()));
		this.reservations
			.forEach((id, reservation) -> fleet.engines.get(id).reservedFor = fleet.models.get(reservation.model()));
		updateUnlisted(fleet);
	}

	private boolean isExpired(FleetView fleet, BackendServerId id, Reservation reservation) {
		EngineView engine = fleet.engines.get(id);
		ModelView model = fleet.models.get(reservation.model());
		if (engine == null || !engine.isUsable || model == null || !model.isListed()) {
			return true;
		}
		boolean isDone = engine.findReplica(reservation.model()) != null;
		boolean isNoLongerNeeded = reservation.isUrgent() && model.expected() >= Math.max(1, model.requiredReplicas);
		return isDone || isNoLongerNeeded || this.nowNanos - reservation.createdNanos() > RESERVATION_TIMEOUT_NANOS;
	}

	private void updateUnlisted(FleetView fleet) {
		this.unlistedSince.keySet().removeIf((id) -> isListedOrAbsent(fleet.models.get(id)));
		this.knownAdapters.retainAll(fleet.models.keySet());
		for (ModelView model : fleet.models.values()) {
			if (!model.isListed()) {
				this.unlistedSince.putIfAbsent(model.id, this.nowNanos);
			}
			else if (model.isAdapter()) {
				this.knownAdapters.add(model.id);
			}
		}
	}

	private static boolean isListedOrAbsent(ModelView model) {
		return model == null || model.isListed();
	}

	/**
	 * Returns whether a model has been unlisted for long enough to be unloaded. The delay
	 * keeps a planner that has just started with an old revision from unloading a model
	 * that a newer revision lists.
	 * @param model the model, listed or not
	 * @return true if so
	 */
	boolean isUnlistedLongEnough(ModelView model) {
		Long since = this.unlistedSince.get(model.id);
		return since != null && this.nowNanos - since >= UNLISTED_DELAY_NANOS;
	}

	/**
	 * Returns whether a model is known to be an adapter. Engine reports do not
	 * distinguish adapters from models, so an unlisted adapter is recognised by an
	 * earlier revision or by a listed adapter of the same family.
	 * @param model the model, listed or not
	 * @return true if so
	 */
	boolean isAdapter(ModelView model) {
		return this.knownAdapters.contains(model.id) || (model.successor != null && model.successor.isAdapter());
	}

	/**
	 * Reserves an engine for a model while memory is being freed there.
	 * @param engine the engine to reserve
	 * @param model the model to load once its memory is free
	 * @param isUrgent whether the model lacks a required replica
	 */
	void reserve(EngineView engine, ModelView model, boolean isUrgent) {
		this.reservations.put(engine.state.id(), new Reservation(model.id, this.nowNanos, isUrgent));
		engine.reservedFor = model;
	}

	/**
	 * Returns the reserved engines.
	 * @param fleet the fleet of the round
	 * @return the engines on which memory is being freed
	 */
	List<EngineView> reservedEngines(FleetView fleet) {
		List<EngineView> engines = new ArrayList<>();
		this.reservations.keySet().forEach((id) -> engines.add(fleet.engines.get(id)));
		return engines;
	}

	/**
	 * Returns whether an engine is reserved for a model that lacks a required replica.
	 * @param engine the engine, reserved or not
	 * @return true if so
	 */
	boolean isUrgentReservation(EngineView engine) {
		Reservation reservation = this.reservations.get(engine.state.id());
		return reservation != null && reservation.isUrgent();
	}

	/**
	 * Returns whether any engine is reserved for a model.
	 * @param model the model that waits for memory
	 * @return true if so
	 */
	boolean hasReservationFor(ModelView model) {
		for (Reservation reservation : this.reservations.values()) {
			if (reservation.model().equals(model.id)) {
				return true;
			}
		}
		return false;
	}

	/**
	 * Returns the number of reserved engines.
	 * @return the number of reservations
	 */
	int reservationCount() {
		return this.reservations.size();
	}

	/**
	 * Records a planned load and ends the reservation that it fulfils.
	 * @param engine the engine that loads the model
	 * @param model the model that is loaded
	 */
	void recordLoad(EngineView engine, ModelView model) {
		this.loadTimes.put(new ReplicaKey(engine.state.id(), model.id), this.nowNanos);
		Reservation reservation = this.reservations.get(engine.state.id());
		if (reservation != null && reservation.model().equals(model.id)) {
			this.reservations.remove(engine.state.id());
			engine.reservedFor = null;
		}
	}

	/**
	 * Returns whether a replica was loaded too recently to be replaced for a small gain.
	 * @param replica the replica that would be unloaded
	 * @return true if so
	 */
	boolean isRecentlyLoaded(Replica replica) {
		return this.loadTimes.containsKey(new ReplicaKey(replica.engine.state.id(), replica.model.id));
	}

	/**
	 * Returns whether the rate limit allows an optional move now.
	 * @return true if so
	 */
	boolean isOptionalMoveAllowed() {
		return this.optionalMoves.isAvailable();
	}

	/** Deducts one optional move from the rate limit. */
	void consumeOptionalMove() {
		this.optionalMoves.consume();
	}

	/**
	 * Records a role change unless one was planned recently.
	 * @param engine the engine whose role is to change
	 * @return true if the role change may be planned now
	 */
	boolean tryStartRoleChange(EngineView engine) {
		return this.roleChangeTimes.putIfAbsent(engine.state.id(), this.nowNanos) == null;
	}

	/**
	 * Reservation of an engine for a model.
	 *
	 * @param model the model to load
	 * @param createdNanos the monotonic time of the reservation, in nanoseconds
	 * @param isUrgent whether the model lacks a required replica
	 */
	private record Reservation(ModelId model, long createdNanos, boolean isUrgent) {

	}

	/**
	 * Key of a replica.
	 *
	 * @param engine the engine that holds the replica
	 * @param model the model of the replica
	 */
	private record ReplicaKey(BackendServerId engine, ModelId model) {

	}

}
