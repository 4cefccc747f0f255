import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * Server process that answers a long request before it has read all of the body. The answer
 * has no length and ends with its connection. It reads the body slowly, as it works on it,
 * and writes a line of the answer for each part of the body.
 */
final class EarlyAnswerEngine {

	static final int LINES = 40;

	private static final int RECEIVE_BUFFER_BYTES = 65_536;

	private EarlyAnswerEngine() {
	}

	/** Returns a line of the answer. */
	static String line(int index) {
		return String.format("part %03d is stored%n", index);
	}

	public static void main(String[] arguments) throws IOException {
		String id = arguments[1];
		try (ServerSocket listening = new ServerSocket()) {
			listening.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
			listening.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), Integer.parseInt(arguments[0])));
			System.out.println("listening");
			while (true) {
				Socket socket = listening.accept();
				new Thread(() -> serve(socket, id)).start();
			}
		}
	}

	private static void serve(Socket socket, String id) {
		try (socket) {
			InputStream in = socket.getInputStream();
			OutputStream out = socket.getOutputStream();
			Http.Head head = Http.readHead(in);
			if (head == null) {
				return;
			}
			if (!head.header("x-expect-instance").equals(id)) {
				out.write(("HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: " + id
						+ "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
				return;
			}
			String attempt = head.header("x-attempt-id");
			System.out.println("runs " + attempt);
			out.write(("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt + "\r\nX-Response-Signature: " + id
					+ "\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
			int length = Integer.parseInt(head.header("content-length"));
			for (int index = 0; index < LINES; index++) {
				Http.readFully(in, length / LINES + ((index < length % LINES) ? 1 : 0));
				out.write(line(index).getBytes(StandardCharsets.US_ASCII));
				out.flush();
				System.out.println("wrote " + attempt + " " + index);
				Thread.sleep(25);
			}
			System.out.println("completed " + attempt);
		}
		catch (IOException | InterruptedException ex) {
			System.out.println("failed " + ex);
		}
	}

}
