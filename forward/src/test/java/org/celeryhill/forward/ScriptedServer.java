package org.celeryhill.forward;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
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
 * Backend server on the loopback interface that handles each request with a script. Tests
 * can send arbitrary bytes and close the connection at any point.
 */
final class ScriptedServer implements AutoCloseable {

	private final List<ReceivedRequest> receivedRequests = new CopyOnWriteArrayList<>();

	private final List<Socket> sockets = new CopyOnWriteArrayList<>();

	private final LinkedBlockingQueue<String> closeEvents = new LinkedBlockingQueue<>();

	private static final int SMALL_RECEIVE_BUFFER_BYTES = 65_536;

	private final ServerSocket listener = new ServerSocket();

	private final Script script;

	private final boolean isBodyRead;

	ScriptedServer(Script script) throws IOException {
		this(script, true);
	}

	private ScriptedServer(Script script, boolean isBodyRead) throws IOException {
		this.script = script;
		this.isBodyRead = isBodyRead;
		if (!isBodyRead) {
			this.listener.setReceiveBufferSize(SMALL_RECEIVE_BUFFER_BYTES);
		}
		this.listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 50);
		startThread(this::acceptConnections);
	}

	// Returns a server that calls its script when it has read the head of a request. The
	// script can read the body, of which the client cannot send much before that.
	static ScriptedServer createForHeads(Script script) throws IOException {
		return new ScriptedServer(script, false);
	}

	private static void startThread(Runnable task) {
		Thread thread = new Thread(task, "scripted-server");
		thread.setDaemon(true);
		thread.start();
	}

	InetSocketAddress address() {
		return new InetSocketAddress("127.0.0.1", this.listener.getLocalPort());
	}

	List<ReceivedRequest> receivedRequests() {
		return this.receivedRequests;
	}

	// Ends like a process that crashes: all connections break, new ones are refused.
	void crash() throws IOException {
		close();
	}

	int connectionCount() {
		return this.sockets.size();
	}

	// Returns the next result of Connection.awaitClientClose: "closed" if the client
	// closed the connection, "bytes" if it sent more. Returns null after the timeout.
	String pollCloseEvent(long millis) throws InterruptedException {
		return this.closeEvents.poll(millis, java.util.concurrent.TimeUnit.MILLISECONDS);
	}

	private void acceptConnections() {
		try {
			while (true) {
				Socket socket = this.listener.accept();
				this.sockets.add(socket);
				startThread(() -> serveConnection(socket));
			}
		}
		catch (IOException ex) {
			if (!this.listener.isClosed()) {
				System.err.println("scripted server stopped accepting connections: " + ex);
			}
		}
	}

	private void serveConnection(Socket socket) {
		try (socket) {
			InputStream in = socket.getInputStream();
			for (int use = 1;; use++) {
				ReceivedRequest request = readRequest(in, this.isBodyRead);
				if (request == null) {
					return;
				}
				this.receivedRequests.add(request);
				this.script.handle(request, new Connection(socket, this.closeEvents, use));
			}
		}
		catch (IOException ex) {
			// The script or the client closed the connection.
		}
		catch (RuntimeException ex) {
			System.err.println("scripted server failed: " + ex);
			throw ex;
		}
	}

	private static ReceivedRequest readRequest(InputStream in, boolean isBodyRead) throws IOException {
		StringBuilder head = new StringBuilder();
		while (head.indexOf("\r\n\r\n") < 0) {
			int next = in.read();
			if (next < 0) {
				return null;
			}
			head.append((char) next);
		}
		List<String> lines = new ArrayList<>(List.of(head.toString().split("\r\n")));
		ReceivedRequest request = new ReceivedRequest(lines, "");
		if (!isBodyRead) {
			return request;
		}
		int length = Integer.parseInt(request.header("content-length", "0"));
		String body = new String(in.readNBytes(length), StandardCharsets.UTF_8);
		return new ReceivedRequest(lines, body);
	}

	@Override
	public void close() throws IOException {
		this.listener.close();
		for (Socket socket : this.sockets) {
			socket.close();
		}
	}

	/**
	 * Handles one request.
	 */
	interface Script {

		void handle(ReceivedRequest request, Connection connection) throws IOException;

	}

	/**
	 * A request as received.
	 */
	record ReceivedRequest(List<String> headLines, String body) {

		String line() {
			return this.headLines.get(0);
		}

		String header(String name, String defaultValue) {
			for (String line : this.headLines) {
				if (line.toLowerCase(java.util.Locale.ROOT).startsWith(name.toLowerCase(java.util.Locale.ROOT) + ":")) {
					return line.substring(name.length() + 1).strip();
				}
			}
			return defaultValue;
		}

	}

	/**
	 * The connection on which a request was received, with the number of the request on
	 * it, from 1.
	 */
	record Connection(Socket socket, LinkedBlockingQueue<String> closeEvents, int use) {

		boolean isReused() {
			return this.use > 1;
		}

		void send(String text) throws IOException {
			OutputStream out = this.socket.getOutputStream();
			out.write(text.getBytes(StandardCharsets.UTF_8));
			out.flush();
		}

		void respond(ReceivedRequest request, int status, String headers, String body) throws IOException {
			send("HTTP/1.1 " + status + " Status\r\nid: " + request.header("id", "") + "\r\n" + headers
					+ "content-length: " + body.length() + "\r\n\r\n" + body);
		}

		void startStream(ReceivedRequest request) throws IOException {
			send("HTTP/1.1 200 OK\r\nid: " + request.header("id", "")
					+ "\r\nsigned: s\r\ntransfer-encoding: chunked\r\n\r\n");
		}

		void sendChunk(String text) throws IOException {
			send(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
		}

		void endStream() throws IOException {
			send("0\r\n\r\n");
		}

		// Ends the response regularly and reads what the client still sends.
		void endOutput() throws IOException {
			this.socket.shutdownOutput();
			this.socket.getInputStream().skip(Long.MAX_VALUE);
		}

		// Ends the response regularly and reads nothing.
		void startEnd() throws IOException {
			this.socket.shutdownOutput();
		}

		void reset() throws IOException {
			this.socket.setSoLinger(true, 0);
			this.socket.close();
		}

		void resetUnchecked() {
			try {
				reset();
			}
			catch (IOException ex) {
				throw new UncheckedIOException(ex);
			}
		}

		// Sends a text again and again until the client closes the connection or has
		// accepted a number of bytes.
		void sendUntilClosed(String text, long maxBytes) throws IOException {
			try {
				for (long sent = 0; sent < maxBytes; sent += text.length()) {
					send(text);
				}
				this.closeEvents.add("open");
			}
			catch (IOException ex) {
				this.closeEvents.add("closed");
				throw ex;
			}
		}

		// Waits until the client closes the connection or sends more bytes.
		void awaitClientClose() throws IOException {
			int next;
			try {
				next = this.socket.getInputStream().read();
			}
			catch (IOException ex) {
				next = -1;
			}
			this.closeEvents.add((next < 0) ? "closed" : "bytes");
			throw new IOException("no further requests on this connection");
		}

	}

}
