package org.celeryhill.standin;

import java.io.IOException;
import java.util.Deque;
import java.util.Optional;

import io.undertow.server.HttpServerExchange;
import org.celeryhill.base.Execution;
import org.celeryhill.http.HttpResponses;
import org.celeryhill.http.Json;
import org.xnio.IoUtils;

/**
 * Helpers for HTTP exchanges that the handlers of the stand-ins share. Stateless and
 * thread-safe.
 */
final class HttpExchanges {

	private HttpExchanges() {
	}

	/**
	 * Reads the body of a request. May only be called from a blocking handler.
	 * @param exchange the exchange, not null
	 * @return the bytes, never null
	 * @throws IOException if the body cannot be read or is too large
	 */
	static byte[] body(HttpServerExchange exchange) throws IOException {
		return exchange.getInputStream().readAllBytes();
	}

	/**
	 * Reads the body as JSON and responds with status 400 if it is malformed. May only be
	 * called from a blocking handler.
	 * @param <T> the type of the body
	 * @param exchange the exchange, not null
	 * @param type the type of the body, not null
	 * @return the body, empty if it was malformed and the response was sent
	 * @throws IOException if the body cannot be read or is too large
	 */
	static <T> Optional<T> readJson(HttpServerExchange exchange, Class<T> type) throws IOException {
		Optional<T> value = Json.read(body(exchange), type);
		if (value.isEmpty()) {
			sendBadRequest(exchange, "the body is not a " + type.getSimpleName() + " in JSON");
		}
		return value;
	}

	static void sendBadRequest(HttpServerExchange exchange, String message) {
		HttpResponses.sendError(exchange, 400, "bad_request", message, Execution.NOT_RUN);
	}

	/**
	 * Returns the first value of a query parameter.
	 * @param exchange the exchange, not null
	 * @param name the name of the parameter, not null
	 * @return the value, empty if the parameter is absent
	 */
	static String queryParameter(HttpServerExchange exchange, String name) {
		Deque<String> values = exchange.getQueryParameters().get(name);
		return (values != null) ? values.getFirst() : "";
	}

	static boolean hasMethod(HttpServerExchange exchange, String method) {
		return exchange.getRequestMethod().toString().equals(method);
	}

	/**
	 * Responds with status 503 and states that the request did not run.
	 * @param exchange the exchange, not null
	 * @param reason the reason for the message, not null
	 */
	static void sendNotRun(HttpServerExchange exchange, String reason) {
		HttpResponses.sendError(exchange, 503, "unavailable", reason, Execution.NOT_RUN);
	}

	/**
	 * Closes the connection without a response, so that the client sees a lost response
	 * and cannot know whether the request ran.
	 * @param exchange the exchange, not null
	 */
	static void dropConnection(HttpServerExchange exchange) {
		IoUtils.safeClose(exchange.getConnection());
	}

}
