package org.celeryhill.http;

import java.net.URI;
import java.util.List;
import java.util.Optional;

import okhttp3.OkHttpClient;
import okhttp3.Request;
import org.celeryhill.port.HostList;

/**
 * Client of the host list over HTTP. Thread-safe.
 */
public final class HttpHostList implements HostList {

	private final HttpRequestSender requestSender;

	private HttpHostList(HttpRequestSender requestSender) {
		this.requestSender = requestSender;
	}

	/**
	 * Returns a client of the host list service.
	 * @param base the address of the host list, not null
	 * @param client the shared HTTP client, not null
	 * @param settings the timeouts and size limits, not null
	 * @return the client, never null
	 */
	public static HttpHostList create(URI base, OkHttpClient client, ClientSettings settings) {
		return new HttpHostList(HttpRequestSender.create(base, client, settings));
	}

	@Override
	public Optional<List<Entry>> read() {
		HttpRequestSender.Outcome outcome = this.requestSender
			.send(new Request.Builder().url(this.requestSender.urlBuilder("v1/hosts").build()));
		if (outcome instanceof HttpRequestSender.CompleteResponse response && response.status() == 200) {
			return Json.read(response.body(), WireMessages.HostEntries.class).map(WireMessages.HostEntries::hosts);
		}
		return Optional.empty();
	}

}
