package org.celeryhill.edge;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.celeryhill.forward.IngressLimits;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of all ports of an edge daemon with callers that never complete a head.
 */
@Timeout(60)
class SlowHeadTests {

	private static final int CALLERS_OF_PORT = 50;

	/** Time for the checks of connections after the header timeout, beside load. */
	private static final long CHECK_NANOS = TimeUnit.SECONDS.toNanos(5);

	private DaemonFixture fixture;

	@BeforeEach
	void start() throws Exception {
		this.fixture = new DaemonFixture();
	}

	@AfterEach
	void stop() {
		this.fixture.close();
	}

	private static boolean isByteTaken(Socket socket) {
		try {
			socket.getOutputStream().write('a');
			return true;
		}
		catch (IOException ex) {
			return false;
		}
	}

	// Guards against a port whose connections can be kept with a byte now and then.
	@Test
	void connectionsWithSlowHeadsAreClosedOnAllPorts() throws Exception {
		EdgeSettings settings = this.fixture.settings("h1");
		this.fixture.start(settings);
		List<Socket> open = new ArrayList<>();
		List<String> addresses = List.of(settings.front, settings.ready, settings.peer,
				"127.0.0.1:" + settings.metricsAddress().getPort());
		for (String address : addresses) {
			for (int i = 0; i < CALLERS_OF_PORT; i++) {
				String[] parts = address.split(":");
				open.add(new Socket(parts[0], Integer.parseInt(parts[1])));
			}
		}
		long limitNanos = IngressLimits.DEFAULTS.headerTimeout().toNanos() + CHECK_NANOS;
		long end = System.nanoTime() + limitNanos;
		while (!open.isEmpty() && System.nanoTime() < end) {
			open.removeIf((socket) -> !isByteTaken(socket));
			assertThat(DaemonFixture.ready(settings)).startsWith("HTTP/1.1 503");
			Thread.sleep(50);
		}
		assertThat(open).isEmpty();
	}

}
