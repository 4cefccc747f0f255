package org.celeryhill.traffic;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.PriorityQueue;

import org.celeryhill.base.AttemptId;
import org.celeryhill.base.RequestId;

/**
 * Waiting requests, running attempts and failed requests that may be retried. Not
 * thread-safe.
 */
final class RequestTable {

	/** Largest number of failed requests kept for a retry. */
	private static final int MAX_FAILED_REQUESTS = 2000;

	/** Entries of the deadline queue up to which it is never cleaned up. */
	private static final int MIN_ENTRIES_FOR_CLEANUP = 256;

	/** Entries of the deadline queue per request above which it is cleaned up. */
	private static final int MAX_ENTRIES_PER_REQUEST = 4;

	/** Reviews of a waiting request within its target for the first token. */
	private static final int REVIEWS_PER_TARGET = 8;

	/** Waiting and running requests. */
	private final Map<RequestId, PendingRequest> requests = new HashMap<>();

	/** Running attempts. */
	private final Map<AttemptId, PendingRequest.Attempt> attempts = new HashMap<>();

	/** Requests whose attempts have failed, kept for a retry, oldest first. */
	private final Map<RequestId, PendingRequest> failed = new LinkedHashMap<>();

	/**
	 * Requests by deadline; entries that no longer wait are skipped when they reach the
	 * front.
	 */
	private final PriorityQueue<PendingRequest> deadlineQueue = new PriorityQueue<>(
			Comparator.<PendingRequest>comparingLong((pending) -> pending.deadline)
				.thenComparingLong((pending) -> pending.sequence));

	/** Requests whose wait is reviewed, by the time of the next review. */
	private final PriorityQueue<PendingRequest> reviewQueue = new PriorityQueue<>(
			Comparator.<PendingRequest>comparingLong((pending) -> pending.reviewNanos)
				.thenComparingLong((pending) -> pending.sequence));

	/**
	 * Returns whether a request waits, runs or may be retried.
	 * @param id the request
	 * @return true if the request is known
	 */
	boolean isKnown(RequestId id) {
		return this.requests.containsKey(id) || this.failed.containsKey(id);
	}

	/**
	 * Returns a request that waits or runs.
	 * @param id the request
	 * @return the request, null if it neither waits nor runs
	 */
	PendingRequest findRequest(RequestId id) {
		return this.requests.get(id);
	}

	/**
	 * Adds a request to its queue.
	 * @param pending the request
	 * @param now the current time in nanoseconds
	 */
	void enqueue(PendingRequest pending, long now) {
		pending.state = PendingRequest.State.QUEUED;
		this.requests.put(pending.request.id(), pending);
		this.deadlineQueue.add(pending);
		pending.flow.add(pending, now);
		if (pending.isReviewed) {
			scheduleReview(pending, now);
		}
	}

	/**
	 * Schedules the next review of a waiting request. A caller should hear within an
	 * eighth of its target of a refusal that can be foreseen.
	 * @param pending the request
	 * @param now the current time in nanoseconds
	 */
	void scheduleReview(PendingRequest pending, long now) {
		pending.reviewNanos = now + pending.firstTokenTargetNanos / REVIEWS_PER_TARGET;
		this.reviewQueue.add(pending);
	}

	/**
	 * Returns a waiting request whose review is due and removes it from the review queue.
	 * @param now the current time in nanoseconds
	 * @return the request, null if none is due
	 */
	PendingRequest pollReview(long now) {
		while (!this.reviewQueue.isEmpty() && this.reviewQueue.peek().reviewNanos <= now) {
			PendingRequest pending = this.reviewQueue.poll();
			if (pending.state == PendingRequest.State.QUEUED) {
				return pending;
			}
		}
		return null;
	}

	/**
	 * Removes a waiting request that will not be sent.
	 * @param pending the request
	 */
	void dequeue(PendingRequest pending) {
		this.requests.remove(pending.request.id());
		pending.flow.remove(pending);
		if (this.deadlineQueue.size() > MIN_ENTRIES_FOR_CLEANUP + MAX_ENTRIES_PER_REQUEST * this.requests.size()) {
			this.deadlineQueue.removeIf((entry) -> entry.state != PendingRequest.State.QUEUED);
		}
	}

	/**
	 * Returns a waiting request whose deadline has passed and removes it from the
	 * deadline queue. The caller must dequeue the request.
	 * @param now the current time in nanoseconds
	 * @return the request, null if none has expired
	 */
	PendingRequest pollExpired(long now) {
		while (!this.deadlineQueue.isEmpty()) {
			PendingRequest pending = this.deadlineQueue.peek();
			boolean isWaiting = pending.state == PendingRequest.State.QUEUED;
			if (isWaiting && pending.deadline > now) {
				return null;
			}
			this.deadlineQueue.poll();
			if (isWaiting) {
				return pending;
			}
		}
		return null;
	}

	/**
	 * Adds a running attempt and counts it on its backend server.
	 * @param attempt the attempt
	 */
	void addAttempt(PendingRequest.Attempt attempt) {
		this.attempts.put(attempt.id, attempt);
		attempt.backend.addAttempt(attempt);
		attempt.pending.running++;
	}

	/**
	 * Returns a running attempt.
	 * @param id the attempt
	 * @return the attempt, null if it is unknown
	 */
	PendingRequest.Attempt attempt(AttemptId id) {
		return this.attempts.get(id);
	}

	/**
	 * Removes a running attempt. Its request is kept for a retry if all its attempts have
	 * failed.
	 * @param attempt the attempt
	 * @param outcome how the attempt ended
	 */
	void endAttempt(PendingRequest.Attempt attempt, AttemptOutcome outcome) {
		PendingRequest pending = attempt.pending;
		this.attempts.remove(attempt.id);
		attempt.isEnded = true;
		attempt.backend.removeAttempt(attempt);
		pending.running--;
		pending.isDone |= outcome == AttemptOutcome.COMPLETED || outcome == AttemptOutcome.CANCELLED;
		if (pending.running > 0) {
			return;
		}
		this.requests.remove(pending.request.id());
		if (!pending.isDone) {
			this.failed.put(pending.request.id(), pending);
			if (this.failed.size() > MAX_FAILED_REQUESTS) {
				this.failed.remove(this.failed.keySet().iterator().next());
			}
		}
	}

	/**
	 * Removes and returns a failed request that was kept for a retry.
	 * @param id the request
	 * @return the request, null if it was not kept
	 */
	PendingRequest removeFailed(RequestId id) {
		return this.failed.remove(id);
	}

	/**
	 * Returns the number of running attempts.
	 * @return the number
	 */
	int attemptCount() {
		return this.attempts.size();
	}

	/**
	 * Returns the number of requests that wait or run.
	 * @return the number
	 */
	int requestCount() {
		return this.requests.size();
	}

}
