package org.celeryhill.http;

import java.net.URI;

import okhttp3.HttpUrl;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import org.celeryhill.port.ObjectService;

/**
 * Client of the object service over HTTP. Thread-safe.
 */
public final class HttpObjectService implements ObjectService {

	/** Error code of a 404 response: no object has the name. */
	static final String MISSING = "missing";

	/**
	 * Error code of a 409 response: the name already has an object with different
	 * content.
	 */
	static final String DIFFERENT = "different";

	/** Media type of object contents. */
	private static final MediaType OCTET_STREAM = MediaType.get("application/octet-stream");

	private final HttpRequestSender requestSender;

	private HttpObjectService(HttpRequestSender requestSender) {
		this.requestSender = requestSender;
	}

	/**
	 * Returns a client of the object service.
	 * @param base the address of the service, not null
	 * @param client the shared HTTP client, not null
	 * @param settings the timeouts and size limits, not null
	 * @return the client, never null
	 */
	public static HttpObjectService create(URI base, OkHttpClient client, ClientSettings settings) {
		return new HttpObjectService(HttpRequestSender.create(base, client, settings));
	}

	@Override
	public PutResult put(String name, byte[] bytes) {
		HttpRequestSender.Outcome outcome = this.requestSender
			.send(new Request.Builder().url(url(name)).put(HttpRequestSender.oneShotBody(OCTET_STREAM, bytes)));
		if (!(outcome instanceof HttpRequestSender.CompleteResponse response)) {
			return PutResult.UNKNOWN;
		}
		if (response.status() == 200 || response.status() == 201) {
			return PutResult.STORED;
		}
		boolean isDifferent = response.status() == 409 && response.hasErrorCode(DIFFERENT);
		return isDifferent ? PutResult.DIFFERENT : PutResult.UNKNOWN;
	}

	@Override
	public GetResult get(String name) {
		HttpRequestSender.Outcome outcome = this.requestSender.send(new Request.Builder().url(url(name)));
		if (outcome instanceof HttpRequestSender.NotSent notSent) {
			return new GetFailed(notSent.reason());
		}
		if (outcome instanceof HttpRequestSender.Unknown unknown) {
			return new GetFailed(unknown.reason());
		}
		HttpRequestSender.CompleteResponse response = (HttpRequestSender.CompleteResponse) outcome;
		if (response.status() == 404 && response.hasErrorCode(MISSING)) {
			return new Missing(name);
		}
		return (response.status() == 200) ? new Content(response.body()) : new GetFailed(response.describe());
	}

	private HttpUrl url(String name) {
		return this.requestSender.urlBuilder("v1/object").addQueryParameter("name", name).build();
	}

}
