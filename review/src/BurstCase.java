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
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Many clients on slow links ask for long answers at once. Each request that a server has run
 * and answered must get an answer; the daemon must not close the connection without one.
 */
final class BurstCase {

	private static final int ROUNDS = 4;

	/** Clients without the burst, and with it: 2.5 times as many. */
	private static final int CLIENTS = 12;

	private static final int BURST_CLIENTS = 30;

	/** Time within which the clients of a round send their requests. */
	private static final long SPAN_MS = 3000;

	private static final int ANSWER_BYTES = 6_000_000;

	/** Speed of each client's link: 5 Mbit/s. */
	private static final int BYTES_PER_SECOND = 600_000;

	private static final int STEP_MS = 20;

	/** Number of answers that may be missing by the rule. */
	private static final int ALLOWED = 3;

	private final Site site;

	private final Set<String> answered = ConcurrentHashMap.newKeySet();

	private final AtomicInteger whole = new AtomicInteger();

	private final AtomicInteger refused = new AtomicInteger();

	private final AtomicInteger lost = new AtomicInteger();

	private BurstCase(Site site) {
		this.site = site;
	}

	public static void main(String[] arguments) throws Exception {
		int exit = 2;
		try (Site site = new Site(arguments[0], 1)) {
			exit = new BurstCase(site).run();
			site.log("exit %d", exit);
		}
		System.exit((exit == 1) ? Site.EXIT_BROKEN : exit);
	}

	private int run() throws Exception {
		this.site.configure(1, new Site.Route("report", "idempotent", 15_000, 1));
		for (int i = 0; i < 3; i++) {
			ServerSocket listening = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
			String id = "i-" + i;
			start(() -> accept(listening, id));
			this.site.store.put("servers", id,
					Site.serverEntry("127.0.0.1:" + listening.getLocalPort(), "ready", System.currentTimeMillis(), 1));
		}
		this.site.startEdges();
		int clients = this.site.hasTrouble ? BURST_CLIENTS : CLIENTS;
		for (int round = 0; round < ROUNDS; round++) {
			List<Thread> threads = new ArrayList<>();
			for (int client = 0; client < clients; client++) {
				String attempt = "a-" + round + "-" + client;
				Thread thread = new Thread(() -> call(attempt));
				thread.start();
				threads.add(thread);
				Thread.sleep(SPAN_MS / clients);
			}
			for (Thread thread : threads) {
				thread.join();
			}
			this.site.log("round %d: whole answers %d, refused or failed %d, closed without an answer %d", round,
					this.whole.get(), this.refused.get(), this.lost.get());
		}
		if (this.lost.get() > ALLOWED) {
			return 1;
		}
		return (this.whole.get() > 0) ? 0 : 2;
	}

	private static void start(Runnable task) {
		Thread thread = new Thread(task);
		thread.setDaemon(true);
		thread.start();
	}

	private void accept(ServerSocket listening, String id) {
		while (true) {
			try {
				Socket socket = listening.accept();
				start(() -> serve(socket, id));
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void serve(Socket socket, String id) {
		try (socket) {
			InputStream in = socket.getInputStream();
			OutputStream out = socket.getOutputStream();
			for (Http.Head head = Http.readHead(in); head != null; head = Http.readHead(in)) {
				String attempt = head.header("x-attempt-id");
				byte[] answer = new byte[head.line().contains("/short") ? 100 : ANSWER_BYTES];
				out.write(("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt + "\r\nX-Response-Signature: " + id
						+ "\r\nContent-Length: " + answer.length + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
				out.write(answer);
				this.answered.add(attempt);
			}
		}
		catch (IOException ex) {
			// The daemon has closed the connection.
		}
	}

	private static byte[] request(String target, String attempt) {
		return ("GET /report/" + target + " HTTP/1.1\r\nHost: review.example\r\nX-Attempt-Id: " + attempt
				+ "\r\nX-Deadline-Ms: 15000\r\n\r\n").getBytes(StandardCharsets.US_ASCII);
	}

	// Asks for a short answer and then, on the same connection, for a long one.
	private void call(String attempt) {
		InetSocketAddress front = this.site.edges.get(0).front;
		int received = -1;
		long beginNanos = System.nanoTime();
		try (Socket socket = new Socket()) {
			socket.setReceiveBufferSize(65_536);
			socket.connect(front);
			socket.setSoTimeout(20_000);
			InputStream in = socket.getInputStream();
			socket.getOutputStream().write(request("short", attempt + "-s"));
			Http.readAnswer(in);
			socket.getOutputStream().write(request("long", attempt));
			Http.Head head = Http.readHead(in);
			if (head != null && head.status() != 200) {
				this.refused.incrementAndGet();
				this.site.log("%s is answered with %d", attempt, head.status());
				return;
			}
			byte[] buffer = new byte[BYTES_PER_SECOND * STEP_MS / 1000];
			received = 0;
			int count = (head != null) ? 1 : 0;
			while (count > 0 && received < ANSWER_BYTES) {
				count = in.readNBytes(buffer, 0, Math.min(buffer.length, ANSWER_BYTES - received));
				received += count;
				Thread.sleep(STEP_MS);
			}
		}
		catch (IOException ex) {
			this.site.log("%s: %s", attempt, ex);
		}
		catch (InterruptedException ex) {
			return;
		}
		long millis = (System.nanoTime() - beginNanos) / 1_000_000;
		if (received == ANSWER_BYTES) {
			this.whole.incrementAndGet();
		}
		else if (received <= 0 && this.answered.contains(attempt)) {
			this.lost.incrementAndGet();
			this.site.log("%s: a server has run and answered it; the daemon closes the connection without an answer after "
					+ "%d ms", attempt, millis);
		}
		else {
			this.refused.incrementAndGet();
			this.site.log("%s: the answer ends after %d bytes and %d ms", attempt, received, millis);
		}
	}

}
