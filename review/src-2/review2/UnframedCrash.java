package review2;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * A server begins an answer without a length before it has read a long request, and
 * crashes. Exits with 1 if a caller gets the part of the answer as a whole success.
 */
public final class UnframedCrash {

	private static final int MAX_ROUNDS = 40;

	private static final int CRASHES = 6;

	private static final int REQUEST_BYTES = 4_190_000;

	private static final int ANSWER_BYTES = 800;

	private static final int PART_BYTES = 300;

	private static final int RECEIVE_BUFFER_BYTES = 65_536;

	/** Part of the request after which the server crashes, in percent. */
	private static final long CRASH_AT_PERCENT = 50;

	/** What is left of the request then, so that the connection is reset. */
	private static final long MIN_LEFT_BYTES = 20_000;

	private static final int DIRECT_TRIES = 5;

	private UnframedCrash() {
	}

	/** One server process: a listener and its connections, which a crash closes. */
	private static final class Server {

		private final Site site;

		private final String id;

		private final int port;

		private final List<Socket> sockets = new ArrayList<>();

		private ServerSocket listener;

		private long born;

		private long beats;

		Server(Site site, String id) throws IOException {
			this.site = site;
			this.id = id;
			start(0);
			this.port = this.listener.getLocalPort();
			site.repeat("beat", 1200, this::beat);
		}

