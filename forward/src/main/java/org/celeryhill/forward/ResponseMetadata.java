package org.celeryhill.forward;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * Values decoded from the headers of a backend server's response. Immutable and
 * thread-safe.
 *
 * @param attemptId the id of the attempt that the backend server echoes, not null; empty
 * if it sent none
 * @param isSigned whether the response carries the signature of the backend server
 * @param isNotExecuted whether the backend server states that it did not execute the
 * request
 * @param load the load of the backend server at the time of the response, not null; empty
 * if it sent none
 * @param isLeaving whether the backend server states that it is about to end
 * @param pause the time for which the backend server wants no requests of this host, not
 * null; empty if it sent none
 */
public record ResponseMetadata(Optional<String> attemptId, boolean isSigned, boolean isNotExecuted, Optional<Load> load,
		boolean isLeaving, Optional<Duration> pause) {

	/**
	 * Creates response values.
	 */
	public ResponseMetadata {
		Objects.requireNonNull(attemptId, "attemptId");
		Objects.requireNonNull(load, "load");
		Objects.requireNonNull(pause, "pause");
	}

	/**
	 * The load of a backend server.
	 *
	 * @param running the number of running requests
	 * @param queued the number of queued requests
	 * @param slots the number of requests that can run concurrently
	 */
	public record Load(int running, int queued, int slots) {
	}

}
