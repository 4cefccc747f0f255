package org.celeryhill.soak;

import java.util.Arrays;
import java.util.stream.Collectors;

/**
 * Kind of request, which has its own route.
 */
enum RequestKind {

	/** May be repeated. */
	REPEATABLE("many", "'idempotent'", Service.PLAIN, 3),

	/** Runs once at most. */
	SINGLE("once", "'non_idempotent'", Service.PLAIN, 1),

	/** Stream of events that may be resumed. */
	RESUMABLE_STREAM("stream", "'streaming','resumable':true,'gap_target_ms':500", Service.MODEL, 3),

	/** Stream of events that runs once at most. */
	SINGLE_STREAM("tell", "'streaming','gap_target_ms':500", Service.MODEL, 1);

	private static final int TIMEOUT_MILLIS = 4000;

	private final String route;

	private final String type;

	private final Service service;

	private final int maxAttempts;

	RequestKind(String route, String type, Service service, int maxAttempts) {
		this.route = route;
		this.type = type;
		this.service = service;
		this.maxAttempts = maxAttempts;
	}

	/**
	 * Returns the kind of a request.
	 * @param target the path and query, not null
	 * @return the kind, that of single requests for other paths, never null
	 */
	static RequestKind of(String target) {
		return Arrays.stream(values()).filter((kind) -> target.startsWith(kind.prefix())).findFirst().orElse(SINGLE);
	}

	String prefix() {
		return "/" + this.route + "/";
	}

	boolean isRepeatable() {
		return this.maxAttempts > 1;
	}

	boolean isStream() {
		return this.service == Service.MODEL;
	}

	/**
	 * Returns the configuration with the routes of all kinds.
	 * @return the encoded configuration, never null
	 */
	static String configuration() {
		String routes = Arrays.stream(values()).map(RequestKind::routeEntry).collect(Collectors.joining(","));
		String services = Arrays.stream(Service.values()).map(Service::definition).collect(Collectors.joining(","));
		return ("{'version':1,'routes':[" + routes + "],'services':[" + services + "],'limits':{"
				+ "'max_header_bytes':16384,'max_body_bytes':4194304,'header_timeout_ms':5000,"
				+ "'idle_timeout_ms':10000}}")
			.replace('\'', '"');
	}

	private String routeEntry() {
		return "{'name':'" + this.route + "','host':'" + Site.HOST + "','path_prefix':'" + prefix() + "','service':'"
				+ this.service.serviceName() + "','type':" + this.type + ",'timeout_ms':" + TIMEOUT_MILLIS
				+ ",'target_latency_ms':200,'priority':2,'max_attempts':" + this.maxAttempts + "}";
	}

}
