package org.celeryhill.traffic;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.celeryhill.base.OrganisationId;
import org.celeryhill.base.PriorityClass;
import org.celeryhill.base.UsageTotals;

/**
 * Start-time fair queue over the organisations of one service, weighted over estimated
 * tokens. An organisation without waiting requests lends its share and gets it back with
 * its next request; it saves up no credit. Usage through other daemons is charged as
 * well. Not thread-safe.
 */
final class FairQueue {

	/** Largest credit in tokens per weight for urgent usage below the weight. */
	private static final double URGENT_CREDIT = 20_000;

	/** Largest lag or lead in tokens per weight that an organisation keeps. */
	private static final double MEMORY = 60_000;

	/** Organisations by id. */
	private final Map<OrganisationId, OrganisationQueue> byId = new HashMap<>();

	/** Organisations in order of first appearance. */
	private final List<OrganisationQueue> organisations = new ArrayList<>();

	/** Room that the queue returned last may fill. */
	private Room room = Room.BATCH;

	/** Whether the queue returned last is urgent and within its organisation's weight. */
	private boolean isFirst;

	/** Virtual start time of the request sent last, in tokens per weight. */
	private double virtualTime;

	/**
	 * Returns the queue of an organisation.
	 * @param id the organisation
	 * @return the queue, created if needed
	 */
	OrganisationQueue organisation(OrganisationId id) {
		OrganisationQueue queue = this.byId.get(id);
		if (queue == null) {
			queue = new OrganisationQueue(this, id);
			this.byId.put(id, queue);
			this.organisations.add(queue);
		}
		return queue;
	}

	/**
	 * Returns the queue of an organisation if there is one.
	 * @param id the organisation
	 * @return the queue, null if it is not known
	 */
	OrganisationQueue find(OrganisationId id) {
		return this.byId.get(id);
	}

	/**
	 * Returns all organisations.
	 * @return the queues in a fixed order
	 */
	List<OrganisationQueue> organisations() {
		return this.organisations;
	}

	/**
	 * Takes note that an organisation has its first waiting request.
	 * @param queue the organisation
	 */
	void activated(OrganisationQueue queue) {
		queue.tag = Math.max(queue.tag, this.virtualTime);
	}

	/**
	 * Returns the queue whose turn it is: urgent requests of organisations whose urgent
	 * usage is within their weight, then the organisation with the least usage.
	 * @param now the time in nanoseconds
	 * @return the queue, null if no request may find room
	 */
	FlowQueue next(long now) {
		OrganisationQueue best = null;
		OrganisationQueue urgent = null;
		for (OrganisationQueue one : this.organisations) {
			if (!one.isReady()) {
				continue;
			}
			if (best == null || one.tag < best.tag) {
				best = one;
			}
			if (one.isReady(PriorityClass.URGENT) && (urgent == null || one.urgentTag < urgent.urgentTag)) {
				urgent = one;
			}
		}
		if (best == null) {
			return null;
		}
		boolean isWithinWeight = urgent != null && urgent.urgentTag <= this.virtualTime;
		ClassQueue chosen = isWithinWeight ? urgent.urgent(now) : best.next(now);
		this.room = Room.of(chosen.priority);
		if (isWithinWeight) {
			this.room = Room.FIRST;
		}
		else if (urgent != null) {
			this.room = Room.FULL;
		}
		this.isFirst = isWithinWeight;
		return chosen.first(now);
	}

	/**
	 * Returns the room that the queue returned last may fill.
	 * @return the room
	 */
	Room room() {
		return this.room;
	}

	/**
	 * Charges a request that is sent.
	 * @param flow the queue it waited in
	 * @param cost the estimated tokens
	 */
	void charge(FlowQueue flow, double cost) {
		OrganisationQueue queue = flow.parent.organisation;
		queue.charge(flow.parent, cost, !this.isFirst);
		if (!this.isFirst) {
			this.virtualTime = Math.max(this.virtualTime, queue.tag);
		}
		queue.tag = Math.max(queue.tag, this.virtualTime - MEMORY) + cost / queue.weight;
		if (flow.priority() == PriorityClass.URGENT) {
			queue.chargeUrgent(this.virtualTime - URGENT_CREDIT, cost);
		}
	}

	/**
	 * Charges work that other daemons admitted.
	 * @param key the organisation and class
	 * @param tokens the estimated tokens
	 */
	void chargePeer(UsageTotals.Key key, double tokens) {
		OrganisationQueue queue = this.byId.get(key.organisation());
		if (queue == null) {
			return;
		}
		queue.tag = Math.min(this.virtualTime + MEMORY, queue.tag + tokens / queue.weight);
		if (key.priority() == PriorityClass.URGENT) {
			queue.chargeUrgent(this.virtualTime - URGENT_CREDIT, tokens);
			queue.urgentTag = Math.min(this.virtualTime + MEMORY, queue.urgentTag);
		}
	}

	/**
	 * Returns whether no request waits.
	 * @return true if all organisations' queues are empty
	 */
	boolean isEmpty() {
		for (OrganisationQueue one : this.organisations) {
			if (one.count() > 0) {
				return false;
			}
		}
		return true;
	}

	/**
	 * Returns the weights of the organisations with waiting requests.
	 * @return the sum
	 */
	double activeWeight() {
		double sum = 0;
		for (OrganisationQueue one : this.organisations) {
			sum += (one.count() > 0) ? one.weight : 0;
		}
		return sum;
	}

}
