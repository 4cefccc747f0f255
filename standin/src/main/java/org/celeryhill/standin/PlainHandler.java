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
import org.celeryhill.http.HttpErrors;
import org.celeryhill.http.HttpHeaderNames;
import org.celeryhill.http.HttpServerKit;
import org.celeryhill.http.WireMessages;
import org.celeryhill.port.PlainService;

/**
 * Plain service over HTTP. Thread-safe.
 */
final class PlainHandler {

	/** Longest time of a call; the stand-in has no timeout of its own. */
	private static final Duration NO_TIMEOUT = Duration.ofHours(1);

	/** Service that is served. */
	private final PlainService service;

	private PlainHandler(PlainService service) {
		this.service = service;
	}

	static void add(HttpServerKit.Builder builder, PlainService service) {
		PlainHandler handler = new PlainHandler(service);
		builder.exact("/v1/load", handler::load);
		builder.prefix("/", HttpServerKit.blocking(handler::call));
	}

	private void load(HttpServerExchange exchange) {
		PlainService.Load load = this.service.load();
		HttpErrors.sendJson(exchange, 200,
				new WireMessages.ServiceLoad(load.running(), load.capacity(), load.isLeaving()));
	}

	private void call(HttpServerExchange exchange) throws IOException {
		PlainService.CallResult result = this.service.call(toCall(exchange), NO_TIMEOUT);
		if (result instanceof PlainService.CallCompleted answer) {
			exchange.setStatusCode(answer.status());
			answer.headers().forEach((name, value) -> exchange.getResponseHeaders().put(new HttpString(name), value));
			exchange.getResponseHeaders().put(new HttpString(HttpHeaderNames.ATTEMPT), answer.attempt().value());
			exchange.getResponseSender().send(ByteBuffer.wrap(answer.body()));
		}
		else if (result instanceof PlainService.CallNotRun notRun) {
			Exchanges.sendNotRun(exchange, notRun.reason());
		}
		else {
			Exchanges.dropAnswer(exchange);
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
				exchange.getRequestMethod().toString(), path, headers, Exchanges.body(exchange));
	}

}
