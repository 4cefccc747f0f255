package org.celeryhill.entry;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

import org.celeryhill.base.AttemptId;
import org.celeryhill.base.RequestId;
import org.celeryhill.port.PlainService;
import org.celeryhill.state.ServingSystem;
import org.celeryhill.traffic.TrafficRequest;

/**
 * Serves calls of plain services: chooses the system and how often the call may be sent.
 * Thread-safe.
 */
final class PlainHandler {

	/** Header that names a non-idempotent call. */
	static final String IDEMPOTENCY_KEY = "Idempotency-Key";

	/** Longest idempotency key, in characters. */
	private static final int MAX_KEY_LENGTH = 200;

	/** Headers of an answer that are not passed on. */
	private static final Set<String> NOT_PASSED = Set.of("x-attempt-id", "x-execution", "x-request-id",
			"content-length", "transfer-encoding", "connection", "date", "server");

	/** What all calls share. */
	private final PlainContext context;

	/** Runs non-idempotent calls. */
	private final ClaimRunner claims;

	PlainHandler(PlainContext context, ClaimRunner claims) {
		this.context = Objects.requireNonNull(context, "context");
		this.claims = Objects.requireNonNull(claims, "claims");
	}

	/**
	 * Serves a call.
	 * @param api the exchange, not null
	 * @param target what is called, not null
	 * @param body the body, not null
	 * @throws ApiException if the call cannot be served
	 */
	void call(ApiExchange api, PlainTarget target, byte[] body) throws ApiException {
		if (!target.isIdempotent()) {
			this.claims.start(api, target, key(api), body);
			return;
		}
		ServingSystem system = TrafficSplit.choose(api.id().value(), target.parameters().newSystemPercent());
		IdempotentCall call = new IdempotentCall(api, target, body, this.context.router(system), this.context);
		DisconnectWatch.start(api.exchange(), call::cancel);
		call.start();
	}

	private static String key(ApiExchange api) throws ApiException {
		String key = api.header(IDEMPOTENCY_KEY);
		boolean isValid = key != null && !key.isBlank() && key.length() <= MAX_KEY_LENGTH
				&& key.chars().allMatch((c) -> c > ' ' && c < 0x7f && c != '/');
		if (!isValid) {
			throw ApiException.notRun(ErrorCode.IDEMPOTENCY_KEY_REQUIRED,
					"This call is not idempotent; send a header Idempotency-Key of 1 to " + MAX_KEY_LENGTH
							+ " visible ASCII characters without '/' that is unique for each intended call.");
		}
		return key;
	}

	static TrafficRequest toTraffic(RequestId id, PlainTarget target, boolean mayRepeat, long now) {
		return new TrafficRequest(id, target.organisation(), target.service(), java.util.Optional.empty(),
				target.priority(), 1, 1, java.util.List.of(), mayRepeat, now);
	}

	static PlainService.Call toCall(AttemptId attempt, RequestId request, PlainTarget target, byte[] body) {
		Map<String, String> headers = new HashMap<>(target.headers());
		headers.put("X-Request-Id", request.value());
		return new PlainService.Call(attempt, target.method(), target.rawPath(), headers, body);
	}

	static Map<String, String> passedHeaders(Map<String, String> headers) {
		Map<String, String> passed = new HashMap<>();
		headers.forEach((name, value) -> {
			if (!NOT_PASSED.contains(name.toLowerCase(Locale.ROOT))) {
				passed.put(name, value);
			}
		});
		return passed;
	}

}
