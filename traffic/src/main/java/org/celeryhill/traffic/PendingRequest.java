package org.celeryhill.traffic;

import java.util.ArrayList;
import java.util.List;

import org.celeryhill.base.AttemptId;
import org.celeryhill.base.BackendServerId;
import org.celeryhill.config.ClassTarget;

/**
 * Request from its arrival until its last attempt has ended. Not thread-safe.
 */
final class PendingRequest {

	/**
	 * Requests waiting for a model up to which a late one takes no room that another
	 * needs: the request itself and the one to be sent next.
	 */
	private static final int MAX_UNCROWDED = 2;

	/** Request as offered or, after a retry, as retried. */
	final TrafficRequest request;

	/** Queue of the request's organisation, class and model. */
	final FlowQueue flow;

	/** Latency targets of the request's class. */
	final ClassTarget target;

	/** Position in the order of arrival. */
	final long sequence;

	/** Estimated prompt and output tokens. */
	final int cost;

	/** Estimated engine time, which is charged to the organisation and class. */
	final long engineTime;

	/** Time at which the request is refused if it still waits, in nanoseconds. */
	final long deadline;

	/** Target for the time from the arrival to the first token, in nanoseconds. */
	final long firstTokenTargetNanos;

	/** Time up to which the first token is due, which orders the requests of a class. */
	final long dueNanos;

	/** Whether the wait of the request is foreseen and reviewed. */
	final boolean isReviewed;

	/** Whether the caller has been refused before. */
	final RequestBounds.Arrival arrival;

	/** Backlog of the request's model and organisation, null before it waits. */
	private OrganisationBacklog backlog;

	/** Whether the caller has come back when it was told to. */
	boolean isHonoured;

	/** Number of requests that were to be served before this one when it joined. */
	private long aheadAtArrival;

	/** Requests that had left the backlog of the model when this one joined. */
	private long leftAtArrival;

	/** Whether no end of the wait was foreseeable at the latest review. */
	boolean isHopeless;

	/** Time of the next review, in nanoseconds. */
	long reviewNanos;

	/** State of the request in its queue. */
	State state = State.QUEUED;

	/** Whether the request is queued behind those that can still meet their target. */
	boolean isDemoted;

	/** Whether the request has been sent at least once. */
	boolean wasSent;

	/** Whether a hedge has been sent. */
	boolean isHedged;

	/** Whether an attempt has completed or was cancelled. */
	boolean isDone;

	/** Number of running attempts. */
	int running;

	/** Whether any attempt has produced output tokens. */
	boolean hasOutputTokens;

	/** Backend servers that get no further attempt of the request. */
	private List<BackendServerId> avoidedBackends = List.of();

	/**
	 * Creates a waiting request.
	 * @param request the request
	 * @param flow the queue of the request
	 * @param sequence the position in the order of arrival
	 * @param cost the estimated prompt and output tokens
	 * @param engineTime the estimated engine time
	 * @param deadline the time at which the request is refused if it still waits, in
	 * nanoseconds
	 */
	PendingRequest(TrafficRequest request, FlowQueue flow, long sequence, int cost, long engineTime, long deadline) {
		this.request = request;
		this.flow = flow;
		this.target = flow.classQueue.target;
		this.sequence = sequence;
		this.cost = cost;
		this.engineTime = engineTime;
		this.deadline = deadline;
		this.isReviewed = request.bounds().isPresent();
		this.arrival = request.bounds().map(RequestBounds::arrival).orElse(RequestBounds.Arrival.FIRST);
		this.firstTokenTargetNanos = request.bounds()
			.map(RequestBounds::firstToken)
			.orElse(this.target.firstToken())
			.toNanos();
		this.dueNanos = request.arrivedNanos() + this.firstTokenTargetNanos;
	}

	/**
	 * Returns a copy of this request for a retry. The request itself cannot be reused,
	 * because the deadline queue is sorted by the deadline and may still contain it.
	 * @param retried the request, including the part of the output delivered so far
	 * @param retriedCost the estimated tokens of the retried request
	 * @param retriedEngineTime the estimated engine time of the retried request
	 * @param now the current time in nanoseconds
	 * @return the copy; it has a new deadline if an attempt has produced output tokens
	 */
	PendingRequest copyForRetry(TrafficRequest retried, int retriedCost, long retriedEngineTime, long now) {
		long nextDeadlineNanos = this.hasOutputTokens ? now + latestStartNanos(retried, this.flow) : this.deadline;
		PendingRequest copy = new PendingRequest(retried, this.flow, this.sequence, retriedCost, retriedEngineTime,
				nextDeadlineNanos);
		copy.wasSent = true;
		copy.isHedged = this.isHedged;
		copy.avoidedBackends = this.avoidedBackends;
		return copy;
	}

	/**
	 * Returns the time from the arrival of a request after which it is not sent.
	 * @param request the request
	 * @param flow the queue of the request
	 * @return the time in nanoseconds
	 */
	static long latestStartNanos(TrafficRequest request, FlowQueue flow) {
		return request.bounds().map(RequestBounds::latestStart).orElse(flow.classQueue.target.deadline()).toNanos();
	}

