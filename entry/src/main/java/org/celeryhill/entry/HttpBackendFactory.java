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
 * Creates HTTP adapters on one shared client. Immutable and thread-safe.
 */
final class HttpBackendFactory implements BackendFactory {

	/** Shared client. */
	private final OkHttpClient client;

	/** Limits. */
	private final ClientSettings limits;

	HttpBackendFactory(OkHttpClient client, ClientSettings limits) {
		this.client = Objects.requireNonNull(client, "client");
		this.limits = Objects.requireNonNull(limits, "limits");
	}

	@Override
	public Engine engine(HostList.Entry entry) {
		return HttpEngine.create(entry.id(), entry.address(), this.client, this.limits);
	}

	@Override
	public PlainService plain(HostList.Entry entry) {
		return HttpPlainService.create(entry.id(), entry.address(), this.client, this.limits);
	}

}
