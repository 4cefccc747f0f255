package org.celeryhill.http;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import org.celeryhill.base.Execution;

/**
 * Sends JSON answers and error documents of the form
 * {@code {"error":{"code","message","execution"}}}. Thread-safe.
 */
public final class HttpResponses {

	/** Header that says whether a request ran. */
	private static final HttpString EXECUTION = new HttpString(HttpHeaderNames.EXECUTION);

	private HttpResponses() {
	}

	/**
	 * Sends an error document and ends the exchange.
	 * @param exchange the exchange, not null, without a started answer
	 * @param status the HTTP status
	 * @param code the machine-readable code in snake case, not null
	 * @param message what is wrong and what to do, not null
	 * @param execution whether the request ran, not null
	 */
	public static void sendError(HttpServerExchange exchange, int status, String code, String message, Execution execution) {
		Map<String, Object> error = new LinkedHashMap<>();
		error.put("code", code);
		error.put("message", message);
		error.put("execution", execution.toCode());
		exchange.getResponseHeaders().put(EXECUTION, execution.toCode());
		sendJson(exchange, status, Map.of("error", error));
	}

	/**
	 * Sends an error document with a hint when to try again.
	 * @param exchange the exchange, not null, without a started answer
	 * @param status the HTTP status
	 * @param code the machine-readable code in snake case, not null
	 * @param message what is wrong and what to do, not null
	 * @param execution whether the request ran, not null
	 * @param retryAfter the time to wait, not null; rounded up to whole seconds, at least
	 * one
	 */
	public static void sendError(HttpServerExchange exchange, int status, String code, String message, Execution execution,
			Duration retryAfter) {
		long seconds = Math.max(1, (retryAfter.toMillis() + 999) / 1000);
		exchange.getResponseHeaders().put(Headers.RETRY_AFTER, Long.toString(seconds));
		sendError(exchange, status, code, message, execution);
	}

	/**
	 * Sends a value as JSON and ends the exchange.
	 * @param exchange the exchange, not null, without a started answer
	 * @param status the HTTP status
	 * @param value the value, may be null
	 */
	public static void sendJson(HttpServerExchange exchange, int status, Object value) {
		exchange.setStatusCode(status);
		exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
		exchange.getResponseSender().send(ByteBuffer.wrap(Json.write(value)));
	}

}
