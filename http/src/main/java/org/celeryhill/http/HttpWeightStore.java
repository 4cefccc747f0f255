package org.celeryhill.http;

import java.net.URI;
import java.util.Map;
import java.util.Optional;

import okhttp3.OkHttpClient;
import okhttp3.Request;
import org.celeryhill.base.ModelId;
import org.celeryhill.port.WeightStore;

/**
 * Catalogue of the weight store over HTTP. Thread-safe.
 */
public final class HttpWeightStore implements WeightStore {

	/** Sends the requests. */
	private final HttpExchange exchange;

	private HttpWeightStore(HttpExchange exchange) {
		this.exchange = exchange;
	}

	/**
	 * Returns an adapter.
	 * @param base the address of the weight store, not null
	 * @param client the shared client, not null
	 * @param settings the limits, not null
	 * @return the adapter, never null
	 */
	public static HttpWeightStore create(URI base, OkHttpClient client, ClientSettings settings) {
		return new HttpWeightStore(HttpExchange.of(base, client, settings));
	}

	@Override
	public Optional<Map<ModelId, Long>> sizes() {
		HttpExchange.Outcome outcome = this.exchange
			.send(new Request.Builder().url(this.exchange.url("v1/weights").build()));
		if (outcome instanceof HttpExchange.Answer answer && answer.status() == 200) {
			return Json.read(answer.body(), WireMessages.WeightSizes.class).map(WireMessages.WeightSizes::sizes);
		}
		return Optional.empty();
	}

}
