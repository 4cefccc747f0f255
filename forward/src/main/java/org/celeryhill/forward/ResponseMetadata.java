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
 * if it sent none that can be read
 * @param oddLoad the beginning of a stated load that can be read in part only, or not at
 * all, not null; empty otherwise
 * @param isLeaving whether the backend server states that it is about to end
 * @param pause the time for which the backend server wants no requests of this host, not
 * null; empty if it sent none
 */
public record ResponseMetadata(Optional<String> attemptId, boolean isSigned, boolean isNotExecuted, Optional<Load> load,
		Optional<String> oddLoad, boolean isLeaving, Optional<Duration> pause) {

	/**
	 * Creates response values.
	 */
	public ResponseMetadata {
		Objects.requireNonNull(attemptId, "attemptId");
		Objects.requireNonNull(load, "load");
		Objects.requireNonNull(oddLoad, "oddLoad");
		Objects.requireNonNull(pause, "pause");
	}

	/**
	 * The load of a backend server.
	 *
	 * @param running the number of running requests, not negative
	 * @param queued the number of queued requests, not negative; 0 if unknown
	 * @param slots the number of requests that can run concurrently, not negative; 0 if
	 * unknown
	 * @param pace how long work takes on the server's machine at this moment, in percent
	 * of the usual time, positive; {@link #USUAL_PACE} if unknown
	 */
	public record Load(int running, int queued, int slots, int pace) {

		/** Pace of a machine on which work takes as long as usual, in percent. */
		public static final int USUAL_PACE = 100;

		/**
		 * Creates a load.
		 * @throws IllegalArgumentException if a number is negative or the pace is not
		 * positive
		 */
		public Load {
			if (running < 0 || queued < 0 || slots < 0 || pace <= 0) {
				throw new IllegalArgumentException("load must not be negative and pace must be positive");
			}
		}

		/**
		 * Creates a load of a server that does not state its pace.
		 * @param running the number of running requests, not negative
		 * @param queued the number of queued requests, not negative
		 * @param slots the number of requests that can run concurrently, not negative
		 */
		public Load(int running, int queued, int slots) {
			this(running, queued, slots, USUAL_PACE);
		}

	}

}
