package org.celeryhill.http;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * TCP server on an ephemeral loopback port that passes each connection to a test
 * function. It lets tests violate the HTTP protocol at any byte.
 */
final class RawServer implements AutoCloseable {

	private final ServerSocket listener;

	/** Number of requests whose head was read. */
	private final AtomicInteger requestCount = new AtomicInteger();

	private Thread thread;

	/** Current connection, null before the first one. */
	private volatile Socket currentConnection;

	private RawServer(ServerSocket listener) {
		this.listener = listener;
	}

	static RawServer start(Handler handler) throws IOException {
		RawServer server = new RawServer(new ServerSocket(0, 16, InetAddress.getLoopbackAddress()));
		server.thread = new Thread(() -> server.acceptConnections(handler), "raw-server");
		server.thread.setDaemon(true);
		server.thread.start();
		return server;
	}

	private void acceptConnections(Handler handler) {
		while (!this.listener.isClosed()) {
			try (Socket socket = this.listener.accept()) {
				this.currentConnection = socket;
				socket.setSoTimeout(5000);
				handler.handle(new Connection(socket, this.requestCount));
			}
			catch (IOException ex) {
				// The client or the test closed the connection.
			}
		}
	}

	URI uri() {
		return URI.create("http://127.0.0.1:" + this.listener.getLocalPort());
	}

	int requestCount() {
		return this.requestCount.get();
	}

	/**
	 * Stops listening. The kernel accepts connections until the accepting thread has
	 * returned from its system call, so this method waits for that thread.
	 * @throws IOException if the socket cannot be closed
	 */
	@Override
	public void close() throws IOException {
		this.listener.close();
		if (this.currentConnection != null) {
			this.currentConnection.close();
		}
		try {
			this.thread.join(2000);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * Handles one connection. The server closes the connection when the method returns.
	 */
	interface Handler {

		void handle(Connection connection) throws IOException;

	}

	/** Connection of a client. */
	record Connection(Socket socket, AtomicInteger requestCount) {

		/**
		 * Reads a request with its body.
		 * @return false if the client closed the connection before it sent a request head
		 * @throws IOException if the connection breaks
		 */
		boolean readRequest() throws IOException {
			InputStream in = this.socket.getInputStream();
			StringBuilder head = new StringBuilder();
			while (!head.toString().endsWith("\r\n\r\n")) {
				int b = in.read();
				if (b < 0) {
					return false;
				}
				head.append((char) b);
			}
			this.requestCount.incrementAndGet();
			in.readNBytes(contentLength(head.toString()));
			return true;
		}

		private static int contentLength(String head) {
			for (String line : head.split("\r\n")) {
				if (line.toLowerCase(java.util.Locale.ROOT).startsWith("content-length:")) {
					return Integer.parseInt(line.substring(15).strip());
				}
			}
			return 0;
		}

		void writeText(String text) throws IOException {
			this.socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
		}

		void respond(int status, String headers, String body) throws IOException {
			writeText(
					"HTTP/1.1 " + status + " x\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body);
		}

	}

}