	/**
	 * Counts the request in the backlog of its model and records its place.
	 * @param now the current time in nanoseconds
	 */
	void joinBacklog(long now) {
		int ordinal = this.flow.priority().ordinal();
		RouteBacklog routeBacklog = this.flow.route.backlog;
		this.aheadAtArrival = routeBacklog.countAhead(this.flow.classQueue.organisation, ordinal);
		this.backlog = routeBacklog.add(this.flow.classQueue.organisation, ordinal, now);
		this.leftAtArrival = this.backlog.countLeft(ordinal);
	}

	/** Counts the request out of the backlog of its model. */
	void leaveBacklog() {
		this.flow.route.backlog.remove(this.backlog, this.flow.priority().ordinal());
	}

	/**
	 * Returns how many requests of the organisation are probably still served before this
	 * one. The request must be waiting.
	 * @return the number
	 */
	int countAhead() {
		long left = this.backlog.countLeft(this.flow.priority().ordinal()) - this.leftAtArrival;
		return (int) Math.max(0, this.aheadAtArrival - left);
	}

	/**
	 * Returns the time up to which the request is worth sending. While others wait, one
	 * that misses its target is served in the place of another that would meet it. While
	 * hardly any wait, and for a caller that has come back as told, a late response is
	 * better than none.
	 * @return the time in nanoseconds
	 */
	long usefulUntilNanos() {
		boolean isCrowded = this.flow.route.backlog.waitingCount() > MAX_UNCROWDED;
		if (this.isHonoured || this.wasSent || !isCrowded) {
			return this.deadline;
		}
		double allowance = this.flow.classQueue.firstTokenAllowanceNanos(this.firstTokenTargetNanos) / 2;
		return Math.min(this.deadline, this.dueNanos - (long) allowance);
	}

	/**
	 * Returns whether the request would probably miss the target for the first token even
	 * if it were sent now. Always false for a retry, because its first token may have
	 * been delivered already, and for a caller that has come back as told, whose target
	 * has passed.
	 * @param now the current time in nanoseconds
	 * @return true if the target can probably not be met
	 */
	boolean willMissTarget(long now) {
		double maxWaitNanos = this.firstTokenTargetNanos
				- this.flow.classQueue.firstTokenAllowanceNanos(this.firstTokenTargetNanos);
		return !this.wasSent && !this.isHonoured && now - this.request.arrivedNanos() > maxWaitNanos;
	}

	/**
	 * Excludes a backend server from further attempts of the request.
	 * @param id the backend server
	 */
	void avoid(BackendServerId id) {
		if (this.avoidedBackends.isEmpty()) {
			this.avoidedBackends = new ArrayList<>(2);
		}
		this.avoidedBackends.add(id);
	}

	/**
	 * Returns whether a backend server is excluded from further attempts.
	 * @param id the backend server
	 * @return true if it failed the request or already runs an attempt that is being
	 * hedged
	 */
	boolean isAvoided(BackendServerId id) {
		return !this.avoidedBackends.isEmpty() && this.avoidedBackends.contains(id);
	}

	/** State of a request in its queue. */
	enum State {

		/** The request waits in its queue. */
		QUEUED,

		/**
		 * The request has left the queue to be sent; it has running attempts or may be
		 * retried.
		 */
		SENT,

		/** The request was removed from the queue without being sent. */
		REMOVED

	}

	/** One attempt to run a request on a backend server. */
	static final class Attempt {

		/** Id of the attempt. */
		final AttemptId id;

		/** Request that the attempt belongs to. */
		final PendingRequest pending;

		/** Backend server that runs the attempt. */
		final BackendState backend;

		/** When the attempt was sent, in nanoseconds. */
		final long sentNanos;

		/** Units of the backend server's limit that the attempt holds. */
		final int units;

		/** Prompt tokens that have to be prefilled before the first token. */
		final int prefillTokens;

		/**
		 * Time to the first token or response that was expected at the send of a server
		 * of average speed; in service times for a plain service, else in seconds.
		 */
		double baseTime;

		/** Number of output tokens so far. */
		int tokens;

		/** Whether the attempt has ended. */
		boolean isEnded;

		/** When the latest tokens arrived, in nanoseconds. */
		long lastTokenNanos;

		/**
		 * Creates a running attempt.
		 * @param id the id of the attempt
		 * @param pending the request
		 * @param backend the backend server
		 * @param sentNanos when the attempt was sent, in nanoseconds
		 * @param units the units of the backend server's limit that the attempt holds
		 * @param prefillTokens the prompt tokens that have to be prefilled
		 */
		Attempt(AttemptId id, PendingRequest pending, BackendState backend, long sentNanos, int units,
				int prefillTokens) {
			this.id = id;
			this.pending = pending;
			this.backend = backend;
			this.sentNanos = sentNanos;
			this.units = units;
			this.prefillTokens = prefillTokens;
		}

	}

}
