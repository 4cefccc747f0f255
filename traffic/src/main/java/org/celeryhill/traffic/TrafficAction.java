package org.celeryhill.traffic;

import java.time.Duration;
import java.util.Objects;

import org.celeryhill.base.AttemptId;
import org.celeryhill.base.BackendServerId;
import org.celeryhill.base.RequestId;

/**
 * Action that the data path has to carry out for a request.
 */
public sealed interface TrafficAction permits TrafficAction.Send, TrafficAction.Refuse {

	/**
	 * Returns the request that the action is for.
	 * @return the request, never null
	 */
	RequestId request();

	/**
	 * Sends the request to a backend server now.
	 *
	 * @param request the request, not null
	 * @param attempt the id of the new attempt, not null
	 * @param backend the backend server, not null
	 * @param isHedge whether another attempt of the request is already running
	 */
	record Send(RequestId request, AttemptId attempt, BackendServerId backend,
			boolean isHedge) implements TrafficAction {

		/** Creates a send action. */
		public Send {
			Objects.requireNonNull(request, "request");
			Objects.requireNonNull(attempt, "attempt");
			Objects.requireNonNull(backend, "backend");
		}

	}

	/**
	 * Refuses the request. No attempt of it is running.
	 *
	 * @param request the request, not null
	 * @param reason why the request is refused, not null
	 * @param retryAfter the time after which the caller may try again, not null
	 */
	record Refuse(RequestId request, Reason reason, Duration retryAfter) implements TrafficAction {

		/** Creates a refusal. */
		public Refuse {
			Objects.requireNonNull(request, "request");
			Objects.requireNonNull(reason, "reason");
			Objects.requireNonNull(retryAfter, "retryAfter");
		}

	}

	/** Reason for a refusal. */
	enum Reason {

		/** The request cannot start before the deadline of its priority class. */
		DEADLINE,

		/** The queue of the organisation and priority class is full. */
		QUEUE_FULL,

		/** No backend server can currently serve the model or service. */
		NO_BACKEND,

		/**
		 * The request may not be sent again, the retry budget is used up, or no other
		 * backend server is left.
		 */
		RETRIES_EXHAUSTED,

		/**
		 * The configuration does not contain the organisation, service, model or priority
		 * class.
		 */
		NOT_CONFIGURED;

		/**
		 * Returns the code used in error documents and metrics.
		 * @return the name in lower case, never null
		 */
		public String toCode() {
			return name().toLowerCase(java.util.Locale.ROOT);
		}

	}

}
