package org.celeryhill.standin;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderValues;
import io.undertow.util.HttpString;
import org.celeryhill.base.AttemptId;
import org.celeryhill.http.HttpHeaderNames;
import org.celeryhill.http.HttpResponses;
import org.celeryhill.http.HttpServer;
import org.celeryhill.http.WireMessages;
import org.celeryhill.port.PlainService;

/**
 * HTTP handlers of a stand-in plain service. Thread-safe.
 */
final class PlainServiceHandlers {

	/** Effectively no timeout, as the stand-in does not time out calls itself. */
	private static final Duration CALL_TIMEOUT = Duration.ofHours(1);

	/** Service that handles the requests. */
	private final PlainService service;

	private PlainServiceHandlers(PlainService service) {
		this.service = service;
	}

	static void addRoutes(HttpServer.Builder builder, PlainService service) {
		PlainServiceHandlers handler = new PlainServiceHandlers(service);
		builder.addExactPath("/v1/load", handler::load);
		builder.addPrefixPath("/", HttpServer.blocking(handler::handleCall));
	}

	private void load(HttpServerExchange exchange) {
		PlainService.Load load = this.service.load();
		HttpResponses.sendJson(exchange, 200,
				new WireMessages.ServiceLoad(load.running(), load.capacity(), load.isLeaving()));
	}

	private void handleCall(HttpServerExchange exchange) throws IOException {
		PlainService.CallResult result = this.service.call(toCall(exchange), CALL_TIMEOUT);
		if (result instanceof PlainService.CallCompleted response) {
			exchange.setStatusCode(response.status());
			response.headers().forEach((name, value) -> exchange.getResponseHeaders().put(new HttpString(name), value));
			exchange.getResponseHeaders().put(new HttpString(HttpHeaderNames.ATTEMPT), response.attempt().value());
			exchange.getResponseSender().send(ByteBuffer.wrap(response.body()));
		}
		else if (result instanceof PlainService.CallNotRun notRun) {
			HttpExchanges.sendNotRun(exchange, notRun.reason());
		}
		else {
			HttpExchanges.dropConnection(exchange);
		}
	}

	private static PlainService.Call toCall(HttpServerExchange exchange) throws IOException {
		Map<String, String> headers = new HashMap<>();
		for (HeaderValues values : exchange.getRequestHeaders()) {
			headers.put(values.getHeaderName().toString(), values.getFirst());
		}
		String attempt = exchange.getRequestHeaders().getFirst(HttpHeaderNames.ATTEMPT);
		String query = exchange.getQueryString();
		String path = query.isEmpty() ? exchange.getRequestPath() : exchange.getRequestPath() + "?" + query;
		return new PlainService.Call(AttemptId.of((attempt != null) ? attempt : "none"),
				exchange.getRequestMethod().toString(), path, headers, HttpExchanges.body(exchange));
	}

}
