package org.celeryhill.soak;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * Connection of a caller to a daemon. Not thread-safe.
 */
final class CallerConnection implements AutoCloseable {

	private static final int CONNECT_MILLIS = 1000;

	/** Time that a caller waits beyond its deadline. */
	private static final int DEADLINE_SLACK_MILLIS = 500;

	private final EdgeProcess daemon;

	private final Socket socket = new Socket();

	private final HttpReader reader;

	CallerConnection(EdgeProcess daemon) throws IOException {
		this.daemon = daemon;
		try {
			this.socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), daemon.addresses().front()),
					CONNECT_MILLIS);
			this.socket.setTcpNoDelay(true);
			this.reader = new HttpReader(this.socket.getInputStream());
		}
		catch (IOException ex) {
			this.socket.close();
			throw ex;
		}
	}

	EdgeProcess daemon() {
		return this.daemon;
	}

	/**
	 * Sends a request.
	 * @param request the request, not null
	 * @param body its body, not null
	 * @param isChunked whether the body is sent in chunks
	 * @param deadlineMillis the deadline, in milliseconds from now
	 * @throws IOException if the connection fails
	 */
	void send(CallerRequest request, byte[] body, boolean isChunked, int deadlineMillis) throws IOException {
		this.socket.setSoTimeout(deadlineMillis + DEADLINE_SLACK_MILLIS);
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		write(out, request.method() + " " + request.target() + " HTTP/1.1\r\nHost: " + Site.HOST + "\r\n"
				+ Wire.ATTEMPT_ID + ": " + request.id() + "\r\n" + Wire.DEADLINE_MS + ": " + deadlineMillis + "\r\n");
		if (request.kind().isStream()) {
			write(out, Wire.MODEL + ": m\r\n" + Wire.TOKEN_COUNTS + ": 100," + EventStream.count(request.target())
					+ "\r\n" + Wire.PROMPT_PREFIX + ": " + request.id() + ":100\r\n");
		}
		if (body.length > 0 && isChunked) {
			write(out, "Transfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(body.length) + "\r\n");
			out.writeBytes(body);
			write(out, "\r\n0\r\n\r\n");
		}
		else {
			write(out, "Content-Length: " + body.length + "\r\n\r\n");
			out.writeBytes(body);
		}
		this.socket.getOutputStream().write(out.toByteArray());
	}

	private static void write(ByteArrayOutputStream out, String text) {
		out.writeBytes(text.getBytes(StandardCharsets.US_ASCII));
	}

	HttpHead readHead() throws IOException {
		return this.reader.readHead();
	}

	void readBody(HttpHead head, ByteArrayOutputStream body) throws IOException {
		this.reader.readResponseBody(head, body);
	}

	boolean hasUnreadBytes() throws IOException {
		return this.reader.hasUnreadBytes();
	}

	@Override
	public void close() {
		try {
			this.socket.close();
		}
		catch (IOException ex) {
			// The connection has failed already.
		}
	}

}
