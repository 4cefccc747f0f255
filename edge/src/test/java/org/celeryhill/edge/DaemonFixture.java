package org.celeryhill.edge;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

import org.celeryhill.platform.FakePlatformService;
import org.celeryhill.platform.FakePlatformStore;
import org.celeryhill.platform.PlatformTables;
import picocli.CommandLine;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Test fixture with a store that starts complete edge daemons on the loopback interface.
 */
final class DaemonFixture implements AutoCloseable {

	private static final int FIRST_PORT = 20_000;

	private static final int PORTS = 10_000;

	private static final AtomicInteger NEXT_PORT = new AtomicInteger((int) (ProcessHandle.current().pid() % PORTS));

	final FakePlatformStore store;

	private final List<EdgeDaemon> daemons = new ArrayList<>();

	DaemonFixture() throws IOException {
		this.store = new FakePlatformStore();
	}

	EdgeSettings settings(String host) throws IOException {
		return settings(host, "--store=127.0.0.1:" + this.store.address().getPort());
	}

	EdgeSettings settings(String host, String... extraOptions) throws IOException {
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
	static String freeAddress() throws IOException {
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

	void storeConfiguration(int version, String prefix) {
		this.store.put(PlatformTables.OPERATOR_TABLE, PlatformTables.CONFIGURATION,
				FakePlatformService.configuration(version, "s", prefix));
	}

	EdgeDaemon start(EdgeSettings settings) throws InterruptedException {
		EdgeDaemon daemon = EdgeDaemon.create(settings);
		this.daemons.add(daemon);
		daemon.start();
		return daemon;
	}

	static String exchange(String address, String request) throws IOException {
		String[] parts = address.split(":");
		try (Socket socket = new Socket(parts[0], Integer.parseInt(parts[1]))) {
			socket.setSoTimeout(8000);
			socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
			return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
		}
	}

	static String ready(EdgeSettings settings) throws IOException {
		return exchange(settings.ready, "GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
	}

	static void awaitReady(EdgeSettings settings) throws Exception {
		long end = System.nanoTime() + 10_000_000_000L;
		while (!ready(settings).startsWith("HTTP/1.1 200") && System.nanoTime() < end) {
			Thread.sleep(20);
		}
		assertThat(ready(settings)).startsWith("HTTP/1.1 200");
	}

	@Override
	public void close() {
		this.daemons.forEach(EdgeDaemon::close);
		this.store.close();
	}

}
