package org.celeryhill.measure.oddserver;

import org.celeryhill.forward.Route;

/**
 * The routes that callers use, with the form of the responses of their servers.
 */
enum RouteKind {

	/** Requests that may run more than once. */
	IDEMPOTENT(Route.Kind.IDEMPOTENT, "/many/", 2),

	/** Requests that may run once. */
	NON_IDEMPOTENT(Route.Kind.NON_IDEMPOTENT, "/once/", 1),

	/** Requests for event streams that cannot be resumed. */
	STREAM(Route.Kind.STREAM, "/stream/", 1);

	final Route.Kind kind;

	final String prefix;

	/** Largest number of runs of one request. */
	final int maxRuns;

	RouteKind(Route.Kind kind, String prefix, int maxRuns) {
		this.kind = kind;
		this.prefix = prefix;
		this.maxRuns = maxRuns;
	}

	/**
	 * Finds the kind of a request by its target.
	 * @param target the path of the request
	 * @return the kind
	 * @throws IllegalArgumentException if no route has the path
	 */
	static RouteKind ofTarget(String target) {
		for (RouteKind kind : values()) {
			if (target.startsWith(kind.prefix)) {
				return kind;
			}
		}
		throw new IllegalArgumentException("no route for " + target);
	}

}
