package org.celeryhill.traffic;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;

import org.celeryhill.base.PriorityClass;
import org.celeryhill.base.UsageTotals;
import org.celeryhill.config.ClassTarget;

/**
 * Waiting requests of one organisation and priority class. Not thread-safe.
 */
final class ClassQueue {

	/**
	 * Weight of a new observation in the moving average of the time to the first token.
	 */
	private static final double LEARNING_RATE = 0.02;

	/** Priority class. */
	final PriorityClass priority;

	/** Queue of the organisation. */
	final OrganisationQueue organisation;

	/** Key under which usage is counted. */
	final UsageTotals.Key key;

	/** Queues by route of the model. */
	private final Map<ModelRoute, FlowQueue> flows = new HashMap<>();

	/** Queues whose first request may find capacity, in the order of service. */
	private final TreeSet<FlowQueue> ready = new TreeSet<>(
			Comparator.comparingLong(FlowQueue::readyDueNanos).thenComparingLong(FlowQueue::readySequence));

	/** Rate at which requests are sent, in estimated tokens per second. */
	final RateEstimate rate = new RateEstimate();

	/** Expected length of the output as a fraction of its maximum length. */
	double outputFraction = 0.5;

	/** Moving average of the time from a send to the first token, in nanoseconds. */
	private double meanFirstTokenNanos;

	/** Targets and weight of the class, replaced with each configuration. */
	ClassTarget target;

	/** Start tag of the next request among the classes, in tokens per unit of share. */
	double startTag;

	/**
	 * Sent tokens of the organisation up to which the floor of this class has been
	 * served.
	 */
	double floorTag;

	/** Number of waiting requests. */
	private int waitingCount;

	/** Estimated tokens of the waiting requests that have missed their target. */
	private long lateTokens;

	/**
	 * Arrival of the request that joined when the queue was last empty, in nanoseconds.
	 */
	private long backlogStartNanos;

	/** Estimated tokens of the waiting requests. */
	private long tokens;

	/** Refused callers of this class that have not come back, for any model. */
	final ReturnLedger returns = new ReturnLedger();

	/**
	 * Creates an empty queue.
	 * @param organisation the queue of the organisation
	 * @param priority the priority class
	 */
	ClassQueue(OrganisationQueue organisation, PriorityClass priority) {
		this.organisation = organisation;
		this.priority = priority;
		this.key = new UsageTotals.Key(organisation.id, priority);
	}

	/**
	 * Returns the queue of a model and creates it if needed.
	 * @param route the route of the model
	 * @return the queue
	 */
	FlowQueue getOrCreateFlow(ModelRoute route) {
		FlowQueue flow = this.flows.get(route);
		if (flow == null) {
			flow = new FlowQueue(this, route);
			this.flows.put(route, flow);
		}
		return flow;
	}

	/**
	 * Returns the queues of all models.
	 * @return the queues
	 */
	Iterable<FlowQueue> flows() {
		return this.flows.values();
	}

	/**
	 * Returns the ready queue to serve first: the one whose front request is due first.
	 * Requests that would miss their target are moved behind the others beforehand.
	 * @param now the current time in nanoseconds
	 * @return the queue, null if none is ready
	 */
	FlowQueue firstReady(long now) {
		FlowQueue first = this.ready.isEmpty() ? null : this.ready.first();
		while (first != null && !first.peek().isDemoted && first.peek().willMissTarget(now)) {
			first.demoteLate(now);
			first = this.ready.first();
		}
		return first;
	}

	/**
	 * Returns whether any request may find capacity.
	 * @return true if at least one queue is ready
	 */
	boolean isReady() {
		return !this.ready.isEmpty();
	}

	/**
	 * Counts a request that joins a queue of this class.
	 * @param pending the request
	 */
	void recordAdded(PendingRequest pending) {
		if (this.waitingCount == 0) {
			this.backlogStartNanos = pending.request.arrivedNanos();
			this.organisation.activate(this);
		}
		this.waitingCount++;
		this.tokens += pending.cost;
	}

	/**
	 * Counts a request that leaves a queue of this class.
	 * @param pending the request
	 */
	void recordRemoved(PendingRequest pending) {
		this.waitingCount--;
		this.tokens -= pending.cost;
		if (pending.isDemoted) {
			this.lateTokens -= pending.cost;
		}
	}

	/**
	 * Marks and counts a request that has missed its target.
	 * @param pending the request
	 */
	void markDemoted(PendingRequest pending) {
		pending.isDemoted = true;
		this.lateTokens += pending.cost;
	}

	/**
	 * Returns the estimated tokens of the waiting requests that are served before a new
	 * one.
	 * @return the tokens
	 */
	long tokensAhead() {
		return this.tokens - this.lateTokens;
	}

	/**
	 * Adds a queue to the ready queues if it is ready.
	 * @param flow the queue
	 */
	void addReady(FlowQueue flow) {
		if (flow.readySequence() >= 0) {
			this.ready.add(flow);
		}
	}

	/**
	 * Removes a queue from the ready queues. Its order must be the one under which it was
	 * added.
	 * @param flow the queue
	 */
	void removeReady(FlowQueue flow) {
		if (flow.readySequence() >= 0) {
			this.ready.remove(flow);
		}
	}

	/**
	 * Updates the moving average of the time to the first token.
	 * @param elapsedNanos the time from the send of an attempt to its first token, in
	 * nanoseconds
	 */
	void recordFirstToken(long elapsedNanos) {
		this.meanFirstTokenNanos += LEARNING_RATE * (elapsedNanos - this.meanFirstTokenNanos);
	}

	/**
	 * Returns the time to allow for from a send to the first token.
	 * @param targetNanos the target of the request, in nanoseconds
	 * @return twice the moving average, at most three quarters of the target, in
	 * nanoseconds
	 */
	double firstTokenAllowanceNanos(long targetNanos) {
		return Math.min(2 * this.meanFirstTokenNanos, 0.75 * targetNanos);
	}

	/**
	 * Returns the number of waiting requests.
	 * @return the number
	 */
	int waitingCount() {
		return this.waitingCount;
	}

	/**
	 * Returns the estimated tokens of the waiting requests.
	 * @return the tokens
	 */
	long tokens() {
		return this.tokens;
	}

	/**
	 * Returns since when requests have been waiting without interruption.
	 * @return the time in nanoseconds, meaningless if no request waits
	 */
	long backlogStartNanos() {
		return this.backlogStartNanos;
	}

	/**
	 * Returns how long the first ready request has waited relative to its target.
	 * @param now the current time in nanoseconds
	 * @return the ratio, 1 if it has missed its target, 0 if no request is ready
	 */
	double pressure(long now) {
		FlowQueue flow = firstReady(now);
		if (flow == null || flow.peek().isDemoted) {
			return (flow != null) ? 1 : 0;
		}
		double waited = now - flow.peek().request.arrivedNanos();
		return waited / flow.peek().firstTokenTargetNanos;
	}

}
