package org.celeryhill.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.celeryhill.base.ModelId;
import org.celeryhill.placement.PlanInput.EngineState;
import org.celeryhill.port.EngineReport;

/**
 * One engine during a planning round. Not thread-safe.
 */
final class EngineView {

	/** State of the engine as given to the round. */
	final EngineState state;

	/** Whether new replicas may be placed here and existing ones be relied on. */
	final boolean isUsable;

	/** Whether requests can be started here. */
	final boolean isStarting;

	/** Copies on this engine, adapters included. */
	final List<Replica> replicas = new ArrayList<>();

	/** Copies by model. */
	private final Map<ModelId, Replica> byModel = new HashMap<>();

	/** Memory that is free after the loads planned so far, in bytes. */
	long freeBytes;

	/** Expected demand, in tokens per second. */
	double load;

	/** Model that room is being made for, or null. */
	ModelView reservedFor;

	EngineView(EngineState state) {
		this.state = state;
		this.isUsable = !state.isLeaving() && !state.isSuspect() && !state.report().isLeaving();
		this.isStarting = EngineReport.Role.STARTING.contains(state.report().role());
		this.freeBytes = state.report().memoryBytes() - state.committedBytes();
	}

	/**
	 * Returns whether the engine is to be emptied and still answers.
	 * @return true if so
	 */
	boolean isDraining() {
		return !this.state.isSuspect() && (this.state.isLeaving() || this.state.report().isLeaving());
	}

	/**
	 * Returns whether the engine decodes or holds no request.
	 * @return true if so
	 */
	boolean isIdle() {
		return this.state.report().running() == 0 && this.state.report().queued() == 0;
	}

	/**
	 * Returns the memory that this system may use, in bytes.
	 * @return the memory that this system may use, in bytes
	 */
	long usableBytes() {
		return this.state.report().memoryBytes() - this.state.report().legacyBytes();
	}

	/**
	 * Adds a copy.
	 * @param replica the copy
	 */
	void add(Replica replica) {
		this.replicas.add(replica);
		this.byModel.put(replica.model.id, replica);
	}

	/**
	 * Returns the copy of a model, or null.
	 * @param model the model
	 * @return the copy of a model, or null
	 */
	Replica replica(ModelId model) {
		return this.byModel.get(model);
	}

	/**
	 * Returns whether a load of the model may be sent here as far as commands allow.
	 * @param model the model
	 * @return true if so
	 */
	boolean isLoadAllowed(ModelView model) {
		return this.isUsable && !this.byModel.containsKey(model.id) && !this.state.pendingUnloads().contains(model.id)
				&& (this.reservedFor == null || this.reservedFor == model);
	}

	/**
	 * Returns the memory that outstanding unloads will free, in bytes.
	 * @return the memory that outstanding unloads will free, in bytes
	 */
	long goingBytes() {
		long bytes = 0;
		for (Replica replica : this.replicas) {
			bytes += replica.isGoing() ? replica.bytes : 0;
		}
		return bytes;
	}

}
