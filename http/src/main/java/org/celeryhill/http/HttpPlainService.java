package org.celeryhill.http;

import java.net.URI;
import java.time.Duration;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

import okhttp3.Headers;
import okhttp3.HttpUrl;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import org.celeryhill.base.AttemptId;
import org.celeryhill.base.BackendServerId;
import org.celeryhill.port.PlainService;

/**
 * Backend server of a plain service over HTTP. The attempt is sent as header
 * {@code X-Attempt-Id}; an answer without that header belongs to the call by the rules of
 * HTTP. Thread-safe.
 */
public final class HttpPlainService implements PlainService {

	/** Headers that belong to one connection and are not passed on. */
	private static final Set<String> CONNECTION_HEADERS = Set.of("connection", "content-length", "host", "keep-alive",
			"proxy-authenticate", "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade", "expect");

	/** Id of the server. */
	private final BackendServerId id;

	/** Sends the requests. */
	private final HttpExchange exchange;

	private HttpPlainService(BackendServerId id, HttpExchange exchange) {
		this.id = id;
		this.exchange = exchange;
	}

	/**
	 * Returns an adapter.
	 * @param id the id of the server, not null
	 * @param base the address of the server, not null
	 * @param client the shared client, not null
	 * @param settings the limits, not null
	 * @return the adapter, never null
	 */
	public static HttpPlainService create(BackendServerId id, URI base, OkHttpClient client, ClientSettings settings) {
		return new HttpPlainService(id, HttpExchange.of(base, client, settings));
	}

	@Override
	public BackendServerId id() {
		return this.id;
	}

	@Override
	public CallResult call(Call call, Duration timeout) {
		Request.Builder request;
		try {
			request = toRequest(call);
		}
		catch (IllegalArgumentException ex) {
			return new CallNotRun("invalid call: " + ex.getMessage());
		}
		HttpExchange.Outcome outcome = this.exchange.send(request, timeout);
		if (outcome instanceof HttpExchange.NotSent notSent) {
			return new CallNotRun(notSent.reason());
		}
		if (outcome instanceof HttpExchange.Unknown unknown) {
			return new CallUnknown(unknown.reason());
		}
		return toResult(call, (HttpExchange.Answer) outcome);
	}

	@Override
	public Load load() {
		HttpExchange.Outcome outcome = this.exchange
			.send(new Request.Builder().url(this.exchange.url("v1/load").build()));
		if (outcome instanceof HttpExchange.Answer answer && answer.status() == 200) {
			return Json.read(answer.body(), WireMessages.ServiceLoad.class)
				.map((load) -> new Load(true, load.running(), load.capacity(), load.leaving()))
				.orElseGet(HttpPlainService::unreachable);
		}
		return unreachable();
	}

	private static Load unreachable() {
		return new Load(false, 0, 0, false);
	}

	private Request.Builder toRequest(Call call) {
		HttpUrl url = this.exchange.resolve(call.path());
		if (url == null) {
			throw new IllegalArgumentException("path " + call.path());
		}
		Request.Builder request = new Request.Builder().url(url);
		call.headers().forEach((name, value) -> {
			if (!CONNECTION_HEADERS.contains(name.toLowerCase(Locale.ROOT))) {
				request.header(name, value);
			}
		});
		request.header(HttpHeaderNames.ATTEMPT, call.attempt().value());
		String type = call.headers().getOrDefault("Content-Type", call.headers().get("content-type"));
		return request.method(call.method(), body(call, type));
	}

	private static RequestBody body(Call call, String type) {
		boolean hasNoBody = "GET".equals(call.method()) || "HEAD".equals(call.method());
		if (hasNoBody) {
			return null;
		}
		return HttpExchange.oneShot((type != null) ? MediaType.parse(type) : null, call.body());
	}

	private static CallResult toResult(Call call, HttpExchange.Answer answer) {
		if (answer.isNotRun()) {
			return new CallNotRun("refused with " + answer.describe());
		}
		String named = answer.headers().get(HttpHeaderNames.ATTEMPT);
		AttemptId attempt = (named != null && !named.isBlank()) ? AttemptId.of(named) : call.attempt();
		return new CallCompleted(attempt, answer.status(), toMap(answer.headers()), answer.body());
	}

	private static Map<String, String> toMap(Headers headers) {
		Map<String, String> map = new HashMap<>();
		for (String name : headers.names()) {
			if (!CONNECTION_HEADERS.contains(name.toLowerCase(Locale.ROOT))) {
				map.put(name, headers.get(name));
			}
		}
		return map;
	}

}
