package org.celeryhill.traffic;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.Queue;

import org.celeryhill.base.PriorityClass;

/**
 * Waiting requests of one organisation, class and model, in the order in which their
 * first tokens are due; with one target that is the order of arrival. Not thread-safe.
 */
final class FlowQueue {

	/** Queue of the class. */
	final ClassQueue classQueue;

	/** Route of the model. */
	final ModelRoute route;

	/** Number of removed requests up to which they are left in the queue. */
	private static final int MIN_REMOVED_FOR_CLEANUP = 64;

	/**
	 * Offset added to the due time of a request that has missed its target, so that it
	 * sorts after all others.
	 */
	private static final long LATE_OFFSET_NANOS = 1L << 60;

	/** Requests that can still meet their target, and some that were removed already. */
	private final PriorityQueue<PendingRequest> onTimeRequests = new PriorityQueue<>(
			Comparator.<PendingRequest>comparingLong((pending) -> pending.dueNanos)
				.thenComparingLong((pending) -> pending.sequence));

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

	/** Due time under which the queue is registered as ready. */
	private long readyDueNanos;

	/** Arrival order under which the queue is registered, -1 if it is not ready. */
	private long readySequence = -1;

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
	 * @param now the current time in nanoseconds
	 */
	void add(PendingRequest pending, long now) {
		this.onTimeRequests.add(pending);
		this.classQueue.recordAdded(pending);
		pending.joinBacklog(now);
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
			this.onTimeRequests.poll();
			this.lateRequests.addLast(head);
			this.classQueue.markDemoted(head);
			isChanged = true;
			head = peekWaiting(this.onTimeRequests);
		}
		if (isChanged) {
			updateReadyOrder();
		}
	}

	private static PendingRequest peekWaiting(Queue<PendingRequest> queue) {
		while (!queue.isEmpty() && queue.peek().state != PendingRequest.State.QUEUED) {
			queue.poll();
		}
		return queue.peek();
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
		Queue<PendingRequest> queue = this.onTimeRequests.isEmpty() ? this.lateRequests : this.onTimeRequests;
		queue.poll();
		pending.state = PendingRequest.State.SENT;
		this.classQueue.recordRemoved(pending);
		pending.leaveBacklog();
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
		pending.leaveBacklog();
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
		boolean isReady = head != null && !this.isBlocked;
		long sequence = isReady ? head.sequence : -1;
		long due = isReady ? head.dueNanos + (head.isDemoted ? LATE_OFFSET_NANOS : 0) : 0;
		if (sequence != this.readySequence || due != this.readyDueNanos) {
			this.classQueue.removeReady(this);
			this.readySequence = sequence;
			this.readyDueNanos = due;
			this.classQueue.addReady(this);
		}
	}

	/**
	 * Returns when the request at the front is due, with late requests after all others.
	 * @return the time in nanoseconds, meaningless if the queue is not ready
	 */
	long readyDueNanos() {
		return this.readyDueNanos;
	}

	/**
	 * Returns the arrival order of the request at the front.
	 * @return the order, -1 if the queue is not ready
	 */
	long readySequence() {
		return this.readySequence;
	}

	/**
	 * Returns whether the queue is waiting for capacity.
	 * @return true since the latest request found none
	 */
	boolean isBlocked() {
		return this.isBlocked;
	}

}
