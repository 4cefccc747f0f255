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
 * Serves calls of plain services. Idempotent calls may be sent repeatedly; all others
 * require an idempotency key and run at most once. Thread-safe.
 */
final class PlainCallHandler {

	/** Header with the key that identifies a non-idempotent call. */
	static final String IDEMPOTENCY_KEY_HEADER = "Idempotency-Key";

	/** Maximum length of an idempotency key, in characters. */
	private static final int MAX_KEY_LENGTH = 200;

	/** Lower-case names of response headers that are not passed on to callers. */
	private static final Set<String> EXCLUDED_HEADERS = Set.of("x-attempt-id", "x-execution", "x-request-id",
			"content-length", "transfer-encoding", "connection", "date", "server");

	/** Collaborators and limits shared by all calls. */
	private final PlainCallContext context;

	/** Serves non-idempotent calls. */
	private final ClaimedCallHandler claimedCalls;

	PlainCallHandler(PlainCallContext context, ClaimedCallHandler claims) {
		this.context = Objects.requireNonNull(context, "context");
		this.claimedCalls = Objects.requireNonNull(claims, "claims");
	}

	/**
	 * Serves a call of a plain service.
	 * @param api the exchange with the caller, not null
	 * @param target the validated call, not null
	 * @param body the request body, not null
	 * @throws ApiException if the call needs an idempotency key and has no valid one
	 */
	void serve(ApiExchange api, PlainCallTarget target, byte[] body) throws ApiException {
		if (!target.isIdempotent()) {
			this.claimedCalls.serve(api, target, key(api), body);
			return;
		}
		ServingSystem system = TrafficSplit.choose(api.id().value(), target.parameters().newSystemPercent());
		IdempotentCall call = new IdempotentCall(api, target, body, this.context.router(system), this.context);
		DisconnectDetector.watch(api.exchange(), call::cancel);
		call.start();
	}

	private static String key(ApiExchange api) throws ApiException {
		String key = api.header(IDEMPOTENCY_KEY_HEADER);
		boolean isValid = key != null && !key.isBlank() && key.length() <= MAX_KEY_LENGTH
				&& key.chars().allMatch((c) -> c > ' ' && c < 0x7f && c != '/');
		if (!isValid) {
			throw ApiException.notRun(ErrorCode.IDEMPOTENCY_KEY_REQUIRED,
					"This call is not idempotent; send a header Idempotency-Key of 1 to " + MAX_KEY_LENGTH
							+ " visible ASCII characters without '/' that is unique for each intended call.");
		}
		return key;
	}

	static TrafficRequest toTrafficRequest(RequestId id, PlainCallTarget target, boolean isRepeatable, long now) {
		return new TrafficRequest(id, target.organisation(), target.service(), java.util.Optional.empty(),
				target.priority(), 1, 1, java.util.List.of(), isRepeatable, now);
	}

	static PlainService.Call toCall(AttemptId attempt, RequestId request, PlainCallTarget target, byte[] body) {
		Map<String, String> headers = new HashMap<>(target.headers());
		headers.put("X-Request-Id", request.value());
		return new PlainService.Call(attempt, target.method(), target.rawPath(), headers, body);
	}

	static Map<String, String> filterResponseHeaders(Map<String, String> headers) {
		Map<String, String> passed = new HashMap<>();
		headers.forEach((name, value) -> {
			if (!EXCLUDED_HEADERS.contains(name.toLowerCase(Locale.ROOT))) {
				passed.put(name, value);
			}
		});
		return passed;
	}

}
