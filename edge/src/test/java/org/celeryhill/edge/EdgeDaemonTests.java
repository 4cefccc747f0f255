package org.celeryhill.edge;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.celeryhill.platform.FakePlatformService;
import org.celeryhill.platform.FakePlatformStore;
import org.celeryhill.platform.PlatformTables;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import picocli.CommandLine;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of whole edge daemons before stand-ins of the platform.
 */
@Timeout(60)
class EdgeDaemonTests {

	private static final int FIRST_PORT = 20_000;

	private static final int PORTS = 10_000;

	private static final AtomicInteger NEXT_PORT = new AtomicInteger((int) (ProcessHandle.current().pid() % PORTS));

	private final List<EdgeDaemon> daemons = new ArrayList<>();

	private FakePlatformStore store;

	private FakePlatformService service;

	@BeforeEach
	void start() throws Exception {
		this.store = new FakePlatformStore();
		this.service = new FakePlatformService("i-1");
		this.store.put(PlatformTables.BACKEND_SERVERS_TABLE, "i-1", this.service.hostListEntry("s", "ready"));
	}

	@AfterEach
	void stop() {
		for (EdgeDaemon daemon : this.daemons) {
			daemon.close();
		}
		this.service.close();
		this.store.close();
	}

	private EdgeSettings settings(String host) throws IOException {
		return settings(host, "--store=127.0.0.1:" + this.store.address().getPort());
	}

	private EdgeSettings settings(String host, String... more) throws IOException {
		EdgeSettings settings = new EdgeSettings();
		List<String> flags = new ArrayList<>(List.of("--host-id=" + host, "--data-centre=here", "--region=r",
				"--front=" + freeAddress(), "--ready=" + freeAddress(), "--peer=" + freeAddress(),
				"--metrics-port=" + freeAddress().split(":")[1], "--grace-s=6"));
		flags.addAll(List.of(more));
		CommandLine.populateCommand(settings, flags.toArray(new String[0]));
		assertThat(settings.check()).isEmpty();
		return settings;
	}

	// Ports below the range from which the system takes those of outgoing connections.
	private static String freeAddress() throws IOException {
		while (true) {
			int port = FIRST_PORT + NEXT_PORT.getAndIncrement() % PORTS;
			try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
				return "127.0.0.1:" + socket.getLocalPort();
			}
			catch (BindException ex) {
				// Another process has the port; the next one is tried.
			}
		}
	}

	private void configure(int version, String prefix) {
		this.store.put(PlatformTables.OPERATOR_TABLE, PlatformTables.CONFIGURATION,
				FakePlatformService.configuration(version, "s", prefix));
	}

	private EdgeDaemon start(EdgeSettings settings) throws InterruptedException {
		EdgeDaemon daemon = EdgeDaemon.create(settings);
		this.daemons.add(daemon);
		daemon.start();
		return daemon;
	}

	private static String exchange(String address, String request) throws IOException {
		String[] parts = address.split(":");
		try (Socket socket = new Socket(parts[0], Integer.parseInt(parts[1]))) {
			socket.setSoTimeout(8000);
			socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
			return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
		}
	}

	private static String ready(EdgeSettings settings) throws IOException {
		return exchange(settings.ready, "GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
	}

	private static void awaitReady(EdgeSettings settings) throws Exception {
		long end = System.nanoTime() + 10_000_000_000L;
		while (!ready(settings).startsWith("HTTP/1.1 200") && System.nanoTime() < end) {
			Thread.sleep(20);
		}
		assertThat(ready(settings)).startsWith("HTTP/1.1 200");
	}

	// Guards against a path that is broken between its parts, against readiness without a
	// configuration, and against an older version that comes back.
	@Test
	void servesUnderTheNewestConfiguration() throws Exception {
		EdgeSettings settings = settings("h1");
		start(settings);
		assertThat(ready(settings)).startsWith("HTTP/1.1 503");
		configure(3, "/p/");
		awaitReady(settings);
		assertThat(exchange(settings.front, FakePlatformService.request("/p/x", "a1"))).startsWith("HTTP/1.1 200")
			.contains("s.i-1")
			.endsWith("ran at i-1");
		configure(4, "/q/");
		this.store.put(PlatformTables.OPERATOR_TABLE, PlatformTables.CONFIGURATION, "broken bytes");
		configure(2, "/p/");
		Thread.sleep(400);
		assertThat(exchange(settings.front, FakePlatformService.request("/p/x", "a2"))).startsWith("HTTP/1.1 404");
		assertThat(exchange(settings.front, FakePlatformService.request("/q/x", "a3"))).startsWith("HTTP/1.1 200");
	}

	// Guards against requests that fail because the store is away.
	@Test
	void servesWithoutTheStore() throws Exception {
		configure(3, "/p/");
		EdgeSettings settings = settings("h1");
		start(settings);
		awaitReady(settings);
		this.store.setFault(FakePlatformStore.Fault.BUSY);
		Thread.sleep(3000);
		assertThat(ready(settings)).startsWith("HTTP/1.1 200");
		assertThat(exchange(settings.front, FakePlatformService.request("/p/x", "a1"))).startsWith("HTTP/1.1 200");
	}

	// Guards against a host that the store refuses and that knows no newer configuration,
	// though another host does.
	@Test
	void learnsTheConfigurationFromAPeer() throws Exception {
		configure(3, "/p/");
		EdgeSettings first = settings("h1");
		start(first);
		awaitReady(first);
		EdgeSettings second = settings("h2", "--seeds=" + first.peer, "--store=" + freeAddress());
		start(second);
		awaitReady(second);
	}

	// Guards against requests that a stop breaks off, and against a stop without end.
	@Test
	void finishesRequestsWhenItStops() throws Exception {
		configure(3, "/p/");
		EdgeSettings settings = settings("h1");
		EdgeDaemon daemon = start(settings);
		awaitReady(settings);
		this.service.setRequestMillis(1500);
		CountDownLatch stopped = new CountDownLatch(1);
		List<String> answers = new ArrayList<>();
		Thread caller = new Thread(() -> {
			try {
				answers.add(exchange(settings.front, FakePlatformService.request("/p/x", "a1")));
			}
			catch (IOException ex) {
				answers.add(ex.toString());
			}
		});
		caller.start();
		Thread.sleep(300);
		daemon.stop(stopped::countDown);
		Thread.sleep(100);
		assertThat(ready(settings)).startsWith("HTTP/1.1 503");
		caller.join();
		assertThat(answers.get(0)).startsWith("HTTP/1.1 200");
		assertThat(stopped.await(6, TimeUnit.SECONDS)).isTrue();
		assertThat(this.service.runCount()).isEqualTo(1);
	}

	// Guards against settings that are taken although they are wrong, and against
	// findings
	// that are reported one at a time.
	@Test
	void reportsAllWrongSettings() {
		EdgeSettings settings = new EdgeSettings();
		CommandLine.populateCommand(settings, "--host-id=h", "--data-centre=d", "--region=r", "--front=here",
				"--ready=10.0.0.1:99999", "--peer=10.0.0.1:1", "--store=", "--lease-ms=0", "--retry-ratio=2");
		assertThat(settings.check()).extracting((finding) -> finding.path())
			.containsExactly("--front", "--ready", "--store", "--lease-ms", "--retry-ratio");
	}

}
