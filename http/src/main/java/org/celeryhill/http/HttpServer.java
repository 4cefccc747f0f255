package org.celeryhill.http;

import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.BlockingHandler;
import io.undertow.server.handlers.GracefulShutdownHandler;
import io.undertow.server.handlers.PathHandler;
import org.celeryhill.base.EventLog;
import org.celeryhill.base.Execution;

/**
 * HTTP server with the operational endpoints {@code /healthz}, {@code /readyz},
 * {@code /metrics} and {@code /admin/dump}, and graceful shutdown. Handlers run on I/O
 * threads and must not block unless they are wrapped by {@link #blocking}. Thread-safe.
 */
public final class HttpServer {

	private static final EventLog LOG = EventLog.of(HttpServer.class);

	private final Undertow undertow;

	/** Tracks running requests, so that {@link #stop} can wait for them. */
	private final GracefulShutdownHandler runningRequests;

	/** Whether new requests are refused. */
	private final AtomicBoolean isStopping;

	private HttpServer(Undertow undertow, GracefulShutdownHandler runningRequests, AtomicBoolean isStopping) {
		this.undertow = undertow;
		this.runningRequests = runningRequests;
		this.isStopping = isStopping;
	}

	/**
	 * Returns a builder with default settings.
	 * @param name the process name for log lines, not null
	 * @return the builder, never null
	 */
	public static Builder builder(String name) {
		return new Builder(name);
	}

	/**
	 * Wraps a handler so that it runs on a worker thread.
	 * @param handler the handler, which may block, not null
	 * @return the handler, never null
	 */
	public static HttpHandler blocking(HttpHandler handler) {
		return new BlockingHandler(Objects.requireNonNull(handler, "handler"));
	}

	/**
	 * Returns the URI of the address that the server listens on.
	 * @return an {@code http} address with the actual port, never null
	 */
	public URI uri() {
		InetSocketAddress address = (InetSocketAddress) this.undertow.getListenerInfo().get(0).getAddress();
		String host = address.getAddress().getHostAddress();
		return URI.create("http://" + (host.contains(":") ? "[" + host + "]" : host) + ":" + address.getPort());
	}

	/**
	 * Returns the port that the server listens on.
	 * @return the port, also if any free port was requested
	 */
	public int port() {
		return uri().getPort();
	}

	/**
	 * Refuses new requests with status 503 and {@code X-Execution: not_run};
	 * {@code /readyz} reports that the process is not ready. Running requests and the
	 * operational endpoints are not affected.
	 */
	public void refuseNewRequests() {
		this.isStopping.set(true);
	}

	/**
	 * Stops the server: refuses new requests, waits for running requests and closes all
	 * connections. Blocks.
	 * @param drainTimeout the maximum time to wait for running requests, not null
	 * @return true if all running requests completed in time
	 */
	public boolean stop(Duration drainTimeout) {
		refuseNewRequests();
		boolean areRequestsDone = awaitRunningRequests(drainTimeout);
		LOG.info("http_server_stopped", "requests_done", areRequestsDone);
		this.undertow.stop();
		return areRequestsDone;
	}

	private boolean awaitRunningRequests(Duration drainTimeout) {
		this.runningRequests.shutdown();
		try {
			return this.runningRequests.awaitShutdown(Math.max(1, drainTimeout.toMillis()));
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return false;
		}
	}

	private static void sendNotFound(HttpServerExchange exchange) {
		HttpResponses.sendError(exchange, 404, "not_found", "no such path: " + exchange.getRequestPath(),
				Execution.NOT_RUN);
	}

	private static void sendStopping(HttpServerExchange exchange) {
		exchange.setPersistent(false);
		HttpResponses.sendError(exchange, 503, "stopping", "this process is stopping; send the request to another host",
				Execution.NOT_RUN, Duration.ofSeconds(1));
	}

	/** Builder of {@link HttpServer}. Not thread-safe. */
	public static final class Builder {

		/** Process name for log lines. */
		private final String name;

		/** Handlers by path; unknown paths return status 404. */
		private final PathHandler pathHandler = new PathHandler(HttpServer::sendNotFound);

		/** IP address to listen on. */
		private String host = "127.0.0.1";

		/** Port to listen on, 0 for any free port. */
		private int port;

		private ServerSettings settings = ServerSettings.defaults();

		/** Whether the process can accept requests. */
		private BooleanSupplier readiness = () -> true;

		/** Supplies the state that {@code /admin/dump} returns. */
		private Supplier<Map<String, Object>> dump = Map::of;

		private PrometheusRegistry registry = new PrometheusRegistry();

