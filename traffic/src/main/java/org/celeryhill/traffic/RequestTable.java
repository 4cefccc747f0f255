package org.celeryhill.traffic;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.PriorityQueue;

import org.celeryhill.base.AttemptId;
import org.celeryhill.base.RequestId;

/**
 * Requests that wait, run or may be retried, and their attempts. Not thread-safe.
 */
final class RequestTable {

	/** Requests with a failed attempt that are kept for a retry. */
	private static final int FAILED_KEPT = 2000;

	/** Entries of the deadline queue below which none is cleaned up. */
	private static final int MIN_STALE = 256;

	/** Entries of the deadline queue per request from which it is cleaned up. */
	private static final int STALE_FACTOR = 4;

	/** Requests that wait or run. */
	private final Map<RequestId, PendingRequest> requests = new HashMap<>();

	/** Attempts that run. */
	private final Map<AttemptId, PendingRequest.Attempt> attempts = new HashMap<>();

	/** Requests whose attempts have failed, for a retry; the oldest is dropped. */
	private final Map<RequestId, PendingRequest> failed = new LinkedHashMap<>();

	/** Waiting requests by deadline; those already sent are skipped when they surface. */
	private final PriorityQueue<PendingRequest> deadlines = new PriorityQueue<>(
			Comparator.<PendingRequest>comparingLong((one) -> one.deadline).thenComparingLong((one) -> one.sequence));

	/**
	 * Returns whether a request waits, runs or may be retried.
	 * @param id the request
	 * @return true if it is known
	 */
	boolean isKnown(RequestId id) {
		return this.requests.containsKey(id) || this.failed.containsKey(id);
	}

	/**
	 * Returns a request that waits or runs.
	 * @param id the request
	 * @return the request, null if it is not known
	 */
	PendingRequest find(RequestId id) {
		return this.requests.get(id);
	}

	/**
	 * Puts a request into its queue.
	 * @param pending the request
	 * @param isFirst whether it goes before the others
	 */
	void enqueue(PendingRequest pending, boolean isFirst) {
		pending.state = PendingRequest.State.QUEUED;
		this.requests.put(pending.request.id(), pending);
		this.deadlines.add(pending);
		pending.flow.add(pending, isFirst);
	}

	/**
	 * Removes a waiting request.
	 * @param pending the request
	 */
	void dequeue(PendingRequest pending) {
		this.requests.remove(pending.request.id());
		pending.flow.remove(pending);
		if (this.deadlines.size() > MIN_STALE + STALE_FACTOR * this.requests.size()) {
			this.deadlines.removeIf((one) -> one.state != PendingRequest.State.QUEUED);
		}
	}

	/**
	 * Returns the next waiting request whose deadline has passed.
	 * @param now the time in nanoseconds
	 * @return the request, which the caller removes, null if there is none
	 */
	PendingRequest nextExpired(long now) {
		while (!this.deadlines.isEmpty()) {
			PendingRequest pending = this.deadlines.peek();
			boolean isWaiting = pending.state == PendingRequest.State.QUEUED;
			if (isWaiting && pending.deadline > now) {
				return null;
			}
			this.deadlines.poll();
			if (isWaiting) {
				return pending;
			}
		}
		return null;
	}

	/**
	 * Adds a running attempt.
	 * @param attempt the attempt
	 */
	void add(PendingRequest.Attempt attempt) {
		this.attempts.put(attempt.id, attempt);
		attempt.backend.add(attempt);
		attempt.pending.running++;
	}

	/**
	 * Returns a running attempt.
	 * @param id the attempt
	 * @return the attempt, null if it is not known
	 */
	PendingRequest.Attempt attempt(AttemptId id) {
		return this.attempts.get(id);
	}

	/**
	 * Ends an attempt. Its request is kept for a retry if it failed and no other attempt
	 * runs.
	 * @param attempt the attempt
	 * @param outcome how it ended
	 */
	void end(PendingRequest.Attempt attempt, AttemptOutcome outcome) {
		PendingRequest pending = attempt.pending;
		this.attempts.remove(attempt.id);
		attempt.isEnded = true;
		attempt.backend.remove(attempt);
		pending.running--;
		pending.isDone |= outcome == AttemptOutcome.COMPLETED || outcome == AttemptOutcome.CANCELLED;
		if (pending.running > 0) {
			return;
		}
		this.requests.remove(pending.request.id());
		if (!pending.isDone) {
			this.failed.put(pending.request.id(), pending);
			if (this.failed.size() > FAILED_KEPT) {
				this.failed.remove(this.failed.keySet().iterator().next());
			}
		}
	}

	/**
	 * Removes a request that was kept for a retry.
	 * @param id the request
	 * @return the request, null if it is not kept
	 */
	PendingRequest takeFailed(RequestId id) {
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
