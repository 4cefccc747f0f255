package org.celeryhill.http;

import java.net.URI;
import java.util.List;
import java.util.Optional;

import okhttp3.OkHttpClient;
import okhttp3.Request;
import org.celeryhill.port.HostList;

/**
 * Host list over HTTP. Thread-safe.
 */
public final class HttpHostList implements HostList {

	/** Sends the requests. */
	private final HttpExchange exchange;

	private HttpHostList(HttpExchange exchange) {
		this.exchange = exchange;
	}

	/**
	 * Returns an adapter.
	 * @param base the address of the host list, not null
	 * @param client the shared client, not null
	 * @param settings the limits, not null
	 * @return the adapter, never null
	 */
	public static HttpHostList create(URI base, OkHttpClient client, ClientSettings settings) {
		return new HttpHostList(HttpExchange.of(base, client, settings));
	}

	@Override
	public Optional<List<Entry>> read() {
		HttpExchange.Outcome outcome = this.exchange
			.send(new Request.Builder().url(this.exchange.url("v1/hosts").build()));
		if (outcome instanceof HttpExchange.Answer answer && answer.status() == 200) {
			return Json.read(answer.body(), WireMessages.HostEntries.class).map(WireMessages.HostEntries::hosts);
		}
		return Optional.empty();
	}

}
