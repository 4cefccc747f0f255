package org.celeryhill.forward;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;

/**
 * A backend server on loopback that answers each request with a script, so that tests can
 * send any bytes and break off at any point.
 */
final class RawEngine implements AutoCloseable {

	private final List<Received> received = new CopyOnWriteArrayList<>();

	private final List<Socket> sockets = new CopyOnWriteArrayList<>();

	private final LinkedBlockingQueue<String> closings = new LinkedBlockingQueue<>();

	private final ServerSocket listener;

	private final Script script;

	RawEngine(Script script) throws IOException {
		this.script = script;
		this.listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
		start(this::accept);
	}

	private static void start(Runnable task) {
		Thread thread = new Thread(task, "raw-engine");
		thread.setDaemon(true);
		thread.start();
	}

	InetSocketAddress address() {
		return new InetSocketAddress("127.0.0.1", this.listener.getLocalPort());
	}

	List<Received> received() {
		return this.received;
	}

	int connections() {
		return this.sockets.size();
	}

	// Waits until the peer has closed a connection on which a script was waiting.
	String awaitClose(long millis) throws InterruptedException {
		return this.closings.poll(millis, java.util.concurrent.TimeUnit.MILLISECONDS);
	}

	private void accept() {
		try {
			while (true) {
				Socket socket = this.listener.accept();
				this.sockets.add(socket);
				start(() -> serve(socket));
			}
		}
		catch (IOException ex) {
			// The listener was closed at the end of the test.
		}
	}

	private void serve(Socket socket) {
		try (socket) {
			InputStream in = socket.getInputStream();
			while (true) {
				Received request = read(in);
				if (request == null) {
					return;
				}
				this.received.add(request);
				this.script.answer(request, new Connection(socket, this.closings));
			}
		}
		catch (IOException ex) {
			// The connection ended as the script or the client wanted.
		}
	}

	private static Received read(InputStream in) throws IOException {
		StringBuilder head = new StringBuilder();
		while (head.indexOf("\r\n\r\n") < 0) {
			int next = in.read();
			if (next < 0) {
				return null;
			}
			head.append((char) next);
		}
		List<String> lines = new ArrayList<>(List.of(head.toString().split("\r\n")));
		Received request = new Received(lines, "");
		int length = Integer.parseInt(request.header("content-length", "0"));
		String body = new String(in.readNBytes(length), StandardCharsets.UTF_8);
		return new Received(lines, body);
	}

	@Override
	public void close() throws IOException {
		this.listener.close();
		for (Socket socket : this.sockets) {
			socket.close();
		}
	}

	/**
	 * Answers one request.
	 */
	interface Script {

		void answer(Received request, Connection connection) throws IOException;

	}

	/**
	 * A request as it arrived.
	 */
	record Received(List<String> head, String body) {

		String line() {
			return this.head.get(0);
		}

		String header(String name, String missing) {
			for (String line : this.head) {
				if (line.toLowerCase(java.util.Locale.ROOT).startsWith(name.toLowerCase(java.util.Locale.ROOT) + ":")) {
					return line.substring(name.length() + 1).strip();
				}
			}
			return missing;
		}

	}

	/**
	 * The connection of a request.
	 */
	record Connection(Socket socket, LinkedBlockingQueue<String> closings) {

		void send(String text) throws IOException {
			OutputStream out = this.socket.getOutputStream();
			out.write(text.getBytes(StandardCharsets.UTF_8));
			out.flush();
		}

		void answer(Received request, int status, String headers, String body) throws IOException {
			send("HTTP/1.1 " + status + " Status\r\nid: " + request.header("id", "") + "\r\n" + headers
					+ "content-length: " + body.length() + "\r\n\r\n" + body);
		}

		void startStream(Received request) throws IOException {
			send("HTTP/1.1 200 OK\r\nid: " + request.header("id", "")
					+ "\r\nsigned: s\r\ntransfer-encoding: chunked\r\n\r\n");
		}

		void chunk(String text) throws IOException {
			send(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
		}

		void endStream() throws IOException {
			send("0\r\n\r\n");
		}

		void reset() throws IOException {
			this.socket.setSoLinger(true, 0);
			this.socket.close();
		}

		// Waits until the client closes.
		void awaitClose() throws IOException {
			int next;
			try {
				next = this.socket.getInputStream().read();
			}
			catch (IOException ex) {
				next = -1;
			}
			this.closings.add((next < 0) ? "closed" : "bytes");
			throw new IOException("client closed");
		}

	}

}
