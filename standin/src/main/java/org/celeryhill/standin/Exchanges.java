package org.celeryhill.standin;

import java.io.IOException;
import java.util.Deque;
import java.util.Optional;

import io.undertow.server.HttpServerExchange;
import org.celeryhill.base.Execution;
import org.celeryhill.http.HttpErrors;
import org.celeryhill.http.Json;
import org.xnio.IoUtils;

/**
 * Helpers that the handlers of the stand-ins share. Thread-safe.
 */
final class Exchanges {

	private Exchanges() {
	}

	/**
	 * Reads the body of a request. Only for blocking handlers.
	 * @param exchange the exchange, not null
	 * @return the bytes, never null
	 * @throws IOException if the body cannot be read or is too large
	 */
	static byte[] body(HttpServerExchange exchange) throws IOException {
		return exchange.getInputStream().readAllBytes();
	}

	/**
	 * Reads the body as JSON and answers with status 400 if it is malformed. Only for
	 * blocking handlers.
	 * @param <T> the type of the body
	 * @param exchange the exchange, not null
	 * @param type the type of the body, not null
	 * @return the body, or empty if the answer was sent
	 * @throws IOException if the body cannot be read or is too large
	 */
	static <T> Optional<T> json(HttpServerExchange exchange, Class<T> type) throws IOException {
		Optional<T> value = Json.read(body(exchange), type);
		if (value.isEmpty()) {
			sendBadRequest(exchange, "the body is not a " + type.getSimpleName() + " in JSON");
		}
		return value;
	}

	static void sendBadRequest(HttpServerExchange exchange, String message) {
		HttpErrors.send(exchange, 400, "bad_request", message, Execution.NOT_RUN);
	}

	static String query(HttpServerExchange exchange, String name) {
		Deque<String> values = exchange.getQueryParameters().get(name);
		return (values != null) ? values.getFirst() : "";
	}

	static boolean isMethod(HttpServerExchange exchange, String method) {
		return exchange.getRequestMethod().toString().equals(method);
	}

	/**
	 * Refuses a request before it ran.
	 * @param exchange the exchange, not null
	 * @param reason why, not null
	 */
	static void sendNotRun(HttpServerExchange exchange, String reason) {
		HttpErrors.send(exchange, 503, "unavailable", reason, Execution.NOT_RUN);
	}

	/**
	 * Closes the connection without an answer, as a lost answer looks to the client.
	 * @param exchange the exchange, not null
	 */
	static void dropAnswer(HttpServerExchange exchange) {
		IoUtils.safeClose(exchange.getConnection());
	}

}
