package org.celeryhill.traffic;

import java.time.Duration;
import java.util.Objects;

import org.celeryhill.base.AttemptId;
import org.celeryhill.base.BackendServerId;
import org.celeryhill.base.RequestId;

/**
 * What the data path is to do with a request.
 */
public sealed interface TrafficAction permits TrafficAction.Send, TrafficAction.Refuse {

	/**
	 * Returns the request.
	 * @return the request, never null
	 */
	RequestId request();

	/**
	 * Send the request to a backend server now.
	 *
	 * @param request the request, not null
	 * @param attempt the id for this attempt, not null
	 * @param backend the backend server, not null
	 * @param isHedge whether another attempt of the request runs already
	 */
	record Send(RequestId request, AttemptId attempt, BackendServerId backend,
			boolean isHedge) implements TrafficAction {

		/** Creates an action. */
		public Send {
			Objects.requireNonNull(request, "request");
			Objects.requireNonNull(attempt, "attempt");
			Objects.requireNonNull(backend, "backend");
		}

	}

	/**
	 * Refuse the request. No attempt of it runs.
	 *
	 * @param request the request, not null
	 * @param reason why, not null
	 * @param retryAfter when the caller may try again, not null
	 */
	record Refuse(RequestId request, Reason reason, Duration retryAfter) implements TrafficAction {

		/** Creates an action. */
		public Refuse {
			Objects.requireNonNull(request, "request");
			Objects.requireNonNull(reason, "reason");
			Objects.requireNonNull(retryAfter, "retryAfter");
		}

	}

	/** Why a request is refused. */
	enum Reason {

		/** The deadline of the priority class cannot be met. */
		DEADLINE,

		/** The queue of the organisation and class is full. */
		QUEUE_FULL,

		/** No backend server can serve the model or service now. */
		NO_BACKEND,

		/** The retry budget is used up or no other backend server is left. */
		RETRIES_EXHAUSTED,

		/** The configuration does not know the organisation, service or model. */
		NOT_CONFIGURED;

		/**
		 * Returns the code used in error documents and metrics.
		 * @return the lower-case name, never null
		 */
		public String toCode() {
			return name().toLowerCase(java.util.Locale.ROOT);
		}

	}

}
