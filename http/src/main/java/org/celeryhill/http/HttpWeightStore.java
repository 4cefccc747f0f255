package org.celeryhill.http;

import java.net.URI;
import java.util.Map;
import java.util.Optional;

import okhttp3.OkHttpClient;
import okhttp3.Request;
import org.celeryhill.base.ModelId;
import org.celeryhill.port.WeightStore;

/**
 * Client of the weight store catalogue over HTTP. Thread-safe.
 */
public final class HttpWeightStore implements WeightStore {

	private final HttpRequestSender requestSender;

	private HttpWeightStore(HttpRequestSender requestSender) {
		this.requestSender = requestSender;
	}

	/**
	 * Returns a client of the weight store.
	 * @param base the address of the weight store, not null
	 * @param client the shared HTTP client, not null
	 * @param settings the timeouts and size limits, not null
	 * @return the client, never null
	 */
	public static HttpWeightStore create(URI base, OkHttpClient client, ClientSettings settings) {
		return new HttpWeightStore(HttpRequestSender.create(base, client, settings));
	}

	@Override
	public Optional<Map<ModelId, Long>> sizes() {
		HttpRequestSender.Outcome outcome = this.requestSender
			.send(new Request.Builder().url(this.requestSender.urlBuilder("v1/weights").build()));
		if (outcome instanceof HttpRequestSender.CompleteResponse response && response.status() == 200) {
			return Json.read(response.body(), WireMessages.WeightSizes.class).map(WireMessages.WeightSizes::sizes);
		}
		return Optional.empty();
	}

}
