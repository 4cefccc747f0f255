package org.celeryhill.traffic;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.celeryhill.base.OrganisationId;
import org.celeryhill.base.PriorityClass;
import org.celeryhill.base.UsageTotals;

/**
 * Start-time fair queue over the organisations of one service, weighted by estimated
 * tokens. The share of an organisation without waiting requests is used by the others and
 * returned with the organisation's next request; idle time gives no credit. Usage through
 * other daemons is charged as well. Not thread-safe.
 */
final class FairQueue {

	/** Largest credit for urgent usage below the weight, in tokens per unit of weight. */
	private static final double MAX_URGENT_CREDIT = 20_000;

	/**
	 * Largest lag behind or lead over the virtual time that an organisation keeps, in
	 * tokens per unit of weight.
	 */
	private static final double MEMORY = 60_000;

	/**
	 * Smallest weight of an organisation relative to the mean demand, so that one with
	 * little demand is served in full.
	 */
	private static final double MIN_NEED = 0.25;

	/** Queues by organisation. */
	private final Map<OrganisationId, OrganisationQueue> queuesById = new HashMap<>();

	/** Queues in the order in which the organisations first appeared. */
	private final List<OrganisationQueue> organisations = new ArrayList<>();

	/** Capacity tier for the queue selected last. */
	private CapacityTier tier = CapacityTier.BATCH;

	/**
	 * Whether the queue selected last is urgent and its organisation's urgent usage
	 * within the weight.
	 */
	private boolean isUrgentWithinWeight;

	/**
	 * Virtual time: the start tag of the request sent last, in tokens per unit of weight.
	 */
	private double virtualTime;

	/**
	 * Returns the queue of an organisation and creates it if needed.
	 * @param id the organisation
	 * @return the queue
	 */
	OrganisationQueue organisation(OrganisationId id) {
		OrganisationQueue queue = this.queuesById.get(id);
		if (queue == null) {
			queue = new OrganisationQueue(this, id);
			this.queuesById.put(id, queue);
			this.organisations.add(queue);
		}
		return queue;
	}

	/**
	 * Returns the queue of an organisation if there is one.
	 * @param id the organisation
	 * @return the queue, null if the organisation is unknown
	 */
	OrganisationQueue find(OrganisationId id) {
		return this.queuesById.get(id);
	}

	/**
	 * Returns the queues of all organisations.
	 * @return the queues in a fixed order
	 */
	List<OrganisationQueue> organisations() {
		return this.organisations;
	}

	/**
	 * Brings the start tag of an organisation up to date before its first waiting request
	 * is added, so that an idle organisation saves up no credit.
	 * @param queue the organisation
	 */
	void activate(OrganisationQueue queue) {
		queue.startTag = Math.max(queue.startTag, this.virtualTime);
	}

	/**
	 * Sets the weights in proportion to the usual demand, so that organisations are
	 * served in the same proportion of their usual demand when there is too little room.
	 * What an organisation asks for beyond its usual gains it nothing.
	 * @param now the current time in nanoseconds
	 */
	void updateWeights(long now) {
		double sum = 0;
		int count = 0;
		for (OrganisationQueue organisation : this.organisations) {
			double usual = organisation.demand.perSecond(now);
			sum += usual;
			count += (usual > 0) ? 1 : 0;
		}
		for (OrganisationQueue organisation : this.organisations) {
			double need = (sum > 0) ? organisation.demand.perSecond(now) * count / sum : 1;
			organisation.weight = organisation.configuredWeight * Math.max(MIN_NEED, need);
		}
	}

	/**
	 * Selects the queue to serve next: urgent requests of organisations whose urgent
	 * usage is within their weight, then the organisation with the lowest start tag.
	 * @param now the current time in nanoseconds
	 * @return the queue, null if no request may find capacity
	 */
	FlowQueue selectNext(long now) {
		OrganisationQueue best = null;
		OrganisationQueue urgent = null;
		for (OrganisationQueue organisation : this.organisations) {
			if (!organisation.isReady()) {
				continue;
			}
			if (best == null || organisation.startTag < best.startTag) {
				best = organisation;
			}
			if (organisation.isReady(PriorityClass.URGENT)
					&& (urgent == null || organisation.urgentStartTag < urgent.urgentStartTag)) {
				urgent = organisation;
			}
		}
		if (best == null) {
			return null;
		}
		boolean isWithinWeight = urgent != null && urgent.urgentStartTag <= this.virtualTime;
		ClassQueue chosen = isWithinWeight ? urgent.urgentClass(now) : best.nextClass(now);
		this.tier = CapacityTier.forClass(chosen.priority);
		if (isWithinWeight) {
			this.tier = CapacityTier.OVERCOMMIT;
		}
		else if (urgent != null) {
			this.tier = CapacityTier.FULL;
		}
		this.isUrgentWithinWeight = isWithinWeight;
		return chosen.firstReady(now);
	}

	/**
	 * Returns the capacity tier for the queue selected last.
	 * @return the tier
	 */
	CapacityTier tier() {
		return this.tier;
	}

	/**
	 * Charges a sent request to its organisation and class.
	 * @param flow the queue that the request waited in
	 * @param cost the estimated tokens
	 */
	void charge(FlowQueue flow, double cost) {
		OrganisationQueue queue = flow.classQueue.organisation;
		queue.charge(flow.classQueue, cost, !this.isUrgentWithinWeight);
		if (!this.isUrgentWithinWeight) {
			this.virtualTime = Math.max(this.virtualTime, queue.startTag);
		}
		queue.startTag = Math.max(queue.startTag, this.virtualTime - MEMORY) + cost / queue.weight;
		if (flow.priority() == PriorityClass.URGENT) {
			queue.chargeUrgent(this.virtualTime - MAX_URGENT_CREDIT, cost);
		}
	}

	/**
	 * Charges usage through another daemon.
	 * @param key the organisation and class
	 * @param tokens the estimated tokens
	 */
	void chargePeerUsage(UsageTotals.Key key, double tokens) {
		OrganisationQueue queue = this.queuesById.get(key.organisation());
		if (queue == null) {
			return;
		}
		queue.startTag = Math.min(this.virtualTime + MEMORY, queue.startTag + tokens / queue.weight);
		if (key.priority() == PriorityClass.URGENT) {
			queue.chargeUrgent(this.virtualTime - MAX_URGENT_CREDIT, tokens);
			queue.urgentStartTag = Math.min(this.virtualTime + MEMORY, queue.urgentStartTag);
		}
	}

	/**
	 * Returns whether no request waits.
	 * @return true if the queues of all organisations are empty
	 */
	boolean isEmpty() {
		for (OrganisationQueue organisation : this.organisations) {
			if (organisation.waitingCount() > 0) {
				return false;
			}
		}
		return true;
	}

	/**
	 * Returns the total weight of the organisations with waiting requests.
	 * @return the sum
	 */
	double activeWeight() {
		double sum = 0;
		for (OrganisationQueue organisation : this.organisations) {
			sum += (organisation.waitingCount() > 0) ? organisation.weight : 0;
		}
		return sum;
	}

}
