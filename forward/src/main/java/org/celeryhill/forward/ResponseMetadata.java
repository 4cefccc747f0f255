package org.celeryhill.forward;

import java.util.Objects;
import java.util.Optional;

/**
 * What the headers of a backend server's answer say to this system. Immutable and
 * thread-safe.
 *
 * @param attemptId the id that the backend server echoes
 * @param isSigned whether the answer bears the backend server's signature
 * @param isNotExecuted whether the backend server states that it did not run the request
 * @param load the load of the backend server when it answered
 */
public record ResponseMetadata(Optional<String> attemptId, boolean isSigned, boolean isNotExecuted, Optional<Load> load) {

	/**
	 * Checks the arguments.
	 */
	public ResponseMetadata {
		Objects.requireNonNull(attemptId, "attemptId");
		Objects.requireNonNull(load, "load");
	}

	/**
	 * The load of a backend server.
	 *
	 * @param running the requests that run
	 * @param queued the requests that wait
	 * @param slots the requests that can run at once
	 */
	public record Load(int running, int queued, int slots) {
	}

}
