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
 * Client of a backend server of a plain service over HTTP. The attempt id is sent in the
 * header {@code X-Attempt-Id}. A response without that header is attributed to the
 * attempt of its request. Thread-safe.
 */
public final class HttpPlainService implements PlainService {

	/** Headers that apply to a single connection and are not forwarded, in lower case. */
	private static final Set<String> CONNECTION_HEADERS = Set.of("connection", "content-length", "host", "keep-alive",
			"proxy-authenticate", "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade", "expect");

	private final BackendServerId id;

	private final HttpRequestSender requestSender;

	private HttpPlainService(BackendServerId id, HttpRequestSender requestSender) {
		this.id = id;
		this.requestSender = requestSender;
	}

	/**
	 * Returns a client of a backend server of a plain service.
	 * @param id the id of the server, not null
	 * @param base the address of the server, not null
	 * @param client the shared HTTP client, not null
	 * @param settings the timeouts and size limits, not null
	 * @return the client, never null
	 */
	public static HttpPlainService create(BackendServerId id, URI base, OkHttpClient client, ClientSettings settings) {
		return new HttpPlainService(id, HttpRequestSender.create(base, client, settings));
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
		HttpRequestSender.Outcome outcome = this.requestSender.send(request, timeout);
		if (outcome instanceof HttpRequestSender.NotSent notSent) {
			return new CallNotRun(notSent.reason());
		}
		if (outcome instanceof HttpRequestSender.Unknown unknown) {
			return new CallUnknown(unknown.reason());
		}
		return toResult(call, (HttpRequestSender.CompleteResponse) outcome);
	}

	@Override
	public Load load() {
		HttpRequestSender.Outcome outcome = this.requestSender
			.send(new Request.Builder().url(this.requestSender.urlBuilder("v1/load").build()));
		if (outcome instanceof HttpRequestSender.CompleteResponse response && response.status() == 200) {
			return Json.read(response.body(), WireMessages.ServiceLoad.class)
				.map((load) -> new Load(true, load.running(), load.capacity(), load.leaving()))
				.orElseGet(HttpPlainService::unreachableLoad);
		}
		return unreachableLoad();
	}

	private static Load unreachableLoad() {
		return new Load(false, 0, 0, false);
	}

	private Request.Builder toRequest(Call call) {
		HttpUrl url = this.requestSender.resolve(call.path());
		if (url == null) {
			throw new IllegalArgumentException("invalid path " + call.path());
		}
		Request.Builder request = new Request.Builder().url(url);
		call.headers().forEach((name, value) -> {
			if (!CONNECTION_HEADERS.contains(name.toLowerCase(Locale.ROOT))) {
				request.header(name, value);
			}
		});
		request.header(HttpHeaderNames.ATTEMPT, call.attempt().value());
		String contentType = call.headers().getOrDefault("Content-Type", call.headers().get("content-type"));
		return request.method(call.method(), body(call, contentType));
	}

	private static RequestBody body(Call call, String contentType) {
		boolean hasNoBody = "GET".equals(call.method()) || "HEAD".equals(call.method());
		if (hasNoBody) {
			return null;
		}
		return HttpRequestSender.oneShotBody((contentType != null) ? MediaType.parse(contentType) : null, call.body());
	}

	private static CallResult toResult(Call call, HttpRequestSender.CompleteResponse response) {
		if (response.isNotRun()) {
			return new CallNotRun("refused with " + response.describe());
		}
		String attemptHeader = response.headers().get(HttpHeaderNames.ATTEMPT);
		AttemptId attempt = (attemptHeader != null && !attemptHeader.isBlank()) ? AttemptId.of(attemptHeader)
				: call.attempt();
		return new CallCompleted(attempt, response.status(), toMap(response.headers()), response.body());
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
