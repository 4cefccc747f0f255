import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/**
 * A daemon gets SIGTERM while a client on a slow link receives an answer that the daemon has
 * read from the server already. The client must get the whole answer within the grace period.
 */
final class SlowReaderCase {

	private static final int ROUNDS = 6;

	private static final int ANSWER_BYTES = 10_000_000;

	/** Speed of the client's link. */
	private static final int BYTES_PER_SECOND = 1_250_000;

	private static final int STEP_MS = 20;

	private SlowReaderCase() {
	}

	public static void main(String[] arguments) throws Exception {
		int exit = 2;
		try (Site site = new Site(arguments[0], 2)) {
			exit = run(site);
			site.log("exit %d", exit);
		}
		System.exit((exit == 1) ? Site.EXIT_BROKEN : exit);
	}

	private static int run(Site site) throws Exception {
		site.configure(1, new Site.Route("report", "idempotent", 15_000, 1));
		for (int i = 0; i < 3; i++) {
			ServerSocket listening = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
			String id = "i-" + i;
			start(() -> accept(site, listening, id));
			site.store.put("servers", id, Site.serverEntry("127.0.0.1:" + listening.getLocalPort(), "ready", 1000 + i, 1));
		}
		site.startEdges();
		int lost = 0;
		int whole = 0;
		for (int round = 0; round < ROUNDS; round++) {
			Site.Edge edge = site.edges.get(round % 2);
			if (site.hasTrouble) {
				start(() -> {
					try {
						Thread.sleep(1000);
						site.log("SIGTERM to %s", edge.name);
						long sent = System.nanoTime();
						edge.process.destroy();
						edge.process.waitFor(8, TimeUnit.SECONDS);
						site.log("%s has ended after %d ms, status %s", edge.name, (System.nanoTime() - sent) / 1_000_000,
								edge.process.isAlive() ? "none" : edge.process.exitValue());
					}
					catch (InterruptedException ex) {
						Thread.currentThread().interrupt();
					}
				});
			}
			String outcome = call(edge.front, "a-" + round);
			site.log("round %d: client %s", round, outcome);
			lost += outcome.startsWith("lost") ? 1 : 0;
			whole += outcome.startsWith("got") ? 1 : 0;
			if (site.hasTrouble) {
				edge.process.waitFor();
				edge.start();
				edge.awaitReady();
			}
			Thread.sleep(500);
		}
		site.log("rounds %d, whole answers %d, lost answers %d", ROUNDS, whole, lost);
		if (lost > 0) {
			return 1;
		}
		return (whole > 0) ? 0 : 2;
	}

	private static void start(Runnable task) {
		Thread thread = new Thread(task);
		thread.setDaemon(true);
		thread.start();
	}

	private static void accept(Site site, ServerSocket listening, String id) {
		while (true) {
			try {
				Socket socket = listening.accept();
				start(() -> serve(site, socket, id));
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private static void serve(Site site, Socket socket, String id) {
		try (socket) {
			InputStream in = socket.getInputStream();
			OutputStream out = socket.getOutputStream();
			for (Http.Head head = Http.readHead(in); head != null; head = Http.readHead(in)) {
				out.write(("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + head.header("x-attempt-id") + "\r\nX-Response-Signature: "
						+ id + "\r\nContent-Length: " + ANSWER_BYTES + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
				out.write(new byte[ANSWER_BYTES]);
				site.log("server %s has sent its whole answer to %s", id, head.header("x-attempt-id"));
			}
		}
		catch (IOException ex) {
			site.log("server %s: %s", id, ex);
		}
	}

	private static String call(InetSocketAddress front, String attempt) throws InterruptedException {
		int received = 0;
		long begin = System.nanoTime();
		try (Socket socket = new Socket()) {
			socket.setReceiveBufferSize(65_536);
			socket.connect(front);
			socket.setSoTimeout(15_000);
			socket.getOutputStream()
				.write(("GET /report/x HTTP/1.1\r\nHost: review.example\r\nX-Attempt-Id: " + attempt
						+ "\r\nX-Deadline-Ms: 15000\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
			InputStream in = socket.getInputStream();
			Http.Head head = Http.readHead(in);
			if (head == null || head.status() != 200) {
				return "got no success: " + head;
			}
			byte[] buffer = new byte[BYTES_PER_SECOND * STEP_MS / 1000];
			while (received < ANSWER_BYTES) {
				int count = in.readNBytes(buffer, 0, Math.min(buffer.length, ANSWER_BYTES - received));
				received += count;
				if (count == 0) {
					return "lost the answer: connection ends after " + received + " of " + ANSWER_BYTES + " bytes, "
							+ (System.nanoTime() - begin) / 1_000_000 + " ms";
				}
				Thread.sleep(STEP_MS);
			}
			return "got the whole answer in " + (System.nanoTime() - begin) / 1_000_000 + " ms";
		}
		catch (IOException ex) {
			return "lost the answer after " + received + " of " + ANSWER_BYTES + " bytes: " + ex;
		}
	}

}
