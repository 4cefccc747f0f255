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
	Running handle(IncomingRequest request, ResponseChannel channel);

	/**
	 * Returns the bounds on requests that are in force.
	 * @return the bounds, never null
	 */
	IngressLimits limits();

	/**
	 * A request that runs.
	 */
	interface Running {

		/**
		 * Stands for a request that needs no further notice.
		 */
		Running NONE = new Running() {
			@Override
			public void callerLeft() {
				// There is nothing to stop.
			}

			@Override
			public void callerReads() {
				// There is nothing more to write.
			}
		};

		/**
		 * Called when the caller has gone before its answer was complete.
		 */
		void callerLeft();

		/**
		 * Called when a caller that was slow takes more of the answer.
		 */
		void callerReads();

	}

}
