package review2;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Random;

/** Sends requests, each on a new connection. */
final class Client {

	private static final Random RANDOM = new Random();

	private Client() {
	}

	/**
	 * The answer to a request.
	 *
	 * @param status the status, 0 if there was no answer
	 * @param text the whole answer, or the failure
	 */
	record Answer(int status, String text) {
	}

	static synchronized String attemptId() {
		return String.format(Locale.ROOT, "%016x", RANDOM.nextLong());
	}

	static Answer send(String address, String method, String path, String headers, String body, int timeoutMs) {
		String[] parts = address.split(":");
		try (Socket socket = new Socket()) {
			socket.setSoTimeout(timeoutMs);
			socket.setTcpNoDelay(true);
			socket.connect(new InetSocketAddress(InetAddress.getByName(parts[0]), Integer.parseInt(parts[1])), 1000);
			String length = method.equals("POST") ? "Content-Length: " + body.length() + "\r\n" : "";
			String request = method + " " + path + " HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n" + length
					+ headers + "\r\n" + body;
			socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
			InputStream in = socket.getInputStream();
			String text = new String(in.readAllBytes(), StandardCharsets.UTF_8);
			int status = (text.length() > 12) ? Integer.parseInt(text.substring(9, 12)) : 0;
			return new Answer(status, text);
		}
		catch (IOException | RuntimeException ex) {
			return new Answer(0, ex.toString());
		}
	}

}
