package org.celeryhill.traffic;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.celeryhill.base.OrganisationId;
import org.celeryhill.base.PriorityClass;

/**
 * Start-time fair queue over the organisations of one service, weighted over estimated
 * tokens. An organisation without waiting requests lends its share and gets it back with
 * its next request; it saves up no credit. Usage through other daemons is charged as
 * well. Not thread-safe.
 */
final class FairQueue {

	/** Lead in tokens per weight within which urgent requests go before other classes. */
	private static final double URGENT_LEAD = 4000;

	/** Largest lag or lead in tokens per weight that an organisation keeps. */
	private static final double MEMORY = 60_000;

	/** Organisations by id. */
	private final Map<OrganisationId, OrganisationQueue> byId = new HashMap<>();

	/** Organisations in order of first appearance. */
	private final List<OrganisationQueue> organisations = new ArrayList<>();

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
	 * Returns the queue whose turn it is.
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
			if (one.classes[PriorityClass.URGENT.ordinal()].isReady() && (urgent == null || one.tag < urgent.tag)) {
				urgent = one;
			}
		}
		if (best == null) {
			return null;
		}
		if (urgent != null && urgent.tag <= best.tag + URGENT_LEAD) {
			best = urgent;
		}
		return best.next(now).first();
	}

	/**
	 * Charges a request that is sent.
	 * @param flow the queue it waited in
	 * @param cost the estimated tokens
	 */
	void charge(FlowQueue flow, double cost) {
		OrganisationQueue queue = flow.parent.organisation;
		queue.charge(flow.parent, cost);
		this.virtualTime = Math.max(this.virtualTime, queue.tag);
		queue.tag = Math.max(queue.tag, this.virtualTime - MEMORY) + cost / queue.weight;
	}

	/**
	 * Charges work that other daemons admitted.
	 * @param id the organisation
	 * @param tokens the estimated tokens
	 */
	void chargePeer(OrganisationId id, double tokens) {
		OrganisationQueue queue = this.byId.get(id);
		if (queue != null) {
			queue.tag = Math.min(this.virtualTime + MEMORY, queue.tag + tokens / queue.weight);
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
