package org.celeryhill.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.celeryhill.base.ModelId;
import org.celeryhill.placement.PlanInput.EngineState;
import org.celeryhill.port.EngineReport;

/**
 * Mutable view of one engine during a planning round. Not thread-safe.
 */
final class EngineView {

	/** Observed state of the engine at the start of the round. */
	final EngineState state;

	/** Whether the engine responds and is not draining, so that it may get replicas. */
	final boolean isUsable;

	/** Whether the role of the engine lets it run the first phase of a request. */
	final boolean canStartRequests;

	/** Replicas on this engine, including adapters. */
	final List<Replica> replicas = new ArrayList<>();

	/** Replicas on this engine by model. */
	private final Map<ModelId, Replica> replicasByModel = new HashMap<>();

	/** Free memory after the loads planned so far in this round, in bytes. */
	long freeBytes;

	/** Expected load, in tokens per second. */
	double load;

	/** Model for which memory is being freed on this engine, or null. */
	ModelView reservedFor;

	EngineView(EngineState state) {
		this.state = state;
		this.isUsable = !state.isLeaving() && !state.isSuspect() && !state.report().isLeaving();
		this.canStartRequests = EngineReport.Role.STARTING.contains(state.report().role());
		this.freeBytes = state.report().memoryBytes() - state.committedBytes();
	}

	/**
	 * Returns whether the engine is draining and still responds.
	 * @return true if so
	 */
	boolean isDraining() {
		return !this.state.isSuspect() && (this.state.isLeaving() || this.state.report().isLeaving());
	}

	/**
	 * Returns whether the engine has neither running nor queued requests.
	 * @return true if so
	 */
	boolean isIdle() {
		return this.state.report().running() == 0 && this.state.report().queued() == 0;
	}

	/**
	 * Returns the memory that the legacy serving system leaves for weights.
	 * @return the usable memory in bytes
	 */
	long usableBytes() {
		return this.state.report().memoryBytes() - this.state.report().legacyBytes();
	}

	/**
	 * Adds a replica.
	 * @param replica the replica, of a model that is not on this engine yet
	 */
	void add(Replica replica) {
		this.replicas.add(replica);
		this.replicasByModel.put(replica.model.id, replica);
	}

	/**
	 * Returns the replica of a model on this engine.
	 * @param model the model or adapter
	 * @return the replica, or null if there is none
	 */
	Replica findReplica(ModelId model) {
		return this.replicasByModel.get(model);
	}

	/**
	 * Returns whether a load of a model may be sent to this engine. Memory is not
	 * checked.
	 * @param model the model or adapter to load
	 * @return true if the engine is usable, has no replica or outstanding unload of the
	 * model, and is not reserved for another model
	 */
	boolean isLoadAllowed(ModelView model) {
		return this.isUsable && !this.replicasByModel.containsKey(model.id)
				&& !this.state.pendingUnloads().contains(model.id)
				&& (this.reservedFor == null || this.reservedFor == model);
	}

	/**
	 * Returns the memory that outstanding unloads will free.
	 * @return the memory in bytes
	 */
	long pendingUnloadBytes() {
		long bytes = 0;
		for (Replica replica : this.replicas) {
			bytes += replica.isBeingUnloaded() ? replica.bytes : 0;
		}
		return bytes;
	}

}
