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
 * Sends JSON responses, including error documents of the form
 * {@code {"error":{"code","message","execution"}}}. Thread-safe.
 */
public final class HttpResponses {

	/** Header that states whether the request ran. */
	private static final HttpString EXECUTION = new HttpString(HttpHeaderNames.EXECUTION);

	private HttpResponses() {
	}

	/**
	 * Sends an error document with the header {@code X-Execution} and ends the exchange.
	 * @param exchange the exchange, not null, whose response has not been started
	 * @param status the HTTP status
	 * @param code the machine-readable error code in snake case, not null
	 * @param message a description of the error and how to resolve it, not null
	 * @param execution whether the request ran, not null
	 */
	public static void sendError(HttpServerExchange exchange, int status, String code, String message,
			Execution execution) {
		Map<String, Object> error = new LinkedHashMap<>();
		error.put("code", code);
		error.put("message", message);
		error.put("execution", execution.toCode());
		exchange.getResponseHeaders().put(EXECUTION, execution.toCode());
		sendJson(exchange, status, Map.of("error", error));
	}

	/**
	 * Sends an error document with the headers {@code X-Execution} and
	 * {@code Retry-After} and ends the exchange.
	 * @param exchange the exchange, not null, whose response has not been started
	 * @param status the HTTP status
	 * @param code the machine-readable error code in snake case, not null
	 * @param message a description of the error and how to resolve it, not null
	 * @param execution whether the request ran, not null
	 * @param retryAfter the time after which the caller may retry, not null; rounded up
	 * to whole seconds, at least one
	 */
	public static void sendError(HttpServerExchange exchange, int status, String code, String message,
			Execution execution, Duration retryAfter) {
		long seconds = Math.max(1, (retryAfter.toMillis() + 999) / 1000);
		exchange.getResponseHeaders().put(Headers.RETRY_AFTER, Long.toString(seconds));
		sendError(exchange, status, code, message, execution);
	}

	/**
	 * Sends a value as JSON and ends the exchange.
	 * @param exchange the exchange, not null, whose response has not been started
	 * @param status the HTTP status
	 * @param value the value to serialise, may be null
	 */
	public static void sendJson(HttpServerExchange exchange, int status, Object value) {
		exchange.setStatusCode(status);
		exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
		exchange.getResponseSender().send(ByteBuffer.wrap(Json.write(value)));
	}

}
