package org.celeryhill.traffic;

import java.util.ArrayDeque;

import org.celeryhill.base.PriorityClass;

/**
 * Waiting requests of one organisation, class and model, in order of arrival. Not
 * thread-safe.
 */
final class FlowQueue {

	/** Queue of the class. */
	final ClassQueue classQueue;

	/** Route of the model. */
	final ModelRoute route;

	/** Number of removed requests up to which they are left in the queue. */
	private static final int MIN_REMOVED_FOR_CLEANUP = 64;

	/**
	 * Offset added to the arrival order of a request that has missed its target, so that
	 * it sorts after all others.
	 */
	private static final long LATE_ORDER_OFFSET = 1L << 60;

	/** Requests that can still meet their target, and some that were removed already. */
	private final ArrayDeque<PendingRequest> onTimeRequests = new ArrayDeque<>();

	/**
	 * Requests that have missed their target, and some that were removed already. They
	 * are served after the others of their class, because serving them first would make
	 * the others miss their target as well.
	 */
	private final ArrayDeque<PendingRequest> lateRequests = new ArrayDeque<>();

	/** Number of requests removed since the last clean-up. */
	private int removedCount;

	/** Whether the queue is waiting for capacity. */
	private boolean isBlocked;

	/** Order under which the queue is registered as ready, -1 if it is not ready. */
	private long readyOrder = -1;

	/**
	 * Creates an empty queue.
	 * @param classQueue the queue of the class
	 * @param route the route of the model
	 */
	FlowQueue(ClassQueue classQueue, ModelRoute route) {
		this.classQueue = classQueue;
		this.route = route;
	}

	/**
	 * Returns the priority class of the requests.
	 * @return the class
	 */
	PriorityClass priority() {
		return this.classQueue.priority;
	}

	/**
	 * Adds a request.
	 * @param pending the request
	 * @param isAtFront whether it goes to the front of the queue instead of the end
	 */
	void add(PendingRequest pending, boolean isAtFront) {
		if (isAtFront) {
			this.onTimeRequests.addFirst(pending);
		}
		else {
			this.onTimeRequests.addLast(pending);
		}
		this.classQueue.recordAdded(pending);
		updateReadyOrder();
	}

	/**
	 * Moves requests at the front that would miss their target behind the others.
	 * @param now the current time in nanoseconds
	 */
	void demoteLate(long now) {
		PendingRequest head = peekWaiting(this.onTimeRequests);
		boolean isChanged = false;
		while (head != null && head.willMissTarget(now)) {
			this.onTimeRequests.pollFirst();
			this.lateRequests.addLast(head);
			this.classQueue.markDemoted(head);
			isChanged = true;
			head = peekWaiting(this.onTimeRequests);
		}
		if (isChanged) {
			updateReadyOrder();
		}
	}

	private static PendingRequest peekWaiting(ArrayDeque<PendingRequest> queue) {
		while (!queue.isEmpty() && queue.peekFirst().state != PendingRequest.State.QUEUED) {
			queue.pollFirst();
		}
		return queue.peekFirst();
	}

	/**
	 * Returns the request at the front.
	 * @return the request, null if none waits
	 */
	PendingRequest peek() {
		PendingRequest head = peekWaiting(this.onTimeRequests);
		return (head != null) ? head : peekWaiting(this.lateRequests);
	}

	/**
	 * Removes the request at the front in order to send it. The queue must not be empty.
	 * @return the request
	 */
	PendingRequest pollForSend() {
		PendingRequest pending = peek();
		ArrayDeque<PendingRequest> queue = this.onTimeRequests.isEmpty() ? this.lateRequests : this.onTimeRequests;
		queue.pollFirst();
		pending.state = PendingRequest.State.SENT;
		this.classQueue.recordRemoved(pending);
		updateReadyOrder();
		return pending;
	}

	/**
	 * Removes a waiting request that will not be sent.
	 * @param pending the request
	 */
	void remove(PendingRequest pending) {
		pending.state = PendingRequest.State.REMOVED;
		this.classQueue.recordRemoved(pending);
		cleanUp();
		updateReadyOrder();
	}

	// A removed request stays in the queue until enough of them justify a scan.
	private void cleanUp() {
		this.removedCount++;
		if (this.removedCount > MIN_REMOVED_FOR_CLEANUP
				&& 2 * this.removedCount > this.onTimeRequests.size() + this.lateRequests.size()) {
			this.onTimeRequests.removeIf((pending) -> pending.state != PendingRequest.State.QUEUED);
			this.lateRequests.removeIf((pending) -> pending.state != PendingRequest.State.QUEUED);
			this.removedCount = 0;
		}
	}

	/**
	 * Marks the queue as not ready until capacity may be available again.
	 * @param tier the capacity tier that is used up
	 */
	void block(CapacityTier tier) {
		this.isBlocked = true;
		this.route.block(this, tier);
		updateReadyOrder();
	}

	/** Marks the queue as ready again if a request waits. */
	void unblock() {
		this.isBlocked = false;
		updateReadyOrder();
	}

	private void updateReadyOrder() {
		PendingRequest head = peek();
		long key = (head != null && !this.isBlocked) ? head.sequence + (head.isDemoted ? LATE_ORDER_OFFSET : 0) : -1;
		if (key != this.readyOrder) {
			this.classQueue.removeReady(this);
			this.readyOrder = key;
			this.classQueue.addReady(this);
		}
	}

	/**
	 * Returns the order among the ready queues of the class: the arrival order of the
	 * request at the front, with late requests after all others.
	 * @return the order, -1 if the queue is not ready
	 */
	long readyOrder() {
		return this.readyOrder;
	}

}
