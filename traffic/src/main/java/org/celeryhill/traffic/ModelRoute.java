package org.celeryhill.traffic;

import java.util.ArrayList;
import java.util.List;

import org.celeryhill.base.ModelId;

/**
 * Candidates of one model, or of all calls of a plain service. Not thread-safe.
 */
final class ModelRoute {

	/** Marks that no room is used up. */
	private static final int NONE = Integer.MAX_VALUE;

	/** Model or adapter, null for a plain service. */
	final ModelId model;

	/** Route of the base model, null unless this is an adapter. */
	final ModelRoute base;

	/** Routes of the adapters on this model. */
	final List<ModelRoute> adapters = new ArrayList<>();

	/** Usable backend servers with the model ready, at most the subset of this daemon. */
	BackendState[] candidates = {};

	/** Usable backend servers with the model ready, the whole number. */
	int total;

	/** Whether the candidates must be determined anew. */
	boolean isStale = true;

	/** Queues that wait for room. */
	private final List<FlowQueue> waiting = new ArrayList<>();

	/** Room from which on none is left. */
	private int blockedFrom = NONE;

	/**
	 * Creates a route without candidates.
	 * @param model the model or adapter, null for a plain service
	 * @param base the route of the base model, null unless this is an adapter
	 */
	ModelRoute(ModelId model, ModelRoute base) {
		this.model = model;
		this.base = base;
		if (base != null) {
			base.adapters.add(this);
		}
	}

	/**
	 * Returns whether a room is known to be used up.
	 * @param room the room
	 * @return true until the next change of capacity
	 */
	boolean isBlocked(Room room) {
		return room.ordinal() >= this.blockedFrom || (this.base != null && room.ordinal() >= this.base.blockedFrom);
	}

	/**
	 * Takes note that a queue found no room.
	 * @param flow the queue
	 * @param room the room that is used up
	 */
	void block(FlowQueue flow, Room room) {
		this.blockedFrom = Math.min(this.blockedFrom, room.ordinal());
		this.waiting.add(flow);
	}

	/** Lets the queues of the model and of its adapters try again. */
	void unblock() {
		this.blockedFrom = NONE;
		for (FlowQueue flow : this.waiting) {
			flow.unblock();
		}
		this.waiting.clear();
		for (ModelRoute adapter : this.adapters) {
			adapter.unblock();
		}
	}

}
