package org.celeryhill.traffic;

import java.util.ArrayDeque;

import org.celeryhill.base.PriorityClass;

/**
 * Waiting requests of one organisation, class and model, in order of arrival. Not
 * thread-safe.
 */
final class FlowQueue {

	/** Queue of the class that this is a part of. */
	final ClassQueue parent;

	/** Route of the model. */
	final ModelRoute route;

	/** Waiting requests; some may be removed already. */
	private final ArrayDeque<PendingRequest> requests = new ArrayDeque<>();

	/** Whether it waits for room. */
	private boolean isBlocked;

	/**
	 * Arrival order of the head under which it is registered as ready, -1 if it is not.
	 */
	private long registered = -1;

	/**
	 * Creates an empty queue.
	 * @param parent the queue of the class
	 * @param route the route of the model
	 */
	FlowQueue(ClassQueue parent, ModelRoute route) {
		this.parent = parent;
		this.route = route;
	}

	/**
	 * Returns the class.
	 * @return the class
	 */
	PriorityClass priority() {
		return this.parent.priority;
	}

	/**
	 * Adds a request.
	 * @param pending the request
	 * @param isFirst whether it goes before the others
	 */
	void add(PendingRequest pending, boolean isFirst) {
		if (isFirst) {
			this.requests.addFirst(pending);
		}
		else {
			this.requests.addLast(pending);
		}
		this.parent.added(pending);
		refresh();
	}

	/**
	 * Returns the first request.
	 * @return the request, null if none waits
	 */
	PendingRequest peek() {
		while (!this.requests.isEmpty() && this.requests.peekFirst().state != PendingRequest.State.QUEUED) {
			this.requests.pollFirst();
		}
		return this.requests.peekFirst();
	}

	/**
	 * Removes the first request because it is sent.
	 * @return the request
	 */
	PendingRequest take() {
		PendingRequest pending = this.requests.pollFirst();
		pending.state = PendingRequest.State.SENT;
		this.parent.removed(pending);
		refresh();
		return pending;
	}

	/**
	 * Removes a waiting request.
	 * @param pending the request
	 */
	void remove(PendingRequest pending) {
		pending.state = PendingRequest.State.REMOVED;
		this.parent.removed(pending);
		refresh();
	}

	/** Stops offering requests until there may be room again. */
	void block() {
		this.isBlocked = true;
		this.route.block(this);
		refresh();
	}

	/** Offers requests again. */
	void unblock() {
		this.isBlocked = false;
		refresh();
	}

	private void refresh() {
		PendingRequest head = peek();
		long key = (head != null && !this.isBlocked) ? head.sequence : -1;
		if (key != this.registered) {
			this.parent.deregister(this);
			this.registered = key;
			this.parent.register(this);
		}
	}

	/**
	 * Returns the arrival order under which it is registered.
	 * @return the order, -1 if it is not ready
	 */
	long order() {
		return this.registered;
	}

}
