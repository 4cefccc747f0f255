package org.celeryhill.forward;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.celeryhill.base.BackendServerId;
import org.celeryhill.base.DataCentre;
import org.celeryhill.base.HostId;
import org.celeryhill.base.ModelId;
import org.celeryhill.base.ServiceId;
import org.celeryhill.traffic.DefaultTrafficController;
import org.celeryhill.traffic.TrafficTunables;

/**
 * A forwarder on loopback with a plain service, an engine service and a caller of raw
 * bytes.
 */
final class ForwardFixture implements AutoCloseable {

	static final ServiceId PLAIN = ServiceId.of("plain");

	static final ServiceId ENGINES = ServiceId.of("engines");

	static final ModelId MODEL = ModelId.of("m1");

	private static final DataCentre HERE = DataCentre.of("here");

	private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final EventLoop loop = this.group.next();

	private final IngressServer front;

	private final InetSocketAddress address;

	final Forwarder forwarder;

	ForwardFixture() throws Exception {
		TrafficTunables tunables = TrafficTunables.DEFAULTS.withHedgeFraction(0);
		BackendClient client = BackendClient.create(this.loop);
		this.forwarder = call(() -> Forwarder.create(this.loop, client, new PlainDialect(),
				DefaultTrafficController.create(HostId.of("h1"), HERE, "1", 7, tunables), new NoMetrics()));
		this.front = IngressServer.create(this.loop, this.forwarder);
		try (java.net.ServerSocket free = new java.net.ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			this.address = new InetSocketAddress("127.0.0.1", free.getLocalPort());
		}
		this.front.listen(this.address).sync();
	}

	private <T> T call(Callable<T> task) throws Exception {
		return this.loop.submit(task).get(5, TimeUnit.SECONDS);
	}

	ForwardFixture configured() throws Exception {
		return configured(Duration.ofSeconds(5));
	}

	ForwardFixture configured(Duration timeout) throws Exception {
		EngineProfile engine = new EngineProfile(8, 100_000, 2, 1_000, 4, 1, List.of(new EngineProfile.Model(MODEL, 10,
				2, 1, Duration.ofSeconds(1), Duration.ofSeconds(1), Duration.ofSeconds(1))));
		List<ServiceProfile> services = List.of(new ServiceProfile(PLAIN, 10, Optional.empty()),
				new ServiceProfile(ENGINES, 10, Optional.of(engine)));
		List<Route> routes = List.of(route("/once/", Route.Kind.NON_IDEMPOTENT, PLAIN, timeout, false, 1),
				route("/many/", Route.Kind.IDEMPOTENT, PLAIN, timeout, false, 2),
				route("/resumable/", Route.Kind.STREAM, ENGINES, timeout, true, 2),
				route("/stream/", Route.Kind.STREAM, ENGINES, timeout, false, 1));
		call(() -> this.forwarder.apply(RoutingTable.of(1, routes, services, IngressLimits.DEFAULTS)));
		return this;
	}

	private static Route route(String prefix, Route.Kind kind, ServiceId service, Duration timeout, boolean isResumable,
			int attempts) {
		return new Route(prefix, "a.example", prefix, kind, timeout, Duration.ofMillis(500), 0,
				List.of(new Route.Destination(service, 1)), attempts, isResumable, Duration.ofMillis(250));
	}

	void add(String id, ServiceId service, RawEngine engine) throws Exception {
		put(id, service, engine, false);
	}

	void put(String id, ServiceId service, RawEngine engine, boolean isDraining) throws Exception {
		List<ServerEntry.ResidentModel> models = service.equals(ENGINES)
				? List.of(new ServerEntry.ResidentModel(MODEL, 1, Set.of())) : List.of();
		call(() -> {
			this.forwarder.directory()
				.put(new ServerEntry(BackendServerId.of(id), 1, service, engine.address(), HERE, 4, isDraining, models,
						Set.of(), Set.of(), 1), 1);
			return null;
		});
	}

	// Must be called on the event loop.
	void retire(String id) {
		this.forwarder.directory().setRetiringModels(Map.of(BackendServerId.of(id), MODEL));
	}

	// Must be called on the event loop.
	void later(long millis, Runnable task) {
		this.loop.schedule(task, millis, TimeUnit.MILLISECONDS);
	}

	// Sets what is done for a request whose adapter is not loaded.
	void loadAdapters(Consumer<Consumer<Boolean>> loader) throws Exception {
		run(() -> this.forwarder.setAdapterLoader(new AdapterLoader() {
			@Override
			public void load(BackendServerId engine, RequestMetadata.ModelName name, Consumer<Boolean> done) {
				loader.accept(done);
			}

			@Override
			public void recordUse(BackendServerId engine, RequestMetadata.ModelName name) {
				// No engine keeps adapters here.
			}
		}));
	}

	void forecast(PlacementForecast forecast) throws Exception {
		run(() -> this.forwarder.setPlacementForecast(forecast));
	}

	int activeCount() throws Exception {
		return call(this.forwarder::activeCount);
	}

	void startStopping() throws Exception {
		run(this.front::startDraining);
	}

	void closeIdle() throws Exception {
		run(this.front::closeIdleConnections);
	}

	private void run(Runnable task) throws Exception {
		call(() -> {
			task.run();
			return null;
		});
	}

	Caller caller() throws IOException {
		return new Caller(this.address);
	}

	// Sends one request on a connection of its own and returns all bytes of the answer.
	String exchange(String request) throws IOException {
		try (Caller caller = caller()) {
			caller.send(request);
			return caller.readAll();
		}
	}

	static String get(String path, String id) {
		return "GET " + path + " HTTP/1.1\r\nHost: a.example\r\nid: " + id + "\r\nConnection: close\r\n\r\n";
	}

	static String post(String path, String id, String body) {
		return "POST " + path + " HTTP/1.1\r\nHost: a.example\r\nid: " + id
				+ "\r\nConnection: close\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
	}

	static String generate(String path, String id) {
		return "POST " + path + " HTTP/1.1\r\nHost: a.example\r\nid: " + id + "\r\nmodel: " + MODEL
				+ "\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi";
	}

	@Override
	public void close() throws Exception {
		run(this.front::close);
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
	}

	/**
	 * A caller that sends and reads raw bytes.
	 */
	static final class Caller implements AutoCloseable {

		private final Socket socket;

		private Caller(InetSocketAddress address) throws IOException {
			this.socket = new Socket(address.getAddress(), address.getPort());
			this.socket.setSoTimeout(8000);
		}

		void send(String text) throws IOException {
			this.socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
		}

		String readAll() throws IOException {
			return new String(this.socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
		}

		String readUntil(String end) throws IOException {
			StringBuilder text = new StringBuilder();
			InputStream in = this.socket.getInputStream();
			while (text.indexOf(end) < 0) {
				int next = in.read();
				if (next < 0) {
					return text + "<end>";
				}
				text.append((char) next);
			}
			return text.toString();
		}

		@Override
		public void close() throws IOException {
			this.socket.close();
		}

	}

	private static final class NoMetrics implements ForwardMetrics {

		@Override
		public void refused(String reason) {
			// Not under test.
		}

		@Override
		public void recordSend(boolean isFirst) {
			// Not under test.
		}

		@Override
		public void recordEnd(int status, double seconds) {
			// Not under test.
		}

		@Override
		public void recordFirstEvent(double seconds) {
			// Not under test.
		}

	}

}
