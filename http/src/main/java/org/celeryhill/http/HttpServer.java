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
 * {@code /metrics} and {@code /admin/dump}, and a graceful stop. Handlers run on I/O
 * threads and must not block unless they are wrapped by {@link #blocking}. Thread-safe.
 */
public final class HttpServer {

	/** Log of this class. */
	private static final EventLog LOG = EventLog.of(HttpServer.class);

	/** The server. */
	private final Undertow undertow;

	/** Counts the requests that run. */
	private final GracefulShutdownHandler requests;

	/** Whether new requests are refused. */
	private final AtomicBoolean stopping;

	private HttpServer(Undertow undertow, GracefulShutdownHandler requests, AtomicBoolean stopping) {
		this.undertow = undertow;
		this.requests = requests;
		this.stopping = stopping;
	}

	/**
	 * Returns a builder.
	 * @param name the name of the process, used in logs, not null
	 * @return the builder, never null
	 */
	public static Builder builder(String name) {
		return new Builder(name);
	}

	/**
	 * Returns a handler that runs another one on a worker thread.
	 * @param handler the handler that may block, not null
	 * @return the handler, never null
	 */
	public static HttpHandler blocking(HttpHandler handler) {
		return new BlockingHandler(Objects.requireNonNull(handler, "handler"));
	}

	/**
	 * Returns the address that the server listens on.
	 * @return an {@code http} address with the actual port, never null
	 */
	public URI uri() {
		InetSocketAddress address = (InetSocketAddress) this.undertow.getListenerInfo().get(0).getAddress();
		String host = address.getAddress().getHostAddress();
		return URI.create("http://" + (host.contains(":") ? "[" + host + "]" : host) + ":" + address.getPort());
	}

	/**
	 * Returns the port that the server listens on.
	 * @return the port
	 */
	public int port() {
		return uri().getPort();
	}

	/**
	 * Refuses new requests with status 503 and {@code X-Execution: not_run} and reports
	 * not ready. Running requests and the operational endpoints continue.
	 */
	public void refuseNewRequests() {
		this.stopping.set(true);
	}

	/**
	 * Stops the server: refuses new requests, waits for those that run, closes the
	 * connections. Blocks.
	 * @param grace the longest wait for running requests, not null
	 * @return true if all requests had ended within the time
	 */
	public boolean stop(Duration grace) {
		refuseNewRequests();
		boolean isDone = awaitRequests(grace);
		LOG.info("http_server_stopped", "requests_done", isDone);
		this.undertow.stop();
		return isDone;
	}

	private boolean awaitRequests(Duration grace) {
		this.requests.shutdown();
		try {
			return this.requests.awaitShutdown(Math.max(1, grace.toMillis()));
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return false;
		}
	}

	private static void sendNotFound(HttpServerExchange exchange) {
		HttpResponses.sendError(exchange, 404, "not_found", "no such path: " + exchange.getRequestPath(), Execution.NOT_RUN);
	}

	private static void sendStopping(HttpServerExchange exchange) {
		exchange.setPersistent(false);
		HttpResponses.sendError(exchange, 503, "stopping", "this process is stopping; send the request to another host",
				Execution.NOT_RUN, Duration.ofSeconds(1));
	}

	/** Builder of servers. Not thread-safe. */
	public static final class Builder {

		/** Name of the process. */
		private final String name;

		/** Handlers by path. */
		private final PathHandler paths = new PathHandler(HttpServer::sendNotFound);

		/** Address to listen on, an IP number. */
		private String host = "127.0.0.1";

		/** Port to listen on, 0 for any. */
		private int port;

		/** Limits. */
		private ServerSettings settings = ServerSettings.defaults();

		/** Whether the process can take requests. */
		private BooleanSupplier readiness = () -> true;

		/** State dump. */
		private Supplier<Map<String, Object>> dump = Map::of;

		/** Metrics. */
		private PrometheusRegistry registry = new PrometheusRegistry();

		private Builder(String name) {
			this.name = Objects.requireNonNull(name, "name");
		}

		/**
		 * Sets the address to listen on.
		 * @param address an IP number, not null
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
		 * Sets the limits.
		 * @param limits the limits, not null
		 * @return this builder
		 */
		public Builder settings(ServerSettings limits) {
			this.settings = Objects.requireNonNull(limits, "limits");
			return this;
		}

		/**
		 * Adds a handler for a path and everything below it; the longest match wins.
		 * @param path the path, starting with a slash, not null
		 * @param handler the handler, not null
		 * @return this builder
		 */
		public Builder addPrefixPath(String path, HttpHandler handler) {
			this.paths.addPrefixPath(path, handler);
			return this;
		}

		/**
		 * Adds a handler for exactly one path.
		 * @param path the path, starting with a slash, not null
		 * @param handler the handler, not null
		 * @return this builder
		 */
		public Builder addExactPath(String path, HttpHandler handler) {
			this.paths.addExactPath(path, handler);
			return this;
		}

		/**
		 * Sets what {@code /readyz} reports.
		 * @param supplier true if the process can take requests, not null; called on an
		 * I/O thread, must not block
		 * @return this builder
		 */
		public Builder readiness(BooleanSupplier supplier) {
			this.readiness = Objects.requireNonNull(supplier, "supplier");
			return this;
		}

		/**
		 * Sets what {@code /admin/dump} returns.
		 * @param supplier the state as values with a JSON form, not null; called on a
		 * worker thread
		 * @return this builder
		 */
		public Builder dump(Supplier<Map<String, Object>> supplier) {
			this.dump = Objects.requireNonNull(supplier, "supplier");
			return this;
		}

		/**
		 * Sets the metrics that {@code /metrics} returns.
		 * @param metrics the registry, not null
		 * @return this builder
		 */
		public Builder registry(PrometheusRegistry metrics) {
			this.registry = Objects.requireNonNull(metrics, "metrics");
			return this;
		}

		/**
		 * Starts the server.
		 * @return the running server, never null
		 * @throws IllegalStateException if the address cannot be listened on
		 */
		public HttpServer start() {
			AtomicBoolean stopping = new AtomicBoolean();
			GracefulShutdownHandler requests = new GracefulShutdownHandler(this.paths);
			HttpHandler guarded = (exchange) -> {
				if (stopping.get()) {
					sendStopping(exchange);
				}
				else {
					requests.handleRequest(exchange);
				}
			};
			OperationalEndpoints endpoints = new OperationalEndpoints(
					() -> !stopping.get() && this.readiness.getAsBoolean(), this.dump, this.registry);
			Undertow undertow = newServer(endpoints.addTo(new PathHandler(guarded)));
			startServer(undertow);
			HttpServer kit = new HttpServer(undertow, requests, stopping);
			LOG.info("http_server_started", "process", this.name, "address", kit.uri());
			return kit;
		}

		private Undertow newServer(HttpHandler handler) {
			int idleMillis = Math.toIntExact(this.settings.idleTimeout().toMillis());
			int readMillis = Math.toIntExact(this.settings.headTimeout().toMillis());
			return Undertow.builder()
				.addHttpListener(this.port, this.host)
				.setIoThreads(this.settings.ioThreads())
				.setWorkerThreads(this.settings.workerThreads())
				.setServerOption(UndertowOptions.MAX_ENTITY_SIZE, this.settings.maxBodyBytes())
				.setServerOption(UndertowOptions.MAX_HEADER_SIZE, this.settings.maxHeaderBytes())
				.setServerOption(UndertowOptions.IDLE_TIMEOUT, idleMillis)
				.setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, idleMillis)
				.setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, readMillis)
				.setHandler(handler)
				.build();
		}

		private void startServer(Undertow undertow) {
			try {
				undertow.start();
			}
			catch (RuntimeException ex) {
				throw new IllegalStateException("cannot listen on " + this.host + ":" + this.port, ex);
			}
		}

	}

}
