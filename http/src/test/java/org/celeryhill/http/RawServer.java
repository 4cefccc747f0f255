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
 * Server on an ephemeral loopback port that handles each connection by a function, so
 * that tests can break the protocol at any byte.
 */
final class RawServer implements AutoCloseable {

	/** Listening socket. */
	private final ServerSocket listener;

	/** Requests whose head was read. */
	private final AtomicInteger requests = new AtomicInteger();

	/** Thread that accepts connections. */
	private Thread thread;

	/** Connection that is handled, null before the first. */
	private volatile Socket current;

	private RawServer(ServerSocket listener) {
		this.listener = listener;
	}

	static RawServer start(Handler handler) throws IOException {
		RawServer server = new RawServer(new ServerSocket(0, 16, InetAddress.getLoopbackAddress()));
		server.thread = new Thread(() -> server.run(handler), "raw-server");
		server.thread.setDaemon(true);
		server.thread.start();
		return server;
	}

	private void run(Handler handler) {
		while (!this.listener.isClosed()) {
			try (Socket socket = this.listener.accept()) {
				this.current = socket;
				socket.setSoTimeout(5000);
				handler.handle(new Connection(socket, this.requests));
			}
			catch (IOException ex) {
				// The client or the test closed the connection.
			}
		}
	}

	URI uri() {
		return URI.create("http://127.0.0.1:" + this.listener.getLocalPort());
	}

	int requests() {
		return this.requests.get();
	}

	/**
	 * Stops listening. The kernel accepts connections until the accepting thread has left
	 * its system call, so that thread is awaited.
	 * @throws IOException if the socket cannot be closed
	 */
	@Override
	public void close() throws IOException {
		this.listener.close();
		if (this.current != null) {
			this.current.close();
		}
		try {
			this.thread.join(2000);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/** Handles one connection, which is closed when it returns. */
	interface Handler {

		void handle(Connection connection) throws IOException;

	}

	/** One connection. */
	record Connection(Socket socket, AtomicInteger requests) {

		/**
		 * Reads a request with its body.
		 * @return false if the client closed the connection before a request
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
			this.requests.incrementAndGet();
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

		void write(String text) throws IOException {
			this.socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
		}

		void answer(int status, String headers, String body) throws IOException {
			write("HTTP/1.1 " + status + " x\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body);
		}

	}

}
