package org.celeryhill.entry;

import java.nio.ByteBuffer;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicBoolean;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import org.celeryhill.base.EventLog;
import org.celeryhill.base.RequestId;

/**
 * One HTTP exchange with a caller. Exactly one answer is given, later ones are ignored.
 * The answer may be given on any thread; it is written on the I/O thread of the
 * connection. Thread-safe.
 */
final class ApiExchange {

	/** Header with the request id. */
	static final HttpString REQUEST_ID = HttpString.tryFromString("X-Request-Id");

	/** Log of this class. */
	private static final EventLog LOG = EventLog.of(ApiExchange.class);

	/** Writes JSON. */
	private static final ObjectMapper JSON = new ObjectMapper();

	/** Code in metrics of an answer that is no error. */
	private static final String OK = "ok";

	/** Exchange of the server. */
	private final HttpServerExchange exchange;

	/** Id of the request. */
	private final RequestId id;

	/** Counters. */
	private final EntryMetrics metrics;

	/** Set once an answer was given. */
	private final AtomicBoolean isAnswered = new AtomicBoolean();

	ApiExchange(HttpServerExchange exchange, RequestId id, EntryMetrics metrics) {
		this.exchange = Objects.requireNonNull(exchange, "exchange");
		this.id = Objects.requireNonNull(id, "id");
		this.metrics = Objects.requireNonNull(metrics, "metrics");
		exchange.getResponseHeaders().put(REQUEST_ID, id.value());
	}

	HttpServerExchange exchange() {
		return this.exchange;
	}

	RequestId id() {
		return this.id;
	}

	/**
	 * Returns a request header.
	 * @param name the name, not null
	 * @return the first value, or null if there is none
	 */
	String header(String name) {
		return this.exchange.getRequestHeaders().getFirst(name);
	}

	/**
	 * Answers with a JSON document.
	 * @param status the HTTP status
	 * @param document the document, not null
	 */
	void json(int status, JsonNode document) {
		answer(status, OK, Map.of("Content-Type", "application/json"), toBytes(document));
	}

	/**
	 * Answers with an error document.
	 * @param error the error, not null
	 */
	void error(ApiError error) {
		LOG.debug("request_failed", "request", this.id, "code", error.code().toCode(), "execution",
				error.execution().toCode());
		Map<String, String> headers = new java.util.HashMap<>();
		headers.put("Content-Type", "application/json");
		error.retryAfterSeconds().ifPresent((seconds) -> headers.put("Retry-After", Long.toString(seconds)));
		if (error.code() == ErrorCode.UNAUTHENTICATED) {
			headers.put("WWW-Authenticate", "Bearer");
		}
		answer(error.code().status(), error.code().toCode(), headers, toBytes(error.toJson(this.id)));
	}

	/**
	 * Answers with a body.
	 * @param status the HTTP status
	 * @param code the code in metrics, not null
	 * @param headers the headers, not null
	 * @param body the body, not null; not copied
	 */
	void answer(int status, String code, Map<String, String> headers, byte[] body) {
		if (!this.isAnswered.compareAndSet(false, true)) {
			return;
		}
		this.metrics.answered(status, code);
		try {
			this.exchange.getIoThread().execute(() -> write(status, headers, body));
		}
		catch (RejectedExecutionException ex) {
			LOG.debug("answer_after_stop", "request", this.id, "status", status);
		}
	}

	/**
	 * Claims the answer for a stream.
	 * @return false if an answer was given already
	 */
	boolean takeForStream() {
		boolean taken = this.isAnswered.compareAndSet(false, true);
		if (taken) {
			this.metrics.answered(200, "stream");
		}
		return taken;
	}

	private void write(int status, Map<String, String> headers, byte[] body) {
		if (this.exchange.isResponseStarted()) {
			return;
		}
		HeaderMap target = this.exchange.getResponseHeaders();
		headers.forEach((name, value) -> target.put(new HttpString(name), value));
		this.exchange.setStatusCode(status);
		if (!this.exchange.isRequestComplete()) {
			// The rest of the body is not read, so the connection cannot be used again.
			this.exchange.setPersistent(false);
			target.put(Headers.CONNECTION, "close");
		}
		this.exchange.getResponseSender().send(ByteBuffer.wrap(body));
	}

	private static byte[] toBytes(JsonNode document) {
		try {
			return JSON.writeValueAsBytes(document);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("a JSON tree could not be written", ex);
		}
	}

}
