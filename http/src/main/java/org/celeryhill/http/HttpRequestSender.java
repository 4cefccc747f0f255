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
 * Sends a request once, without automatic retries, and distinguishes complete responses,
 * requests that were certainly not sent and requests with an unknown outcome.
 * Thread-safe.
 */
final class HttpRequestSender {

	static final MediaType JSON = MediaType.get("application/json");

	/** Client that updates the {@link SendTracker} of each request and never retries. */
	private final OkHttpClient client;

	/** URL that request paths are relative to. */
	private final HttpUrl base;

	private final ClientSettings settings;

	private HttpRequestSender(OkHttpClient client, HttpUrl base, ClientSettings settings) {
		this.client = client;
		this.base = base;
		this.settings = settings;
	}

	static HttpRequestSender create(java.net.URI base, OkHttpClient client, ClientSettings settings) {
		HttpUrl url = HttpUrl.get(base);
		if (url == null) {
			throw new IllegalArgumentException("not an HTTP URL: " + base);
		}
		OkHttpClient derived = client.newBuilder()
			.retryOnConnectionFailure(false)
			.followRedirects(false)
			.followSslRedirects(false)
			.proxy(java.net.Proxy.NO_PROXY)
			.socketFactory(EndCheckingSocketFactory.INSTANCE)
			.eventListenerFactory(SendTracker.createListenerFactory())
			.addNetworkInterceptor(HttpRequestSender::preventAutomaticRetry)
			.addNetworkInterceptor(new ResponseHeadInterceptor())
			.connectTimeout(settings.connectTimeout())
			.readTimeout(Duration.ZERO)
			.writeTimeout(settings.responseTimeout())
			.callTimeout(Duration.ZERO)
			.build();
		return new HttpRequestSender(derived, url, settings);
	}

	HttpUrl.Builder urlBuilder(String path) {
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
	 * Sends a request and reads the complete response, within the response timeout of the
	 * settings. Blocks.
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
			if (tracker.isWriteFailed() && isDelimitedByClose(response)) {
				return new Unknown("connection failed within a response without length");
			}
			byte[] body = readBody(response.body());
			return new CompleteResponse(response.code(), response.headers(), body);
		}
		catch (IOException ex) {
			String reason = describe(ex);
			return tracker.isPossiblySent() ? new Unknown(reason) : new NotSent(reason);
		}
		catch (IllegalStateException ex) {
			// OkHttp accepts a negative status and fails to create the response.
			return new Unknown("response is not valid HTTP: " + ex.getMessage());
		}
	}

	private static boolean isDelimitedByClose(Response response) {
		return response.body().contentLength() < 0 && response.header("Transfer-Encoding") == null;
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
			throw new IOException("response exceeds " + limit + " bytes");
		}
		return source.readByteArray();
	}

	/**
	 * Prevents automatic retries after status 503. OkHttp repeats a request when it
	 * receives status 503 with {@code Retry-After: 0}, so that value is replaced by 1,
	 * the smallest delay for which OkHttp does not retry.
	 * @param chain the interceptor chain, not null
	 * @return the response, never null
	 * @throws IOException if the request fails
	 */
	private static Response preventAutomaticRetry(Interceptor.Chain chain) throws IOException {
		Response response = chain.proceed(chain.request());
		if (response.code() == 503 && "0".equals(response.header("Retry-After"))) {
			return response.newBuilder().header("Retry-After", "1").build();
		}
		return response;
	}

	/**
	 * Returns a body that may be written only once, which prevents OkHttp from sending
	 * the request again.
	 * @param type the media type, or null for none
	 * @param bytes the content, not null; not copied
	 * @return the body, never null
	 */
	static RequestBody oneShotBody(MediaType type, byte[] bytes) {
		return new OneShotBody(type, bytes);
	}

	/** Outcome of a request. */
	sealed interface Outcome permits CompleteResponse, NotSent, Unknown {

	}

	/**
	 * The complete response of the server was received.
	 *
	 * @param status the HTTP status
	 * @param headers the headers, not null
	 * @param body the complete body, not null
	 */
	record CompleteResponse(int status, okhttp3.Headers headers, byte[] body) implements Outcome {

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
	 * @param reason a short description of the failure for logs, not null
	 */
	record NotSent(String reason) implements Outcome {

	}

	/**
	 * No complete response was received; the server may have received the request or may
	 * still receive it.
	 *
	 * @param reason a short description of the failure for logs, not null
	 */
	record Unknown(String reason) implements Outcome {

	}

	/** Request body that OkHttp writes at most once. */
	private static final class OneShotBody extends RequestBody {

		private final MediaType type;

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
