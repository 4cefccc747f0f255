package org.celeryhill.entry;

import java.net.InetSocketAddress;
import java.net.URI;
import java.util.Objects;

import io.undertow.Handlers;
import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;

/**
 * HTTP server of the callers' API. Thread-safe.
 */
final class ApiServer implements AutoCloseable {

	/**
	 * Factor from the limit of path and headers to Undertow's own limit. Within it, a
	 * request that is too long gets an error document; beyond it, Undertow responds with
	 * status 400 and no body.
	 */
	private static final int HEAD_READ_FACTOR = 4;

	/** Maximum number of headers of a request. */
	private static final int MAX_HEADERS = 64;

	/** Maximum number of query parameters of a request. */
	private static final int MAX_PARAMETERS = 64;

	/** Undertow server. */
	private final Undertow undertow;

	private ApiServer(Undertow undertow) {
		this.undertow = undertow;
	}

	/**
	 * Starts an HTTP server.
	 * @param address the IP number to listen on, not null
	 * @param port the port, 0 for any
	 * @param ioThreads the number of threads that serve connections
	 * @param limits the limits of the API, not null
	 * @param root the root handler, not null
	 * @return the running server, never null
	 * @throws IllegalStateException if the address cannot be listened on
	 */
	static ApiServer start(String address, int port, int ioThreads, ApiLimits limits, HttpHandler root) {
		Objects.requireNonNull(root, "root");
		int idleMillis = Math.toIntExact(limits.idleTimeout().toMillis());
		Undertow undertow = Undertow.builder()
			.addHttpListener(port, address)
			.setIoThreads(ioThreads)
			.setWorkerThreads(1)
			.setServerOption(UndertowOptions.MAX_HEADER_SIZE, HEAD_READ_FACTOR * limits.maxHeaderBytes())
			.setServerOption(UndertowOptions.MAX_HEADERS, MAX_HEADERS)
			.setServerOption(UndertowOptions.MAX_PARAMETERS, MAX_PARAMETERS)
			.setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, Math.toIntExact(limits.bodyTimeout().toMillis()))
			.setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, idleMillis)
			.setServerOption(UndertowOptions.IDLE_TIMEOUT, idleMillis)
			.setServerOption(UndertowOptions.ENABLE_HTTP2, false)
			.setServerOption(UndertowOptions.ALWAYS_SET_DATE, true)
			.setHandler(Handlers.httpContinueRead(root))
			.build();
		try {
			undertow.start();
		}
		catch (RuntimeException ex) {
			throw new IllegalStateException("cannot listen on " + address + ":" + port, ex);
		}
		return new ApiServer(undertow);
	}

	/**
	 * Returns the address that the server listens on.
	 * @return an {@code http} address with the actual port, never null
	 */
	URI uri() {
		InetSocketAddress address = (InetSocketAddress) this.undertow.getListenerInfo().get(0).getAddress();
		String host = address.getAddress().getHostAddress();
		return URI.create("http://" + (host.contains(":") ? "[" + host + "]" : host) + ":" + address.getPort());
	}

	@Override
	public void close() {
		this.undertow.stop();
	}

}
