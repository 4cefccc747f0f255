package org.celeryhill.entry;

import java.util.Objects;

/**
 * Rejects a request with an error response before anything is sent to a backend server.
 */
final class ApiException extends Exception {

	private static final long serialVersionUID = 1L;

	/** Error to report to the caller. */
	private final transient ApiError error;

	ApiException(ApiError error) {
		super(Objects.requireNonNull(error, "error").message(), null, false, false);
		this.error = error;
	}

	static ApiException notRun(ErrorCode code, String message) {
		return new ApiException(ApiError.notRun(code, message));
	}

	ApiError error() {
		return this.error;
	}

}
