package org.celeryhill.entry;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.celeryhill.base.Execution;
import org.celeryhill.base.RequestId;
import org.celeryhill.traffic.TrafficAction;

/**
 * An error response. Immutable and thread-safe.
 *
 * @param code the stable error code, not null
 * @param message the cause and what the caller can do, not null
 * @param execution whether the request ran, as far as known, not null
 * @param retryAfter the time after which a retry may succeed, empty if a retry does not
 * help, not null
 */
public record ApiError(ErrorCode code, String message, Execution execution, Optional<Duration> retryAfter) {

	/** Creates an error. */
	public ApiError {
		Objects.requireNonNull(code, "code");
		Objects.requireNonNull(message, "message");
		Objects.requireNonNull(execution, "execution");
		Objects.requireNonNull(retryAfter, "retryAfter");
	}

	/**
	 * Returns an error for a request that did not run.
	 * @param code the stable error code, not null
	 * @param message the cause and what the caller can do, not null
	 * @return the error, never null
	 */
	public static ApiError notRun(ErrorCode code, String message) {
		return new ApiError(code, message, Execution.NOT_RUN, Optional.empty());
	}

	/**
	 * Returns an error for a request that may have run.
	 * @param code the stable error code, not null
	 * @param message the cause and what the caller can do, not null
	 * @param execution whether the request ran, as far as known, not null
	 * @return the error, never null
	 */
	public static ApiError of(ErrorCode code, String message, Execution execution) {
		return new ApiError(code, message, execution, Optional.empty());
	}

	/**
	 * Returns the error for a request that admission refused.
	 * @param refuse the refusal by admission, not null
	 * @param execution whether earlier attempts of the request ran, as far as known, not
	 * null
	 * @return the error, never null
	 */
	static ApiError of(TrafficAction.Refuse refuse, Execution execution) {
		String message = switch (refuse.reason()) {
			case DEADLINE -> "The deadline of the priority class cannot be met; retry after the given time.";
			case QUEUE_FULL -> "The queue of this organisation and class is full; send less or retry later.";
			case NO_BACKEND -> "No backend server can serve this now; retry after the given time.";
			case RETRIES_EXHAUSTED -> "Backend servers failed and no further attempt is allowed; retry later.";
			case NOT_CONFIGURED -> "The model or service was removed from the configuration; check its name.";
		};
		return new ApiError(ErrorCode.of(refuse.reason()), message, execution, Optional.of(refuse.retryAfter()));
	}

	/**
	 * Returns a copy with a time for the {@code Retry-After} header.
	 * @param delay the time until a retry, not null
	 * @return the copy, never null
	 */
	public ApiError withRetryAfter(Duration delay) {
		return new ApiError(this.code, this.message, this.execution, Optional.of(delay));
	}

	/**
	 * Returns the value of the {@code Retry-After} header.
	 * @return whole seconds, rounded up, at least 1, or empty if a retry does not help
	 */
	public Optional<Long> retryAfterSeconds() {
		return this.retryAfter.map((delay) -> Math.max(1, (delay.toMillis() + 999) / 1000));
	}

	/**
	 * Returns the error document.
	 * @param request the id of the failed request, not null
	 * @return the document, never null
	 */
	public ObjectNode toJson(RequestId request) {
		ObjectNode document = JsonNodeFactory.instance.objectNode();
		ObjectNode error = document.putObject("error");
		error.put("code", this.code.toCode());
		error.put("message", this.message);
		error.put("execution", this.execution.toCode());
		error.put("request_id", request.value());
		return document;
	}

}
