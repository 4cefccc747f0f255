package org.celeryhill.soak;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Ports of a daemon on the loopback interface. Immutable.
 *
 * @param front the port for callers
 * @param ready the port for readiness checks
 * @param control the port for other daemons
 * @param metricsPort the port for metrics
 */
record DaemonAddresses(int front, int ready, int control, int metricsPort) {

	/** Below the range from which the system assigns ports itself. */
	private static final int FIRST_PORT = 12_000;

	private static final int PORTS = 18_000;

	private static final AtomicInteger NEXT_PORT = new AtomicInteger((int) (ProcessHandle.current().pid() % 90 * 200));

	static DaemonAddresses pick() throws IOException {
		return new DaemonAddresses(freePort(), freePort(), freePort(), freePort());
	}

	private static int freePort() throws IOException {
		while (true) {
			int port = FIRST_PORT + NEXT_PORT.getAndIncrement() % PORTS;
			try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
				return socket.getLocalPort();
			}
			catch (BindException ex) {
				// The port is in use by another process; try the next one.
			}
		}
	}

	String frontText() {
		return text(this.front);
	}

	String readyText() {
		return text(this.ready);
	}

	String controlText() {
		return text(this.control);
	}

	private static String text(int port) {
		return "127.0.0.1:" + port;
	}

}
