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
 * Tests of complete edge daemons against stand-ins of the platform.
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

	private EdgeSettings settings(String host, String... extraOptions) throws IOException {
		EdgeSettings settings = new EdgeSettings();
		List<String> flags = new ArrayList<>(List.of("--host-id=" + host, "--data-centre=here", "--region=r",
				"--front=" + freeAddress(), "--ready=" + freeAddress(), "--peer=" + freeAddress(),
				"--metrics-port=" + freeAddress().split(":")[1], "--grace-s=6"));
		flags.addAll(List.of(extraOptions));
		CommandLine.populateCommand(settings, flags.toArray(new String[0]));
		assertThat(settings.check()).isEmpty();
		return settings;
	}

	// Returns an address whose port is below the ephemeral range, from which the system
	// assigns the ports of outgoing connections.
	private static String freeAddress() throws IOException {
		while (true) {
			int port = FIRST_PORT + NEXT_PORT.getAndIncrement() % PORTS;
			try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
				return "127.0.0.1:" + socket.getLocalPort();
			}
			catch (BindException ex) {
				// The port is in use by another process; try the next one.
			}
		}
	}

	private void storeConfiguration(int version, String prefix) {
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

	// Guards against parts of the request path that do not work together, against a
	// daemon that is ready without a configuration, and against an older or invalid
	// configuration that replaces a newer one.
	@Test
	void servesWithNewestConfiguration() throws Exception {
		EdgeSettings settings = settings("h1");
		start(settings);
		assertThat(ready(settings)).startsWith("HTTP/1.1 503");
		storeConfiguration(3, "/p/");
		awaitReady(settings);
		assertThat(exchange(settings.front, FakePlatformService.request("/p/x", "a1"))).startsWith("HTTP/1.1 200")
			.contains("s.i-1")
			.endsWith("ran at i-1");
		storeConfiguration(4, "/q/");
		this.store.put(PlatformTables.OPERATOR_TABLE, PlatformTables.CONFIGURATION, "broken bytes");
		storeConfiguration(2, "/p/");
		Thread.sleep(400);
		assertThat(exchange(settings.front, FakePlatformService.request("/p/x", "a2"))).startsWith("HTTP/1.1 404");
		assertThat(exchange(settings.front, FakePlatformService.request("/q/x", "a3"))).startsWith("HTTP/1.1 200");
	}

	// Guards against requests that fail because the store is unavailable.
	@Test
	void servesWhileStoreIsUnavailable() throws Exception {
		storeConfiguration(3, "/p/");
		EdgeSettings settings = settings("h1");
		start(settings);
		awaitReady(settings);
		this.store.setFault(FakePlatformStore.Fault.BUSY);
		Thread.sleep(3000);
		assertThat(ready(settings)).startsWith("HTTP/1.1 200");
		assertThat(exchange(settings.front, FakePlatformService.request("/p/x", "a1"))).startsWith("HTTP/1.1 200");
	}

	// Guards against a host that stays without a configuration because it cannot reach
	// the store, though another host has one.
	@Test
	void receivesConfigurationFromPeer() throws Exception {
		storeConfiguration(3, "/p/");
		EdgeSettings first = settings("h1");
		start(first);
		awaitReady(first);
		EdgeSettings second = settings("h2", "--seeds=" + first.peer, "--store=" + freeAddress());
		start(second);
		awaitReady(second);
	}

	// Guards against a graceful stop that aborts running requests or never completes.
	@Test
	void completesRunningRequestsOnStop() throws Exception {
		storeConfiguration(3, "/p/");
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

	// Guards against invalid settings that are accepted, and against a check that ends at
	// the first finding.
	@Test
	void reportsAllInvalidSettings() {
		EdgeSettings settings = new EdgeSettings();
		CommandLine.populateCommand(settings, "--host-id=h", "--data-centre=d", "--region=r", "--front=here",
				"--ready=10.0.0.1:99999", "--peer=10.0.0.1:1", "--store=", "--lease-ms=0", "--retry-ratio=2");
		assertThat(settings.check()).extracting((finding) -> finding.path())
			.containsExactly("--front", "--ready", "--store", "--lease-ms", "--retry-ratio");
	}

}
