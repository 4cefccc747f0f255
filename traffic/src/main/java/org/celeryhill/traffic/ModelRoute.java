package org.celeryhill.traffic;

import java.util.ArrayList;
import java.util.List;

import org.celeryhill.base.ModelId;

/**
 * Candidate backend servers of one model, or of all calls of a plain service. Not
 * thread-safe.
 */
final class ModelRoute {

	/** Ordinal that stands for no blocked tier. */
	private static final int NONE = Integer.MAX_VALUE;

	/** Model or adapter, null for a plain service. */
	final ModelId model;

	/** Route of the base model, null unless the model is an adapter. */
	final ModelRoute base;

	/** Requests that wait for the engines of the model, shared with its adapters. */
	final RouteBacklog backlog;

	/** Routes of the adapters of this model. */
	final List<ModelRoute> adapters = new ArrayList<>();

	/**
	 * Usable backend servers with the model ready, limited to the subset of this daemon.
	 */
	BackendState[] candidates = {};

	/**
	 * Number of candidates at the beginning of the array that are in the data centre of
	 * this daemon. All candidates count while no server of the service states its pace.
	 */
	int nearCount;

	/** Number of usable backend servers with the model ready, without that limit. */
	int usableCount;

	/** Whether the candidates must be computed again. */
	boolean isStale = true;

	/** Queues that are blocked until capacity may be available. */
	private final List<FlowQueue> waiting = new ArrayList<>();

	/**
	 * Lowest ordinal of the capacity tiers that are used up; all later tiers are used up
	 * too.
	 */
	private int lowestBlockedOrdinal = NONE;

	/**
	 * Creates a route without candidates.
	 * @param model the model or adapter, null for a plain service
	 * @param base the route of the base model, null unless the model is an adapter
	 */
	ModelRoute(ModelId model, ModelRoute base) {
		this.model = model;
		this.base = base;
		this.backlog = (base != null) ? base.backlog : new RouteBacklog();
		if (base != null) {
			base.adapters.add(this);
		}
	}

	/**
	 * Returns whether a capacity tier is known to be used up.
	 * @param tier the capacity tier
	 * @return true until capacity may be available again
	 */
	boolean isBlocked(CapacityTier tier) {
		return tier.ordinal() >= this.lowestBlockedOrdinal
				|| (this.base != null && tier.ordinal() >= this.base.lowestBlockedOrdinal);
	}

	/**
	 * Records that a queue found no capacity.
	 * @param flow the queue
	 * @param tier the capacity tier that is used up
	 */
	void block(FlowQueue flow, CapacityTier tier) {
		this.lowestBlockedOrdinal = Math.min(this.lowestBlockedOrdinal, tier.ordinal());
		this.waiting.add(flow);
	}

	/** Marks the blocked queues of the model and of its adapters as ready again. */
	void unblock() {
		this.lowestBlockedOrdinal = NONE;
		for (FlowQueue flow : this.waiting) {
			flow.unblock();
		}
		this.waiting.clear();
		for (ModelRoute adapter : this.adapters) {
			adapter.unblock();
		}
	}

}
