package org.celeryhill.traffic;

import java.util.ArrayList;
import java.util.List;

import org.celeryhill.base.AttemptId;
import org.celeryhill.base.BackendServerId;
import org.celeryhill.config.ClassTarget;

/**
 * A request from its arrival until its last attempt has ended. Not thread-safe.
 */
final class PendingRequest {

	/** Request as last offered. */
	final TrafficRequest request;

	/** Queue of its organisation, class and model. */
	final FlowQueue flow;

	/** Targets of its class. */
	final ClassTarget target;

	/** Position in the order of arrival. */
	final long sequence;

	/** Estimated tokens of prompt and answer. */
	final int cost;

	/** When it is refused unless it has been sent, in nanoseconds. */
	final long deadline;

	/** State in the queue. */
	State state = State.QUEUED;

	/** Whether it waits behind the requests that can meet their target. */
	boolean isDemoted;

	/** Whether it was ever sent. */
	boolean isSent;

	/** Whether a hedge was sent. */
	boolean isHedged;

	/** Whether an attempt completed or was cancelled. */
	boolean isDone;

	/** Attempts running now. */
	int running;

	/** Whether an attempt has produced tokens. */
	boolean isAnswering;

	/** Backend servers that failed it, in order. */
	private List<BackendServerId> avoided = List.of();

	/**
	 * Creates a request.
	 * @param request the request
	 * @param flow the queue
	 * @param sequence the position in the order of arrival
	 * @param cost the estimated tokens
	 * @param deadline when it is refused unless it has been sent, in nanoseconds
	 */
	PendingRequest(TrafficRequest request, FlowQueue flow, long sequence, int cost, long deadline) {
		this.request = request;
		this.flow = flow;
		this.target = flow.parent.target;
		this.sequence = sequence;
		this.cost = cost;
		this.deadline = deadline;
	}

	/**
	 * Returns the request for another attempt. A copy is needed because the deadline is a
	 * key of the deadline queue, where the former entry may still be.
	 * @param next the request with what has been delivered so far
	 * @param nextCost the estimated tokens
	 * @param now the time in nanoseconds
	 * @return the copy; its deadline starts anew if an answer had begun
	 */
	PendingRequest again(TrafficRequest next, int nextCost, long now) {
		long until = this.isAnswering ? now + this.target.deadline().toNanos() : this.deadline;
		PendingRequest copy = new PendingRequest(next, this.flow, this.sequence, nextCost, until);
		copy.isSent = true;
		copy.isHedged = this.isHedged;
		copy.avoided = this.avoided;
		return copy;
	}

	/**
	 * Returns whether the target for the first token can no longer be met. A retry is
	 * never late, its first token may have been delivered already.
	 * @param now the time in nanoseconds
	 * @return true if it would probably miss the target even if it were sent now
	 */
	boolean isLate(long now) {
		double left = this.target.firstToken().toNanos() - this.flow.parent.startNanos();
		return !this.isSent && now - this.request.arrivedNanos() > left;
	}

	/**
	 * Adds a backend server that gets no further attempt.
	 * @param id the backend server
	 */
	void avoid(BackendServerId id) {
		if (this.avoided.isEmpty()) {
			this.avoided = new ArrayList<>(2);
		}
		this.avoided.add(id);
	}

	/**
	 * Returns whether a backend server gets no attempt.
	 * @param id the backend server
	 * @return true if it failed the request before
	 */
	boolean isAvoided(BackendServerId id) {
		return !this.avoided.isEmpty() && this.avoided.contains(id);
	}

	/** State of a request. */
	enum State {

		/** Waits in its queue. */
		QUEUED,

		/** Has attempts or may be retried. */
		SENT,

		/** Is gone from the queue. */
		REMOVED

	}

	/** One attempt of a request. */
	static final class Attempt {

		/** Id of the attempt. */
		final AttemptId id;

		/** Request it belongs to. */
		final PendingRequest pending;

		/** Backend server it runs on. */
		final BackendState backend;

		/** When it was sent, in nanoseconds. */
		final long sent;

		/** Units of the backend server's limit that it holds. */
		final int units;

		/** Prompt tokens to prefill until the first token. */
		final int prefill;

		/** Tokens of the answer so far. */
		int tokens;

		/** Whether it has ended. */
		boolean isEnded;

		/** When tokens arrived last, in nanoseconds. */
		long updated;

		/**
		 * Creates an attempt.
		 * @param id the id
		 * @param pending the request
		 * @param backend the backend server
		 * @param sent when it was sent, in nanoseconds
		 * @param units the units of the limit
		 * @param prefill the prompt tokens to prefill
		 */
		Attempt(AttemptId id, PendingRequest pending, BackendState backend, long sent, int units, int prefill) {
			this.id = id;
			this.pending = pending;
			this.backend = backend;
			this.sent = sent;
			this.units = units;
			this.prefill = prefill;
		}

	}

}
