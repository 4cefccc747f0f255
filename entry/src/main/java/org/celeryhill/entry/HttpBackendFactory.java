package org.celeryhill.entry;

import java.util.Objects;

import okhttp3.OkHttpClient;
import org.celeryhill.http.ClientSettings;
import org.celeryhill.http.HttpEngine;
import org.celeryhill.http.HttpPlainService;
import org.celeryhill.port.Engine;
import org.celeryhill.port.HostList;
import org.celeryhill.port.PlainService;

/**
 * Creates HTTP adapters that share one client. Immutable and thread-safe.
 */
final class HttpBackendFactory implements BackendFactory {

	/** HTTP client shared by all adapters. */
	private final OkHttpClient client;

	/** Timeouts and limits of the adapters. */
	private final ClientSettings clientSettings;

	HttpBackendFactory(OkHttpClient client, ClientSettings clientSettings) {
		this.client = Objects.requireNonNull(client, "client");
		this.clientSettings = Objects.requireNonNull(clientSettings, "clientSettings");
	}

	@Override
	public Engine engine(HostList.Entry entry) {
		return HttpEngine.create(entry.id(), entry.address(), this.client, this.clientSettings);
	}

	@Override
	public PlainService plainService(HostList.Entry entry) {
		return HttpPlainService.create(entry.id(), entry.address(), this.client, this.clientSettings);
	}

}
