package org.celeryhill.entry;

import java.util.List;
import java.util.Map;
import java.util.Objects;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.undertow.server.HttpServerExchange;
import org.celeryhill.base.Execution;
import org.celeryhill.base.RequestId;
import org.celeryhill.http.HttpResponses;
import org.celeryhill.http.HttpServer;

/**
 * HTTP pages for operators: health, readiness, metrics, state dump and the routing
 * decisions about a request. Thread-safe.
 */
final class AdminPages {

	/** Daemon that the pages describe. */
	private final EntryDaemon daemon;

	AdminPages(EntryDaemon daemon) {
		this.daemon = Objects.requireNonNull(daemon, "daemon");
	}

	/**
	 * Starts the HTTP server of the pages.
	 * @param address the IP number to listen on, not null
	 * @param port the port, 0 for any
	 * @param registry the registry of the metrics page, not null
	 * @return the running server, never null
	 * @throws IllegalStateException if the address cannot be listened on
	 */
	HttpServer start(String address, int port, PrometheusRegistry registry) {
		return HttpServer.builder("celeryhill-entry")
			.host(address)
			.port(port)
			.registry(registry)
			.readiness(this.daemon::isReady)
			.dump(this.daemon::dump)
			.addExactPath("/admin/explain", HttpServer.blocking(this::sendDecisions))
			.start();
	}

	private void sendDecisions(HttpServerExchange exchange) {
		java.util.Deque<String> values = exchange.getQueryParameters().get("request");
		if (values == null || values.getFirst().isBlank()) {
			HttpResponses.sendError(exchange, 400, "invalid_request",
					"add ?request=ID with the X-Request-Id of an answer", Execution.NOT_RUN);
			return;
		}
		RequestId id = RequestId.of(values.getFirst());
		List<String> decisions = this.daemon.dispatcher().withLock((traffic) -> traffic.explain(id));
		HttpResponses.sendJson(exchange, 200, Map.of("request", id.value(), "decisions", decisions));
	}

}
