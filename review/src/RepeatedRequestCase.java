import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Some clients repeat a request at once on their open connection, without waiting for the
 * answer. Each request must reach a server with the body that the client sent, and each
 * answer must belong to the request that it answers.
 */
final class RepeatedRequestCase {

	private static final int CLIENTS = 10;

	/** Clients that repeat: a share of 0.3. */
	private static final int REPEATING_CLIENTS = 3;

	private static final int REPEATS = 3;

	private static final int PHASES = 4;

	private static final long PHASE_MS = 5500;

	private static final int BODY_BYTES = 20_000;

	/** Bytes of the body that a client writes at a time, about one packet. */
	private static final int PIECE_BYTES = 1_000;

	private static final long PIECE_GAP_NANOS = 300_000;

	private static final AtomicInteger CORRECT = new AtomicInteger();

	/** Requests whose body was changed on the way to the server. */
	private static final AtomicInteger CHANGED = new AtomicInteger();

	/** Answers that belong to another request. */
	private static final AtomicInteger FOREIGN = new AtomicInteger();

	private static final AtomicInteger UNANSWERED = new AtomicInteger();

	private RepeatedRequestCase() {
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
		site.configure(1, new Site.Route("lot", "idempotent", 5000, 2));
		for (int i = 0; i < 3; i++) {
			BookingServer server = new BookingServer("i-" + i, 20, (attempt) -> {
			});
			site.store.put("servers", server.id, Site.serverEntry(Site.text(server.address), "ready", server.born, 1));
		}
		site.startEdges();
		for (int phase = 0; phase < PHASES; phase++) {
			long endNanos = System.nanoTime() + PHASE_MS * 1_000_000;
			List<Thread> clients = new ArrayList<>();
			for (int client = 0; client < CLIENTS; client++) {
				String name = "a-" + phase + "-" + client;
				int repeats = (site.hasTrouble && client < REPEATING_CLIENTS) ? REPEATS : 0;
				Thread thread = new Thread(() -> callRepeatedly(site, name, repeats, endNanos));
				thread.start();
				clients.add(thread);
			}
			for (Thread client : clients) {
				client.join();
			}
			site.log("phase %d: correct %d, body changed %d, answer of another request %d, unanswered %d", phase,
					CORRECT.get(), CHANGED.get(), FOREIGN.get(), UNANSWERED.get());
			Thread.sleep(1000);
		}
		if (CHANGED.get() > 0) {
			return 1;
		}
		return (CORRECT.get() > 0) ? 0 : 2;
	}

	// Sends requests until a time, each followed by its repeats, and then reads the answers.
	private static void callRepeatedly(Site site, String client, int repeats, long endNanos) {
		int count = 0;
		while (System.nanoTime() < endNanos) {
			InetSocketAddress front = site.edges.get(0).front;
			try (Socket socket = new Socket(front.getAddress(), front.getPort())) {
				socket.setSoTimeout(7000);
				socket.setTcpNoDelay(true);
				while (System.nanoTime() < endNanos) {
					List<String> attempts = new ArrayList<>();
					for (int i = 0; i <= repeats; i++) {
						attempts.add(client + "-" + count++);
					}
					Thread writer = new Thread(() -> send(socket, attempts));
					writer.start();
					for (String attempt : attempts) {
						check(site, attempt, Http.readAnswer(socket.getInputStream()));
					}
					writer.join();
				}
			}
			catch (IOException ex) {
				UNANSWERED.incrementAndGet();
				site.log("client %s gets no answer: %s", client, ex);
			}
			catch (InterruptedException ex) {
				return;
			}
		}
	}

	private static void send(Socket socket, List<String> attempts) {
		byte[] piece = new byte[PIECE_BYTES];
		Arrays.fill(piece, (byte) 'x');
		try {
			OutputStream out = socket.getOutputStream();
			for (String attempt : attempts) {
				out.write(("PUT /lot/" + attempt + " HTTP/1.1\r\nHost: review.example\r\nX-Attempt-Id: " + attempt
						+ "\r\nX-Deadline-Ms: 5000\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n")
					.getBytes(StandardCharsets.US_ASCII));
				for (int sent = 0; sent < BODY_BYTES; sent += PIECE_BYTES) {
					out.write(piece);
					Thread.sleep(0, (int) PIECE_GAP_NANOS);
				}
			}
		}
		catch (IOException | InterruptedException ex) {
			// The reader of the connection fails as well and counts it.
		}
	}

	// The server answers with the id, the target and the length of the body that it got.
	private static void check(Site site, String attempt, Http.Answer answer) {
		int status = answer.head().status();
		String body = new String(answer.body(), StandardCharsets.US_ASCII);
		if (status != 200) {
			UNANSWERED.incrementAndGet();
			site.log("%s is answered with %d", attempt, status);
		}
		else if (body.equals(attempt + " /lot/" + attempt + " " + BODY_BYTES)) {
			CORRECT.incrementAndGet();
		}
		else if (body.startsWith(attempt + " ")) {
			CHANGED.incrementAndGet();
			site.log("%s was sent with %d bytes; the server ran: %s", attempt, BODY_BYTES, body);
		}
		else {
			FOREIGN.incrementAndGet();
			site.log("%s was sent next; the client gets the answer of another request: %s", attempt, body);
		}
	}

}
