package org.celeryhill.traffic;

import java.time.Duration;

import org.celeryhill.base.BackendServerId;

/**
 * Receives an event when this daemon begins or ends to regard a backend server as suspect
 * or paused. Such a backend server gets no requests. Called by the thread that calls the
 * controller.
 */
public interface AvailabilityListener {

	/**
	 * A listener that ignores all events.
	 */
	AvailabilityListener NONE = new AvailabilityListener() {
		@Override
		public void onSuspected(BackendServerId backend, int failures, Duration duration) {
			// Availability is not observed.
		}

		@Override
		public void onReadmitted(BackendServerId backend) {
			// Availability is not observed.
		}

		@Override
		public void onPaused(BackendServerId backend, Duration pause) {
			// Availability is not observed.
		}

		@Override
		public void onResumed(BackendServerId backend) {
			// Availability is not observed.
		}
	};

	/**
	 * Called when a backend server becomes suspect after failures.
	 * @param backend the backend server, not null
	 * @param failures the number of failures in a row
	 * @param duration the least time without requests, not null
	 */
	void onSuspected(BackendServerId backend, int failures, Duration duration);

	/**
	 * Called when a backend server may get requests again.
	 * @param backend the backend server, not null
	 */
	void onReadmitted(BackendServerId backend);

	/**
	 * Called when a backend server gets no requests because it asked for that.
	 * @param backend the backend server, not null
	 * @param pause the time from now, not null
	 */
	void onPaused(BackendServerId backend, Duration pause);

	/**
	 * Called when the pause of a backend server is over.
	 * @param backend the backend server, not null
	 */
	void onResumed(BackendServerId backend);

}
