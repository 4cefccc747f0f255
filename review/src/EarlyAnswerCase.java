import java.io.BufferedReader;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A server answers a long request before it has read all of it, with an answer that has no
 * length, and its process is killed in the middle. The caller must not get what had arrived
 * as a whole answer.
 */
final class EarlyAnswerCase {

	private static final int ROUNDS = 10;

	private static final int SERVERS = 6;

	private static final long RESTART_DELAY_MS = 300;

	/** Three heartbeat intervals, after which the entry of a silent server is removed. */
	private static final long ENTRY_LAPSE_MS = 3600;

	private static final AtomicInteger SERVERS_STARTED = new AtomicInteger();

	private static final int BODY_BYTES = 4_190_000;

	/** Index of the line of the answer after which the process is killed. */
	private static final int KILL_AFTER_LINES = 1;

	private EarlyAnswerCase() {
	}

	public static void main(String[] arguments) throws Exception {
		int exit = 2;
		try (Site site = new Site(arguments[0], 1)) {
			exit = run(site);
			site.log("exit %d", exit);
		}
		System.exit((exit == 1) ? Site.EXIT_BROKEN : exit);
	}

	private static int run(Site site) throws Exception {
		site.configure(1, new Site.Route("import", "non_idempotent", 15_000, 1));
		StringBuilder whole = new StringBuilder();
		for (int index = 0; index < EarlyAnswerEngine.LINES; index++) {
			whole.append(EarlyAnswerEngine.line(index));
		}
		for (int index = 0; index < SERVERS; index++) {
			startServer(site);
		}
		site.startEdges();
		if (site.hasTrouble) {
			callDirectly(site);
		}
		int broken = 0;
		int served = 0;
		for (int round = 0; round < ROUNDS; round++) {
			Thread.sleep(1500);
			String outcome = call(site, "a-" + round, whole.toString());
			site.log("round %d: client got %s", round, outcome);
			broken += outcome.startsWith("a success with a part") ? 1 : 0;
			served += outcome.startsWith("a success with the whole") ? 1 : 0;
		}
		site.log("rounds %d, whole answers %d, parts of an answer as a success %d", ROUNDS, served, broken);
		if (broken > 0) {
			return 1;
		}
		return (site.hasTrouble || served == ROUNDS) ? 0 : 2;
	}

	private static void startServer(Site site) throws IOException {
		String id = "i-early-" + SERVERS_STARTED.incrementAndGet();
		InetSocketAddress address = Site.freeAddress("127.0.0.1");
		Process process = site.start(new ProcessBuilder(System.getProperty("java.home") + "/bin/java", "-Xmx64m", "-cp",
				System.getProperty("java.class.path"), "EarlyAnswerEngine", Integer.toString(address.getPort()), id));
		BufferedReader output = process.inputReader(StandardCharsets.US_ASCII);
		output.readLine();
		site.store.put("servers", id, Site.serverEntry(Site.text(address), "ready", System.currentTimeMillis(), 1));
		site.log("server %s at %s is registered", id, Site.text(address));
		Thread watcher = new Thread(() -> watch(site, id, process, output));
		watcher.setDaemon(true);
		watcher.start();
	}

	// Logs what a server does. Kills its process in the middle of its answer, and starts
	// another one.
	private static void watch(Site site, String id, Process process, BufferedReader output) {
		try {
			for (String line = output.readLine(); line != null; line = output.readLine()) {
				boolean isDue = line.endsWith(" " + KILL_AFTER_LINES);
				if (!line.startsWith("wrote") || isDue) {
					site.log("server %s: %s", id, line);
				}
				if (isDue && site.hasTrouble) {
					process.destroyForcibly().waitFor();
					site.log("process of server %s is killed", id);
					Thread.sleep(RESTART_DELAY_MS);
					startServer(site);
					Thread.sleep(ENTRY_LAPSE_MS - RESTART_DELAY_MS);
					site.store.delete("servers", id);
					return;
				}
			}
		}
		catch (IOException ex) {
			site.log("output of server %s ends: %s", id, ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	// Shows what the connection of a killed server looks like to its peer: the peer sends a part
	// of the body and reads.
	private static void callDirectly(Site site) throws IOException {
		var entry = site.store.get("servers", "i-early-1");
		String[] address = entry.path("address").asText().split(":");
		int received = 0;
		try (Socket socket = new Socket(address[0], Integer.parseInt(address[1]))) {
			OutputStream out = socket.getOutputStream();
			out.write(("POST /import/lots HTTP/1.1\r\nHost: review.example\r\nX-Attempt-Id: direct\r\n"
					+ "X-Expect-Instance: i-early-1\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n")
				.getBytes(StandardCharsets.US_ASCII));
			out.write(new byte[BODY_BYTES / 4]);
			while (socket.getInputStream().read() >= 0) {
				received++;
			}
			site.log("direct connection to the killed server ends regularly after %d bytes", received);
		}
		catch (IOException ex) {
			site.log("direct connection to the killed server fails after %d bytes: %s", received, ex);
		}
	}

	private static String call(Site site, String attempt, String whole) {
		InetSocketAddress front = site.edges.get(0).front;
		try (Socket socket = new Socket(front.getAddress(), front.getPort())) {
			socket.setSoTimeout(20_000);
			OutputStream out = socket.getOutputStream();
			out.write(("POST /import/lots HTTP/1.1\r\nHost: review.example\r\nX-Attempt-Id: " + attempt
					+ "\r\nX-Deadline-Ms: 15000\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n")
				.getBytes(StandardCharsets.US_ASCII));
			out.write(new byte[BODY_BYTES]);
			site.log("client sent %s with %d bytes", attempt, BODY_BYTES);
			Http.Answer answer = Http.readAnswer(socket.getInputStream());
			int status = answer.head().status();
			String body = new String(answer.body(), StandardCharsets.US_ASCII);
			if (status != 200) {
				return "status " + status;
			}
			String kind = body.equals(whole) ? "a success with the whole answer" : "a success with a part of the answer";
			return kind + ": signature " + answer.head().header("x-response-signature") + ", content-length "
					+ answer.head().header("content-length") + " of " + whole.length();
		}
		catch (IOException ex) {
			return "no whole answer: " + ex;
		}
	}

}
