package org.celeryhill.port;

import java.time.Duration;
import java.util.Map;
import java.util.Objects;

import org.celeryhill.base.AttemptId;
import org.celeryhill.base.BackendServerId;

/**
 * One backend server of a plain service, or the legacy serving system. Implementations
 * are thread-safe and never throw for a failure of the server or the network.
 */
public interface PlainService {

	/**
	 * Returns the id of the backend server.
	 * @return the id, never null
	 */
	BackendServerId id();

	/**
	 * Sends one call and waits for the complete response.
	 * @param call the call, not null
	 * @param timeout the longest wait, not null
	 * @return the outcome
	 */
	CallResult call(Call call, Duration timeout);

	/**
	 * Asks the server for its load. Blocks up to the timeout of the implementation.
	 * @return the load; {@link Load#isReachable()} is false if the server did not respond
	 */
	Load load();

	/**
	 * A call to a plain service.
	 *
	 * @param attempt the unique id of this attempt, not null
	 * @param method the HTTP method, not null
	 * @param path the path below the service with its query, not null
	 * @param headers the headers to send, not null
	 * @param body the body, not null, may be empty; not copied
	 */
	record Call(AttemptId attempt, String method, String path, Map<String, String> headers, byte[] body) {

		/** Creates a call and copies the headers. */
		public Call {
			Objects.requireNonNull(attempt, "attempt");
			Objects.requireNonNull(method, "method");
			Objects.requireNonNull(path, "path");
			Objects.requireNonNull(body, "body");
			headers = Map.copyOf(headers);
		}

	}

	/** Result of a call. */
	sealed interface CallResult permits CallCompleted, CallNotRun, CallUnknown {

	}

	/**
	 * The server responded with any status, so the call ran.
	 *
	 * @param attempt the attempt that the response names, not null
	 * @param status the HTTP status
	 * @param headers the headers of the response, not null
	 * @param body the body, not null; not copied
	 */
	record CallCompleted(AttemptId attempt, int status, Map<String, String> headers,
			byte[] body) implements CallResult {

		/** Creates a result and copies the headers. */
		public CallCompleted {
			headers = Map.copyOf(headers);
		}

	}

	/**
	 * The call did not run and will not run: no byte was sent, or the server refused the
	 * call before running it.
	 *
	 * @param reason a short text for logs, not null
	 */
	record CallNotRun(String reason) implements CallResult {

	}

	/**
	 * The call may have run.
	 *
	 * @param reason a short text for logs, not null
	 */
	record CallUnknown(String reason) implements CallResult {

	}

	/**
	 * Load of a plain service.
	 *
	 * @param isReachable whether the server responded
	 * @param running the number of running calls
	 * @param capacity the number of calls that can run at the same time
	 * @param isLeaving whether the server is leaving and must not get new work
	 */
	record Load(boolean isReachable, int running, int capacity, boolean isLeaving) {

	}

}
