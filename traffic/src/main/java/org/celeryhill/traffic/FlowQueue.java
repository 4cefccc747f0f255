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

	/** Removed requests below which none is cleaned up. */
	private static final int MIN_REMOVED = 64;

	/** Added to the arrival order of a request that has missed its target. */
	private static final long LATE = 1L << 60;

	/** Waiting requests that can meet their target; some may be removed already. */
	private final ArrayDeque<PendingRequest> requests = new ArrayDeque<>();

	/**
	 * Waiting requests that have missed their target. They are served after the others of
	 * their class, since serving them first would make the others late as well.
	 */
	private final ArrayDeque<PendingRequest> late = new ArrayDeque<>();

	/** Requests removed since the last pass. */
	private int removed;

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
	 * Moves requests that have missed their target behind the others.
	 * @param now the time in nanoseconds
	 */
	void demoteLate(long now) {
		PendingRequest head = first(this.requests);
		boolean isChanged = false;
		while (head != null && head.isLate(now)) {
			this.requests.pollFirst();
			this.late.addLast(head);
			this.parent.demoted(head);
			isChanged = true;
			head = first(this.requests);
		}
		if (isChanged) {
			refresh();
		}
	}

	private static PendingRequest first(ArrayDeque<PendingRequest> queue) {
		while (!queue.isEmpty() && queue.peekFirst().state != PendingRequest.State.QUEUED) {
			queue.pollFirst();
		}
		return queue.peekFirst();
	}

	/**
	 * Returns the first request.
	 * @return the request, null if none waits
	 */
	PendingRequest peek() {
		PendingRequest head = first(this.requests);
		return (head != null) ? head : first(this.late);
	}

	/**
	 * Removes the first request because it is sent.
	 * @return the request
	 */
	PendingRequest take() {
		PendingRequest pending = peek();
		ArrayDeque<PendingRequest> queue = this.requests.isEmpty() ? this.late : this.requests;
		queue.pollFirst();
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
		cleanUp();
		refresh();
	}

	// Requests that are cancelled in the middle stay in the queue until it is worth a
	// pass.
	private void cleanUp() {
		this.removed++;
		if (this.removed > MIN_REMOVED && 2 * this.removed > this.requests.size() + this.late.size()) {
			this.requests.removeIf((one) -> one.state != PendingRequest.State.QUEUED);
			this.late.removeIf((one) -> one.state != PendingRequest.State.QUEUED);
			this.removed = 0;
		}
	}

	/**
	 * Stops offering requests until there may be room again.
	 * @param room the room that is used up
	 */
	void block(Room room) {
		this.isBlocked = true;
		this.route.block(this, room);
		refresh();
	}

	/** Offers requests again. */
	void unblock() {
		this.isBlocked = false;
		refresh();
	}

	private void refresh() {
		PendingRequest head = peek();
		long key = (head != null && !this.isBlocked) ? head.sequence + (head.isDemoted ? LATE : 0) : -1;
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
