package org.celeryhill.traffic;

/**
 * Finds the queue and the estimated cost of a request.
 */
final class RequestClassifier {

	/** Tokens that a call of a plain service counts for. */
	private static final int PLAIN_COST = 100;

	private RequestClassifier() {
	}

	/**
	 * Returns the queue of a request.
	 * @param pool the service, may be null
	 * @param request the request
	 * @return the queue, null if the configuration does not allow the request
	 */
	static FlowQueue flow(ServicePool pool, TrafficRequest request) {
		if (pool == null || pool.template == null) {
			return null;
		}
		OrganisationQueue organisation = pool.queue.find(request.organisation());
		if (organisation == null || !organisation.allowed.contains(request.priority())) {
			return null;
		}
		ModelRoute route = pool.route(organisation, request);
		return (route != null) ? organisation.classes[request.priority().ordinal()].flow(route) : null;
	}

	/**
	 * Returns the estimated tokens of prompt and answer.
	 * @param pool the service
	 * @param flow the queue
	 * @param request the request
	 * @return the tokens, at least 1
	 */
	static int cost(ServicePool pool, FlowQueue flow, TrafficRequest request) {
		if (pool.isPlain()) {
			return PLAIN_COST;
		}
		double answer = request.maxTokens() * flow.parent.outputPart;
		return Math.max(1, request.promptTokens() + (int) Math.ceil(answer));
	}

}