		private void start(int at) throws IOException {
			this.born = System.currentTimeMillis();
			ServerSocket socket = new ServerSocket();
			socket.setReuseAddress(true);
			socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
			socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), at), 100);
			this.listener = socket;
			Thread thread = new Thread(() -> accept(socket));
			thread.setDaemon(true);
			thread.start();
		}

		private synchronized void beat() {
			if (this.listener == null) {
				return;
			}
			this.site.store.put("servers", this.id,
					Store.JSON.createObjectNode()
						.put("service", "booking-desk")
						.put("address", "127.0.0.1:" + this.port)
						.put("zone", "port-louis")
						.put("version", "v1")
						.put("slots", 6)
						.put("state", "ready")
						.put("cold_remaining_ms", 0)
						.put("sequence", ++this.beats)
						.put("born", this.born));
		}

		private void accept(ServerSocket from) {
			try {
				while (true) {
					Socket socket = from.accept();
					synchronized (this) {
						this.sockets.add(socket);
					}
					Thread thread = new Thread(() -> serve(socket));
					thread.setDaemon(true);
					thread.start();
				}
			}
			catch (IOException ex) {
				return;
			}
		}

		// The process ends: all its sockets are closed.
		private synchronized void crash() {
			try {
				this.listener.close();
				this.listener = null;
				for (Socket socket : this.sockets) {
					socket.close();
				}
				this.sockets.clear();
				Thread thread = new Thread(this::restart);
				thread.setDaemon(true);
				thread.start();
			}
			catch (IOException ex) {
				this.site.record.log("SERVER %s: %s", this.id, ex);
			}
		}

		private void restart() {
			try {
				Thread.sleep(1500);
				synchronized (this) {
					start(this.port);
				}
				beat();
			}
			catch (IOException | InterruptedException ex) {
				this.site.record.log("SERVER %s not started: %s", this.id, ex);
			}
		}

		private void serve(Socket socket) {
			try {
				InputStream in = socket.getInputStream();
				while (true) {
					String head = readHead(in);
					if (head == null) {
						return;
					}
					answer(socket, in, head);
				}
			}
			catch (IOException ex) {
				return;
			}
		}

		private static String readHead(InputStream in) throws IOException {
			ByteArrayOutputStream head = new ByteArrayOutputStream();
			int last = 0;
			while (last != 0x0d0a0d0a) {
				int next = in.read();
				if (next < 0) {
					return null;
				}
				head.write(next);
				last = (last << 8) | next;
			}
			return head.toString(StandardCharsets.ISO_8859_1);
		}

		private static String header(String head, String name) {
			for (String line : head.split("\r\n")) {
				if (line.toLowerCase(Locale.ROOT).startsWith(name + ":")) {
					return line.substring(name.length() + 1).strip();
				}
			}
			return "";
		}

		private void answer(Socket socket, InputStream in, String head) throws IOException {
			String attempt = header(head, "x-attempt-id");
			long left = Long.parseLong("0" + header(head, "content-length"));
			this.site.record.log("RUN %s server %s, body of %d bytes", attempt, this.id, left);
			byte[] buffer = new byte[1 << 20];
			byte[] part = new byte[PART_BYTES];
			byte[] rest = new byte[ANSWER_BYTES - PART_BYTES];
			java.util.Arrays.fill(part, (byte) 'a');
			java.util.Arrays.fill(rest, (byte) 'b');
			String answerHead = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt + "\r\nX-Response-Signature: s." + this.id
					+ "\r\nConnection: close\r\n\r\n";
			boolean isPartSent = false;
			long total = left;
			while (left > 0) {
				int count = in.read(buffer);
				if (count < 0) {
					return;
				}
				left -= count;
				if (!isPartSent && total - left > total / 4) {
					isPartSent = true;
					socket.getOutputStream().write(answerHead.getBytes(StandardCharsets.ISO_8859_1));
					socket.getOutputStream().write(part);
				}
				boolean isFarEnough = total - left > total * CRASH_AT_PERCENT / 100 && left > MIN_LEFT_BYTES;
				if (isPartSent && isTrouble && isFarEnough && in.available() == 0) {
					this.site.record.log("SERVER %s crashes %d bytes before the end of %s", this.id, left, attempt);
					crash();
					return;
				}
			}
			if (!isPartSent) {
				socket.getOutputStream().write(answerHead.getBytes(StandardCharsets.ISO_8859_1));
				socket.getOutputStream().write(part);
			}
			socket.getOutputStream().write(rest);
			socket.close();
		}

	}

	private static boolean isTrouble;

	public static void main(String[] arguments) throws Exception {
		isTrouble = !"0".equals(System.getenv("TROUBLE"));
		int exit = 2;
		try (Site site = new Site(Path.of(arguments[0]))) {
			exit = run(site);
			site.record.log("EXIT %d", exit);
		}
		System.exit(exit);
	}

	// Shows for a connection without a machine in between that a crash resets it: a write
	// right after the end fails only then.
	private static boolean recordDirectConnection(Site site, Server server) throws Exception {
		boolean isReset = false;
		try (Socket socket = new Socket("127.0.0.1", server.port)) {
			String head = "POST /book/1 HTTP/1.1\r\nHost: a.example\r\nContent-Length: " + REQUEST_BYTES
					+ "\r\nX-Attempt-Id: direct\r\n\r\n";
			Thread writer = new Thread(() -> {
				try {
					socket.getOutputStream().write((head + "x".repeat(REQUEST_BYTES)).getBytes(StandardCharsets.UTF_8));
				}
				catch (IOException ex) {
					site.record.log("DIRECT write of the request: %s", ex);
				}
			});
			writer.start();
			String end;
			try {
				end = "end after " + socket.getInputStream().readAllBytes().length + " bytes";
			}
			catch (IOException ex) {
				end = ex.toString();
			}
			site.record.log("DIRECT read: %s", end);
			writer.join(2000);
			Thread.sleep(20);
			try {
				socket.getOutputStream().write(1);
				site.record.log("DIRECT write after it: done");
			}
			catch (IOException ex) {
				isReset = true;
				site.record.log("DIRECT write after it: %s", ex);
			}
		}
		Thread.sleep(2500);
		return isReset;
	}

	private static int run(Site site) throws Exception {
		ObjectNode configuration = Site.configuration(7, "booking-desk");
		Site.addRoute(configuration, "r-book", "/book/", "non_idempotent", "booking-desk");
		site.store.put("op", "config", configuration);
		Server first = new Server(site, "booking-desk-0");
		for (int i = 1; i < 6; i++) {
			new Server(site, "booking-desk-" + i);
		}
		if (!site.startDaemons(3)) {
			site.record.log("CANNOT RUN: a machine did not become ready");
			return 2;
		}
		Thread.sleep(1500);
		for (int i = 0; isTrouble && i < DIRECT_TRIES && !recordDirectConnection(site, first); i++) {
			site.record.log("DIRECT connection once more");
		}
		int whole = 0;
		int cut = 0;
		int broken = 0;
		String body = "x".repeat(REQUEST_BYTES);
		for (int round = 0; round < MAX_ROUNDS && broken + cut < CRASHES; round++) {
			Daemon daemon = site.daemons.get(round % site.daemons.size());
			String id = Client.attemptId();
			site.record.log("SENT %s to %s", id, daemon.name);
			Client.Answer answer = Client.send(daemon.front, "POST", "/book/1",
					"X-Attempt-Id: " + id + "\r\nX-Deadline-Ms: 5000\r\n", body, 6000);
			int end = answer.text().indexOf("\r\n\r\n");
			String text = (end < 0) ? "" : answer.text().substring(end + 4);
			boolean isChunked = answer.text().toLowerCase(Locale.ROOT).contains("transfer-encoding: chunked");
			boolean isComplete = !isChunked || text.endsWith("0\r\n\r\n");
			long bytes = text.chars().filter((one) -> one == 'a' || one == 'b').count();
			site.record.log("ANSWERED %s %d, %d of %d bytes, %s", id, answer.status(), bytes, ANSWER_BYTES,
					(end < 0) ? answer.text() : answer.text().substring(0, end).replace("\r\n", " | "));
			if (answer.status() == 200 && bytes == ANSWER_BYTES) {
				whole++;
				continue;
			}
			if (answer.status() == 200 && isComplete) {
				broken++;
			}
			else {
				cut++;
			}
			Thread.sleep(1700);
		}
		String text = ((broken > 0) ? "BROKEN MIXED: " : "MIXED held: ") + broken
				+ " callers got a part of the answer as a whole success, " + cut + " a failure, " + whole + " the whole";
		site.record.log("%s", text);
		System.out.println(text);
		return (broken > 0) ? 1 : 0;
	}

}
