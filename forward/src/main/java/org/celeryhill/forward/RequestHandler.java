package org.celeryhill.forward;

/**
 * Handles whole requests of callers. Called on the event loop.
 */
public interface RequestHandler {

	/**
	 * Handles a request.
	 * @param request the request, not null
	 * @param channel takes the answer, not null
	 * @return handle of the running request, never null
	 */
	ActiveRequest handle(IncomingRequest request, ResponseChannel channel);

	/**
	 * Returns the bounds on requests that are in force.
	 * @return the bounds, never null
	 */
	IngressLimits limits();

	/**
	 * A request that runs.
	 */
	interface ActiveRequest {

		/**
		 * Stands for a request that needs no further notice.
		 */
		ActiveRequest NONE = new ActiveRequest() {
			@Override
			public void onCallerDisconnected() {
				// There is nothing to stop.
			}

			@Override
			public void onCallerWritable() {
				// There is nothing more to write.
			}
		};

		/**
		 * Called when the caller has gone before its answer was complete.
		 */
		void onCallerDisconnected();

		/**
		 * Called when a caller that was slow takes more of the answer.
		 */
		void onCallerWritable();

	}

}
