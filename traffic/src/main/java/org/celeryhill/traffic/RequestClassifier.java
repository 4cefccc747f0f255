package org.celeryhill.traffic;

/**
 * Selects the queue of a request and estimates its cost.
 */
final class RequestClassifier {

	/** Cost of a call of a plain service, in tokens. */
	private static final int PLAIN_CALL_COST_TOKENS = 100;

	/**
	 * Engine time of an output token in prompt tokens. A prompt is read in chunks of many
	 * tokens a step, while each step makes one token of every running request.
	 */
	private static final double OUTPUT_TOKEN_COST = 8;

	private RequestClassifier() {
	}

	/**
	 * Returns the queue of a request.
	 * @param pool the service, may be null
	 * @param request the request
	 * @return the queue, null if the configuration does not allow the request
	 */
	static FlowQueue selectQueue(ServicePool pool, TrafficRequest request) {
		if (pool == null || pool.template == null) {
			return null;
		}
		OrganisationQueue organisation = pool.queue.find(request.organisation());
		if (organisation == null || !organisation.allowedClasses.contains(request.priority())) {
			return null;
		}
		ModelRoute route = pool.route(organisation, request);
		return (route != null) ? organisation.classes[request.priority().ordinal()].getOrCreateFlow(route) : null;
	}

	/**
	 * Estimates the cost of a request as the prompt and output tokens.
	 * @param pool the service
	 * @param flow the queue of the request
	 * @param request the request
	 * @return the cost in tokens, at least 1
	 */
	static int estimateCost(ServicePool pool, FlowQueue flow, TrafficRequest request) {
		if (pool.isPlain()) {
			return PLAIN_CALL_COST_TOKENS;
		}
		double outputTokens = request.maxTokens() * flow.classQueue.outputFraction;
		return Math.max(1, request.promptTokens() + (int) Math.ceil(outputTokens));
	}

	/**
	 * Estimates the engine time of a request.
	 * @param pool the service
	 * @param flow the queue of the request
	 * @param request the request
	 * @return the time that as many prompt tokens take, at least 1
	 */
	static long estimateEngineTime(ServicePool pool, FlowQueue flow, TrafficRequest request) {
		if (pool.isPlain()) {
			return PLAIN_CALL_COST_TOKENS;
		}
		double outputTokens = request.maxTokens() * flow.classQueue.outputFraction;
		return Math.max(1, request.promptTokens() + Math.round(OUTPUT_TOKEN_COST * outputTokens));
	}

}
