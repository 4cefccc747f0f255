import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

/** Server of a plain service that runs each request for some milliseconds and then answers. */
final class BookingServer {

	final String id;

	final InetSocketAddress address;

	final long born = System.currentTimeMillis();

	private final ServerSocket listening;

	private final Set<Socket> connections = ConcurrentHashMap.newKeySet();

	private final long workMillis;

	private final Consumer<String> onArrival;

	BookingServer(String id, long workMillis, Consumer<String> onArrival) throws IOException {
		this.id = id;
		this.workMillis = workMillis;
		this.onArrival = onArrival;
		this.listening = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
		this.address = new InetSocketAddress(this.listening.getInetAddress(), this.listening.getLocalPort());
		start(this::accept);
	}

	private static void start(Runnable task) {
		Thread thread = new Thread(task);
		thread.setDaemon(true);
		thread.start();
	}

	private void accept() {
		while (true) {
			try {
				Socket socket = this.listening.accept();
				this.connections.add(socket);
				start(() -> serve(socket));
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void serve(Socket socket) {
		try (socket) {
			socket.setTcpNoDelay(true);
			InputStream in = socket.getInputStream();
			OutputStream out = socket.getOutputStream();
			for (Http.Head head = Http.readHead(in); head != null; head = Http.readHead(in)) {
				byte[] body = Http.readBody(in, head);
				if (!head.header("x-expect-instance").equals(this.id)) {
					out.write(("HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: " + this.id
							+ "\r\nContent-Length: 0\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
					continue;
				}
				String attempt = head.header("x-attempt-id");
				this.onArrival.accept(attempt);
				Thread.sleep(this.workMillis);
				String answer = attempt + " " + head.line().split(" ")[1] + " " + body.length;
				out.write(("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt + "\r\nX-Response-Signature: " + this.id
						+ "\r\nX-Server-Load: 1,0,6\r\nContent-Length: " + answer.length() + "\r\n\r\n" + answer)
					.getBytes(StandardCharsets.US_ASCII));
			}
		}
		catch (IOException ex) {
			// The caller or this server has closed the connection.
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		finally {
			this.connections.remove(socket);
		}
	}

	/** Ends the server; running requests are cut off. */
	void stop() throws IOException {
		this.listening.close();
		for (Socket socket : this.connections) {
			socket.close();
		}
	}

}
