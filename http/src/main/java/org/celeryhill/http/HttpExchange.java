package org.celeryhill.http;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

import okhttp3.Call;
import okhttp3.HttpUrl;
import okhttp3.Interceptor;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okhttp3.ResponseBody;
import okio.BufferedSink;
import okio.BufferedSource;

/**
 * Sends single requests and tells apart answers, requests that were certainly not sent
 * and requests with an unknown outcome. Thread-safe.
 */
final class HttpExchange {

	/** Media type of JSON bodies. */
	static final MediaType JSON = MediaType.get("application/json");

	/** Client whose calls feed the send trackers and never repeat a request. */
	private final OkHttpClient client;

	/** Address that paths are relative to. */
	private final HttpUrl base;

	/** Limits. */
	private final ClientSettings settings;

	private HttpExchange(OkHttpClient client, HttpUrl base, ClientSettings settings) {
		this.client = client;
		this.base = base;
		this.settings = settings;
	}

	static HttpExchange of(java.net.URI base, OkHttpClient client, ClientSettings settings) {
		HttpUrl url = HttpUrl.get(base);
		if (url == null) {
			throw new IllegalArgumentException("not an http address: " + base);
		}
		OkHttpClient derived = client.newBuilder()
			.retryOnConnectionFailure(false)
			.followRedirects(false)
			.followSslRedirects(false)
			.proxy(java.net.Proxy.NO_PROXY)
			.eventListenerFactory(SendTracker.listenerFactory())
			.addNetworkInterceptor(HttpExchange::preventRepeat)
			.connectTimeout(settings.connectTimeout())
			.readTimeout(Duration.ZERO)
			.writeTimeout(settings.responseTimeout())
			.callTimeout(Duration.ZERO)
			.build();
		return new HttpExchange(derived, url, settings);
	}

	HttpUrl.Builder url(String path) {
		return this.base.newBuilder().addPathSegments(path);
	}

	HttpUrl resolve(String pathAndQuery) {
		String prefix = this.base.toString();
		String root = prefix.endsWith("/") ? prefix.substring(0, prefix.length() - 1) : prefix;
		String path = pathAndQuery.startsWith("/") ? pathAndQuery : "/" + pathAndQuery;
		return HttpUrl.parse(root + path);
	}

	ClientSettings settings() {
		return this.settings;
	}

	/**
	 * Sends a request and reads the complete answer.
	 * @param builder the request, not null
	 * @return the outcome, never null
	 */
	Outcome send(Request.Builder builder) {
		return send(builder, this.settings.responseTimeout());
	}

	Outcome send(Request.Builder builder, Duration timeout) {
		SendTracker tracker = new SendTracker();
		Call call = newCall(builder, tracker);
		call.timeout().timeout(timeout.toNanos(), TimeUnit.NANOSECONDS);
		try (Response response = call.execute()) {
			byte[] body = readBody(response.body());
			return new Answer(response.code(), response.headers(), body);
		}
		catch (IOException ex) {
			String reason = describe(ex);
			return tracker.isSent() ? new Unknown(reason) : new NotSent(reason);
		}
	}

	Call newCall(Request.Builder builder, SendTracker tracker) {
		return this.client.newCall(builder.tag(SendTracker.class, tracker).build());
	}

	static String describe(IOException ex) {
		return ex.getClass().getSimpleName() + ": " + ex.getMessage();
	}

	private byte[] readBody(ResponseBody body) throws IOException {
		int limit = this.settings.maxResponseBytes();
		BufferedSource source = body.source();
		if (source.request(limit + 1L)) {
			throw new IOException("answer exceeds " + limit + " bytes");
		}
		return source.readByteArray();
	}

	/**
	 * Keeps the client from repeating a request by itself. OkHttp repeats a request after
	 * status 503 with {@code Retry-After: 0}; a delay of one second is the smallest that
	 * it leaves to the caller.
	 * @param chain the interceptor chain, not null
	 * @return the answer
	 * @throws IOException if the request fails
	 */
	private static Response preventRepeat(Interceptor.Chain chain) throws IOException {
		Response response = chain.proceed(chain.request());
		if (response.code() == 503 && "0".equals(response.header("Retry-After"))) {
			return response.newBuilder().header("Retry-After", "1").build();
		}
		return response;
	}

	/**
	 * Returns a body that can be written only once, so that the client cannot send it
	 * again.
	 * @param type the media type, or null for none
	 * @param bytes the content, not null; not copied
	 * @return the body, never null
	 */
	static RequestBody oneShot(MediaType type, byte[] bytes) {
		return new OneShotBody(type, bytes);
	}

	/** What became of a request. */
	sealed interface Outcome permits Answer, NotSent, Unknown {

	}

	/**
	 * The server answered.
	 *
	 * @param status the HTTP status
	 * @param headers the headers, not null
	 * @param body the whole body, not null
	 */
	record Answer(int status, okhttp3.Headers headers, byte[] body) implements Outcome {

		boolean isNotRun() {
			return HttpHeaderNames.isNotRun(this.status, this.headers.get(HttpHeaderNames.EXECUTION));
		}

		String describe() {
			return "status " + this.status;
		}

		boolean hasErrorCode(String code) {
			return code.equals(Json.readErrorCode(this.body));
		}

	}

	/**
	 * No byte of the request was sent.
	 *
	 * @param reason a short text for logs, not null
	 */
	record NotSent(String reason) implements Outcome {

	}

	/**
	 * The request may have arrived, or may still arrive.
	 *
	 * @param reason a short text for logs, not null
	 */
	record Unknown(String reason) implements Outcome {

	}

	/** Request body that is written at most once. */
	private static final class OneShotBody extends RequestBody {

		/** Media type, or null. */
		private final MediaType type;

		/** Content. */
		private final byte[] bytes;

		OneShotBody(MediaType type, byte[] bytes) {
			this.type = type;
			this.bytes = bytes;
		}

		@Override
		public MediaType contentType() {
			return this.type;
		}

		@Override
		public long contentLength() {
			return this.bytes.length;
		}

		@Override
		public boolean isOneShot() {
			return true;
		}

		@Override
		public void writeTo(BufferedSink sink) throws IOException {
			sink.write(this.bytes);
		}

	}

}
