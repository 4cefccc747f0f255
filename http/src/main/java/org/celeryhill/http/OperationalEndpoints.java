package org.celeryhill.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.PathHandler;
import io.undertow.util.Headers;

/**
 * Endpoints for operators and the platform: health, readiness, metrics and state dump.
 * Thread-safe.
 */
final class OperationalEndpoints {

	/** Whether the process can accept requests. */
	private final BooleanSupplier readiness;

	/** Supplies the state that {@code /admin/dump} returns. */
	private final Supplier<Map<String, Object>> dump;

	private final PrometheusRegistry registry;

	private final PrometheusTextFormatWriter writer = PrometheusTextFormatWriter.create();

	OperationalEndpoints(BooleanSupplier readiness, Supplier<Map<String, Object>> dump, PrometheusRegistry registry) {
		this.readiness = readiness;
		this.dump = dump;
		this.registry = registry;
	}

	PathHandler registerOn(PathHandler paths) {
		return paths.addExactPath("/healthz", (exchange) -> sendText(exchange, 200, "ok\n"))
			.addExactPath("/readyz", this::sendReadiness)
			.addExactPath("/metrics", HttpServer.blocking(this::sendMetrics))
			.addExactPath("/admin/dump",
					HttpServer.blocking((exchange) -> HttpResponses.sendJson(exchange, 200, this.dump.get())));
	}

	private void sendReadiness(HttpServerExchange exchange) {
		boolean isReady = this.readiness.getAsBoolean();
		sendText(exchange, isReady ? 200 : 503, isReady ? "ready\n" : "not ready\n");
	}

	private void sendMetrics(HttpServerExchange exchange) throws IOException {
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		this.writer.write(out, this.registry.scrape());
		exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, this.writer.getContentType());
		exchange.getResponseSender().send(ByteBuffer.wrap(out.toByteArray()));
	}

	private static void sendText(HttpServerExchange exchange, int status, String text) {
		exchange.setStatusCode(status);
		exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/plain");
		exchange.getResponseSender().send(text);
	}

}
