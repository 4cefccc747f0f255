package org.celeryhill.entry;

import java.util.Locale;

import org.celeryhill.traffic.TrafficAction;

/**
 * Stable codes of error responses, with their HTTP status. Immutable and thread-safe.
 */
public enum ErrorCode {

	/** The body is not a JSON object. */
	INVALID_JSON(400),

	/** A field or header has a value that is not allowed. */
	INVALID_REQUEST(400),

	/** A non-idempotent call has no valid {@code Idempotency-Key}. */
	IDEMPOTENCY_KEY_REQUIRED(400),

	/** The {@code Last-Event-ID} was not issued by this system or is damaged. */
	INVALID_EVENT_ID(400),

	/** The API key is missing or belongs to no organisation. */
	UNAUTHENTICATED(401),

	/** The organisation may not use the priority class. */
	PRIORITY_NOT_ALLOWED(403),

	/** The path does not exist. */
	NOT_FOUND(404),

	/** The organisation has no such model. */
	MODEL_NOT_FOUND(404),

	/** The organisation has no such service. */
	SERVICE_NOT_FOUND(404),

	/** The path does not support the method. */
	METHOD_NOT_ALLOWED(405),

	/** The body did not arrive in time. */
	REQUEST_TIMEOUT(408),

	/** Another call with the same idempotency key is still running. */
	CALL_IN_PROGRESS(409),

	/**
	 * The stream cannot be read any more: its engine no longer holds it, or another
	 * connection resumed it.
	 */
	STREAM_NOT_RESUMABLE(410),

	/** The body is longer than the limit. */
	BODY_TOO_LARGE(413),

	/** Path and headers are longer than the limit. */
	HEAD_TOO_LARGE(431),

	/** The idempotency key was used before with another request. */
	IDEMPOTENCY_KEY_REUSED(422),

	/** The queue of the organisation and class is full. */
	QUEUE_FULL(429),

	/** An unexpected error occurred in this daemon. */
	INTERNAL(500),

	/** A backend server failed and no other one could continue the request. */
	BACKEND_FAILED(502),

	/** A repeated generation differs from the text that was delivered before. */
	STREAM_DIVERGED(502),

	/** The outcome of the non-idempotent call cannot be determined. */
	OUTCOME_UNKNOWN(502),

	/** The call ran, but its response is too large to be stored for repeated requests. */
	OUTCOME_NOT_STORED(502),

	/** The deadline of the priority class cannot be met. */
	DEADLINE(503),

	/** No backend server can serve the request now. */
	NO_BACKEND(503),

	/** Attempts failed and the retry budget or the number of attempts is used up. */
	RETRIES_EXHAUSTED(503),

	/** The organisation, service or model was removed from the configuration. */
	NOT_CONFIGURED(503),

	/** The table service cannot be reached. */
	STORE_UNAVAILABLE(503),

	/** The daemon has no configuration yet. */
	STARTING(503),

	/** The daemon is stopping. */
	SHUTTING_DOWN(503),

	/** The daemon has reached its limit of requests, held bytes or worker threads. */
	OVERLOADED(503),

	/** The backend server did not respond in time. */
	BACKEND_TIMEOUT(504);

	/** HTTP status of the response. */
	private final int status;

	ErrorCode(int status) {
		this.status = status;
	}

	/**
	 * Returns the HTTP status of the response.
	 * @return the status code
	 */
	public int status() {
		return this.status;
	}

	/**
	 * Returns the code used in error documents and metrics.
	 * @return the lower-case name, never null
	 */
	public String toCode() {
		return name().toLowerCase(Locale.ROOT);
	}

	/**
	 * Returns the code for a request that admission refused.
	 * @param reason the reason of the refusal, not null
	 * @return the code, never null
	 */
	static ErrorCode of(TrafficAction.Reason reason) {
		return switch (reason) {
			case DEADLINE -> DEADLINE;
			case QUEUE_FULL -> QUEUE_FULL;
			case NO_BACKEND -> NO_BACKEND;
			case RETRIES_EXHAUSTED -> RETRIES_EXHAUSTED;
			case NOT_CONFIGURED -> NOT_CONFIGURED;
		};
	}

}
