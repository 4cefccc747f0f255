package org.celeryhill.forward;

/**
 * Handles requests of callers whose body has been read completely. Called on the event
 * loop.
 */
public interface RequestHandler {

	/**
	 * Starts to handle a request.
	 * @param request the request, not null
	 * @param channel the channel for the response, not null
	 * @return the active request, which receives events of the connection; never null
	 */
	ActiveRequest handle(IncomingRequest request, ResponseChannel channel);

	/**
	 * Returns the current limits on requests.
	 * @return the limits, never null
	 */
	IngressLimits limits();

	/**
	 * Adds to the size of the responses that wait in memory for slow callers.
	 * @param bytes the size of a response that begins to wait, or the negative size of
	 * one that no longer does
	 */
	default void addUnwrittenBytes(int bytes) {
		// Handlers with short responses need no limit.
	}

	/**
	 * A request whose response is not complete. Receives events of the caller's
	 * connection.
	 */
	interface ActiveRequest {

		/**
		 * An active request that ignores all events.
		 */
		ActiveRequest NONE = new ActiveRequest() {
			@Override
			public void onCallerDisconnected() {
				// There is no work to cancel.
			}

			@Override
			public void onCallerWritable() {
				// There is no paused response to resume.
			}
		};

		/**
		 * Called when the caller's connection closes before the response is complete.
		 */
		void onCallerDisconnected();

		/**
		 * Called when the caller's connection is writable again after it was not.
		 */
		void onCallerWritable();

	}

}