		private Builder(String name) {
			this.name = Objects.requireNonNull(name, "name");
		}

		/**
		 * Sets the IP address to listen on.
		 * @param address an IPv4 or IPv6 address, not null
		 * @return this builder
		 */
		public Builder host(String address) {
			this.host = Objects.requireNonNull(address, "address");
			return this;
		}

		/**
		 * Sets the port to listen on.
		 * @param number the port, 0 for any free port
		 * @return this builder
		 */
		public Builder port(int number) {
			this.port = number;
			return this;
		}

		/**
		 * Sets the limits, timeouts and thread counts of the server.
		 * @param limits the settings, not null
		 * @return this builder
		 */
		public Builder settings(ServerSettings limits) {
			this.settings = Objects.requireNonNull(limits, "limits");
			return this;
		}

		/**
		 * Adds a handler for a path and all paths below it; the longest matching prefix
		 * is used.
		 * @param path the path, starting with a slash, not null
		 * @param handler the handler, not null
		 * @return this builder
		 */
		public Builder addPrefixPath(String path, HttpHandler handler) {
			this.pathHandler.addPrefixPath(path, handler);
			return this;
		}

		/**
		 * Adds a handler for a single path.
		 * @param path the path, starting with a slash, not null
		 * @param handler the handler, not null
		 * @return this builder
		 */
		public Builder addExactPath(String path, HttpHandler handler) {
			this.pathHandler.addExactPath(path, handler);
			return this;
		}

		/**
		 * Sets the readiness check of {@code /readyz}.
		 * @param supplier returns true if the process can accept requests, not null;
		 * called on an I/O thread, must not block
		 * @return this builder
		 */
		public Builder readiness(BooleanSupplier supplier) {
			this.readiness = Objects.requireNonNull(supplier, "supplier");
			return this;
		}

		/**
		 * Sets the supplier of the state that {@code /admin/dump} returns.
		 * @param supplier returns the state as values that can be serialised to JSON, not
		 * null; called on a worker thread
		 * @return this builder
		 */
		public Builder dump(Supplier<Map<String, Object>> supplier) {
			this.dump = Objects.requireNonNull(supplier, "supplier");
			return this;
		}

		/**
		 * Sets the registry whose metrics {@code /metrics} returns.
		 * @param metrics the metrics registry, not null
		 * @return this builder
		 */
		public Builder registry(PrometheusRegistry metrics) {
			this.registry = Objects.requireNonNull(metrics, "metrics");
			return this;
		}

		/**
		 * Starts the server.
		 * @return the running server, never null
		 * @throws IllegalStateException if the server cannot listen on the address and
		 * port
		 */
		public HttpServer start() {
			AtomicBoolean isStopping = new AtomicBoolean();
			GracefulShutdownHandler runningRequests = new GracefulShutdownHandler(this.pathHandler);
			HttpHandler refuseWhenStopping = (exchange) -> {
				if (isStopping.get()) {
					sendStopping(exchange);
				}
				else {
					runningRequests.handleRequest(exchange);
				}
			};
			OperationalEndpoints endpoints = new OperationalEndpoints(
					() -> !isStopping.get() && this.readiness.getAsBoolean(), this.dump, this.registry);
			Undertow undertow = createUndertow(endpoints.registerOn(new PathHandler(refuseWhenStopping)));
			startUndertow(undertow);
			HttpServer server = new HttpServer(undertow, runningRequests, isStopping);
			LOG.info("http_server_started", "process", this.name, "address", server.uri());
			return server;
		}

		private Undertow createUndertow(HttpHandler handler) {
			int idleMillis = Math.toIntExact(this.settings.idleTimeout().toMillis());
			int headMillis = Math.toIntExact(this.settings.headTimeout().toMillis());
			return Undertow.builder()
				.addHttpListener(this.port, this.host)
				.setIoThreads(this.settings.ioThreads())
				.setWorkerThreads(this.settings.workerThreads())
				.setServerOption(UndertowOptions.MAX_ENTITY_SIZE, this.settings.maxBodyBytes())
				.setServerOption(UndertowOptions.MAX_HEADER_SIZE, this.settings.maxHeaderBytes())
				.setServerOption(UndertowOptions.IDLE_TIMEOUT, idleMillis)
				.setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, idleMillis)
				.setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, headMillis)
				.setHandler(handler)
				.build();
		}

		private void startUndertow(Undertow undertow) {
			try {
				undertow.start();
			}
			catch (RuntimeException ex) {
				throw new IllegalStateException("cannot listen on " + this.host + ":" + this.port, ex);
			}
		}

	}

}
