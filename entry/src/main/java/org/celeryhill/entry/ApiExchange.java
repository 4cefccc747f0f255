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
 * One HTTP exchange with a caller. Only the first response is sent; later ones are
 * ignored. A response may be submitted on any thread and is written on the I/O thread of
 * the connection. Thread-safe.
 */
final class ApiExchange {

	/** Response header with the request id. */
	static final HttpString REQUEST_ID_HEADER = HttpString.tryFromString("X-Request-Id");

	/** Log of this class. */
	private static final EventLog LOG = EventLog.of(ApiExchange.class);

	/** Serialises JSON documents. */
	private static final ObjectMapper JSON = new ObjectMapper();

	/** Code in metrics of a response that is not an error. */
	private static final String OK = "ok";

	/** Undertow exchange. */
	private final HttpServerExchange exchange;

	/** Id of the request, also sent to the caller. */
	private final RequestId id;

	/** Counts responses. */
	private final EntryMetrics metrics;

	/** Whether a response was submitted. */
	private final AtomicBoolean hasResponse = new AtomicBoolean();

	ApiExchange(HttpServerExchange exchange, RequestId id, EntryMetrics metrics) {
		this.exchange = Objects.requireNonNull(exchange, "exchange");
		this.id = Objects.requireNonNull(id, "id");
		this.metrics = Objects.requireNonNull(metrics, "metrics");
		exchange.getResponseHeaders().put(REQUEST_ID_HEADER, id.value());
	}

	HttpServerExchange exchange() {
		return this.exchange;
	}

	RequestId id() {
		return this.id;
	}

	/**
	 * Returns the value of a request header.
	 * @param name the name of the header, not null
	 * @return the first value, or null if there is none
	 */
	String header(String name) {
		return this.exchange.getRequestHeaders().getFirst(name);
	}

	/**
	 * Responds with a JSON document.
	 * @param status the HTTP status
	 * @param document the body, not null
	 */
	void respondJson(int status, JsonNode document) {
		respond(status, OK, Map.of("Content-Type", "application/json"), toBytes(document));
	}

	/**
	 * Responds with an error document.
	 * @param error the error to report, not null
	 */
	void respondError(ApiError error) {
		LOG.debug("request_failed", "request", this.id, "code", error.code().toCode(), "execution",
				error.execution().toCode());
		Map<String, String> headers = new java.util.HashMap<>();
		headers.put("Content-Type", "application/json");
		error.retryAfterSeconds().ifPresent((seconds) -> headers.put("Retry-After", Long.toString(seconds)));
		if (error.code() == ErrorCode.UNAUTHENTICATED) {
			headers.put("WWW-Authenticate", "Bearer");
		}
		respond(error.code().status(), error.code().toCode(), headers, toBytes(error.toJson(this.id)));
	}

	/**
	 * Responds with a body of any type.
	 * @param status the HTTP status
	 * @param code the value of the code label in metrics, not null
	 * @param headers the response headers by name, not null
	 * @param body the body, not null; not copied
	 */
	void respond(int status, String code, Map<String, String> headers, byte[] body) {
		if (!this.hasResponse.compareAndSet(false, true)) {
			return;
		}
		this.metrics.countResponse(status, code);
		try {
			this.exchange.getIoThread().execute(() -> writeResponse(status, headers, body));
		}
		catch (RejectedExecutionException ex) {
			LOG.debug("answer_after_stop", "request", this.id, "status", status);
		}
	}

	/**
	 * Reserves the response for a stream of events.
	 * @return false if a response was submitted before
	 */
	boolean reserveForStream() {
		boolean isReserved = this.hasResponse.compareAndSet(false, true);
		if (isReserved) {
			this.metrics.countResponse(200, "stream");
		}
		return isReserved;
	}

	private void writeResponse(int status, Map<String, String> headers, byte[] body) {
		if (this.exchange.isResponseStarted()) {
			return;
		}
		HeaderMap target = this.exchange.getResponseHeaders();
		headers.forEach((name, value) -> target.put(new HttpString(name), value));
		this.exchange.setStatusCode(status);
		if (!this.exchange.isRequestComplete()) {
			// The rest of the body stays unread, so the connection cannot be reused.
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
			throw new IllegalStateException("could not serialise a JSON document", ex);
		}
	}

}
