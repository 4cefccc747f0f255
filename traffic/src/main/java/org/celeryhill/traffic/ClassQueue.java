package org.celeryhill.traffic;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;

import org.celeryhill.base.PriorityClass;
import org.celeryhill.base.UsageTotals;
import org.celeryhill.config.ClassTarget;

/**
 * Waiting requests of one organisation and class. Not thread-safe.
 */
final class ClassQueue {

	/** Weight of a new first token in the mean time to it. */
	private static final double LEARNING_RATE = 0.02;

	/** Class. */
	final PriorityClass priority;

	/** Organisation. */
	final OrganisationQueue organisation;

	/** Organisation and class under which usage is counted. */
	final UsageTotals.Key key;

	/** Queues by model. */
	private final Map<ModelRoute, FlowQueue> flows = new HashMap<>();

	/** Queues with a request that may find room, by arrival of the head. */
	private final TreeSet<FlowQueue> ready = new TreeSet<>(Comparator.comparingLong(FlowQueue::order));

	/** Rate at which requests were sent, in estimated tokens a second. */
	final RateEstimate rate = new RateEstimate();

	/** Learned part of the maximum answer length that is generated. */
	double outputPart = 0.5;

	/** Mean time from sending to the first token, in nanoseconds. */
	private double meanStart;

	/** Targets, replaced with each configuration. */
	ClassTarget target;

	/** Virtual start time of the next request, in tokens per part of the organisation. */
	double tag;

	/** Usage of the organisation up to which the floor has been served, in tokens. */
	double floorTag;

	/** Waiting requests. */
	private int count;

	/** Estimated tokens of the waiting requests that have missed their target. */
	private long lateTokens;

	/** Arrival of the request that ended the last time without waiting requests. */
	private long backloggedSince;

	/** Estimated tokens of the waiting requests. */
	private long tokens;

	/**
	 * Creates an empty queue.
	 * @param organisation the organisation
	 * @param priority the class
	 */
	ClassQueue(OrganisationQueue organisation, PriorityClass priority) {
		this.organisation = organisation;
		this.priority = priority;
		this.key = new UsageTotals.Key(organisation.id, priority);
	}

	/**
	 * Returns the queue of a model.
	 * @param route the route of the model
	 * @return the queue
	 */
	FlowQueue flow(ModelRoute route) {
		FlowQueue flow = this.flows.get(route);
		if (flow == null) {
			flow = new FlowQueue(this, route);
			this.flows.put(route, flow);
		}
		return flow;
	}

	/**
	 * Returns all queues.
	 * @return the queues
	 */
	Iterable<FlowQueue> flows() {
		return this.flows.values();
	}

	/**
	 * Returns the queue whose head arrived first among those that may find room; heads
	 * that have missed their target come last.
	 * @param now the time in nanoseconds
	 * @return the queue, null if none is ready
	 */
	FlowQueue first(long now) {
		FlowQueue first = this.ready.isEmpty() ? null : this.ready.first();
		while (first != null && !first.peek().isDemoted && first.peek().isLate(now)) {
			first.demoteLate(now);
			first = this.ready.first();
		}
		return first;
	}

	/**
	 * Returns whether a request may find room.
	 * @return true if at least one queue is ready
	 */
	boolean isReady() {
		return !this.ready.isEmpty();
	}

	/**
	 * Counts a request that joins.
	 * @param pending the request
	 */
	void added(PendingRequest pending) {
		if (this.count == 0) {
			this.backloggedSince = pending.request.arrivedNanos();
			this.organisation.activated(this);
		}
		this.count++;
		this.tokens += pending.cost;
	}

	/**
	 * Counts a request that leaves.
	 * @param pending the request
	 */
	void removed(PendingRequest pending) {
		this.count--;
		this.tokens -= pending.cost;
		if (pending.isDemoted) {
			this.lateTokens -= pending.cost;
		}
	}

	/**
	 * Counts a request that has missed its target.
	 * @param pending the request
	 */
	void demoted(PendingRequest pending) {
		pending.isDemoted = true;
		this.lateTokens += pending.cost;
	}

	/**
	 * Returns the estimated tokens of the waiting requests that go before a new one.
	 * @return the tokens
	 */
	long tokensAhead() {
		return this.tokens - this.lateTokens;
	}

	/**
	 * Lists a queue as ready if it is.
	 * @param flow the queue
	 */
	void register(FlowQueue flow) {
		if (flow.order() >= 0) {
			this.ready.add(flow);
		}
	}

	/**
	 * Removes a queue from the ready ones under its present order.
	 * @param flow the queue
	 */
	void deregister(FlowQueue flow) {
		if (flow.order() >= 0) {
			this.ready.remove(flow);
		}
	}

	/**
	 * Learns from a first token.
	 * @param nanos the time since the attempt was sent, in nanoseconds
	 */
	void started(long nanos) {
		this.meanStart += LEARNING_RATE * (nanos - this.meanStart);
	}

	/**
	 * Returns the time to allow from sending to the first token.
	 * @return twice the mean, at most three quarters of the target, in nanoseconds
	 */
	double startNanos() {
		return Math.min(2 * this.meanStart, 0.75 * this.target.firstToken().toNanos());
	}

	/**
	 * Returns the number of waiting requests.
	 * @return the number
	 */
	int count() {
		return this.count;
	}

	/**
	 * Returns the estimated tokens of the waiting requests.
	 * @return the tokens
	 */
	long tokens() {
		return this.tokens;
	}

	/**
	 * Returns since when requests have been waiting without a break.
	 * @return the time in nanoseconds, meaningless if none waits
	 */
	long backloggedSince() {
		return this.backloggedSince;
	}

	/**
	 * Returns how long the first ready request has waited relative to its target.
	 * @param now the time in nanoseconds
	 * @return the ratio, 0 if none is ready
	 */
	double pressure(long now) {
		FlowQueue flow = first(now);
		if (flow == null || flow.peek().isDemoted) {
			return (flow != null) ? 1 : 0;
		}
		double waited = now - flow.peek().request.arrivedNanos();
		return waited / this.target.firstToken().toNanos();
	}

}
