package org.celeryhill.http;

import java.net.URI;

import okhttp3.HttpUrl;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import org.celeryhill.port.ObjectService;

/**
 * Object service over HTTP. Thread-safe.
 */
public final class HttpObjectService implements ObjectService {

	/** Error code of an answer for a name without an object. */
	static final String MISSING = "missing";

	/** Error code of an answer for a name that has another content. */
	static final String DIFFERENT = "different";

	/** Media type of objects. */
	private static final MediaType BYTES = MediaType.get("application/octet-stream");

	/** Sends the requests. */
	private final HttpExchange exchange;

	private HttpObjectService(HttpExchange exchange) {
		this.exchange = exchange;
	}

	/**
	 * Returns an adapter.
	 * @param base the address of the service, not null
	 * @param client the shared client, not null
	 * @param settings the limits, not null
	 * @return the adapter, never null
	 */
	public static HttpObjectService create(URI base, OkHttpClient client, ClientSettings settings) {
		return new HttpObjectService(HttpExchange.of(base, client, settings));
	}

	@Override
	public PutResult put(String name, byte[] bytes) {
		HttpExchange.Outcome outcome = this.exchange
			.send(new Request.Builder().url(url(name)).put(HttpExchange.oneShot(BYTES, bytes)));
		if (!(outcome instanceof HttpExchange.Answer answer)) {
			return PutResult.UNKNOWN;
		}
		if (answer.status() == 200 || answer.status() == 201) {
			return PutResult.STORED;
		}
		boolean isDifferent = answer.status() == 409 && answer.hasErrorCode(DIFFERENT);
		return isDifferent ? PutResult.DIFFERENT : PutResult.UNKNOWN;
	}

	@Override
	public GetResult get(String name) {
		HttpExchange.Outcome outcome = this.exchange.send(new Request.Builder().url(url(name)));
		if (outcome instanceof HttpExchange.NotSent notSent) {
			return new GetFailed(notSent.reason());
		}
		if (outcome instanceof HttpExchange.Unknown unknown) {
			return new GetFailed(unknown.reason());
		}
		HttpExchange.Answer answer = (HttpExchange.Answer) outcome;
		if (answer.status() == 404 && answer.hasErrorCode(MISSING)) {
			return new Missing(name);
		}
		return (answer.status() == 200) ? new Content(answer.body()) : new GetFailed(answer.describe());
	}

	private HttpUrl url(String name) {
		return this.exchange.url("v1/object").addQueryParameter("name", name).build();
	}

}
