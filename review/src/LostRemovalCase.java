import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A server leaves without reporting that it drains, while the daemon that holds the lease is
 * killed and restarted. The other daemons must stop sending requests to the server in time.
 */
final class LostRemovalCase {

	private static final int EDGES = 10;

	private static final int ROUNDS = 11;

	private static final long DRAIN_MS = 2000;

	/** Time for which the server serves after its entry is removed. */
	private static final long SERVE_MS = DRAIN_MS + 2500;

	/** Time from the end of a killed process to its restart. */
	private static final long RESTART_DELAY_MS = 50;

	private final Site site;

	private final Map<String, AtomicLong> removedNanos = new ConcurrentHashMap<>();

	private final Map<String, AtomicInteger> lateArrivals = new ConcurrentHashMap<>();

	private final AtomicInteger cutOff = new AtomicInteger();

	private final AtomicInteger served = new AtomicInteger();

	private volatile int killedEdge = -1;

	private volatile boolean isDone;

	private LostRemovalCase(Site site) {
		this.site = site;
	}

	public static void main(String[] arguments) throws Exception {
		int exit = 2;
		try (Site site = new Site(arguments[0], EDGES)) {
			exit = new LostRemovalCase(site).run();
			site.log("exit %d", exit);
		}
		System.exit((exit == 1) ? Site.EXIT_BROKEN : exit);
	}

	private BookingServer startServer(String id) throws IOException {
		BookingServer server = new BookingServer(id, 60, (attempt) -> handleArrival(id, attempt));
		this.site.store.put("servers", id, Site.serverEntry(Site.text(server.address), "ready", server.born, 1));
		this.site.log("server %s at %s is registered", id, Site.text(server.address));
		return server;
	}

	// Counts requests of daemons that run all the while and that come too late.
	private void handleArrival(String id, String attempt) {
		AtomicLong removed = this.removedNanos.get(id);
		if (removed == null) {
			return;
		}
		long lateMillis = (System.nanoTime() - removed.get()) / 1_000_000;
		int edge = Integer.parseInt(attempt.split("-")[1]);
		if (lateMillis > DRAIN_MS && edge != this.killedEdge) {
			this.lateArrivals.computeIfAbsent(id, (key) -> new AtomicInteger()).incrementAndGet();
			this.site.log("request %s reaches %s from edge-%d, %d ms after its removal was acknowledged", attempt, id, edge,
					lateMillis);
		}
	}

	private int run() throws Exception {
		this.site.configure(1, new Site.Route("book", "non_idempotent", 2500, 1));
		List<BookingServer> lasting = new ArrayList<>();
		for (int i = 0; i < 3; i++) {
			lasting.add(startServer("i-lasting-" + i));
		}
		this.site.startEdges();
		for (int edge = 0; edge < EDGES; edge++) {
			int index = edge;
			for (int client = 0; client < 2; client++) {
				int number = client;
				Thread thread = new Thread(() -> callRepeatedly(index, number));
				thread.setDaemon(true);
				thread.start();
			}
		}
		Thread.sleep(4000);
		for (int round = 0; round < ROUNDS; round++) {
			playRound("i-leaving-" + round);
		}
		this.isDone = true;
		int roundsBroken = this.lateArrivals.size();
		this.site.log("rounds %d, broken in %d, late requests %s, served %d, answers cut off by a server's end %d", ROUNDS,
				roundsBroken, this.lateArrivals, this.served.get(), this.cutOff.get());
		if (this.served.get() == 0) {
			return 2;
		}
		return (roundsBroken > 0) ? 1 : 0;
	}

	private void playRound(String id) throws Exception {
		BookingServer leaving = startServer(id);
		Thread.sleep(2500);
		Site.Edge holder = this.site.edges.stream()
			.filter((edge) -> edge.control.equals(holder()))
			.findFirst()
			.orElseThrow(() -> new IllegalStateException("no daemon holds the lease"));
		if (this.site.hasTrouble) {
			this.killedEdge = this.site.edges.indexOf(holder);
			holder.process.destroyForcibly().waitFor();
			this.site.log("%s, which holds the lease, is killed", holder.name);
		}
		this.removedNanos.put(id, new AtomicLong(System.nanoTime()));
		this.site.store.delete("servers", id);
		this.removedNanos.get(id).set(System.nanoTime());
		this.site.log("entry of server %s is removed; it serves for %d ms more", id, SERVE_MS);
		if (this.site.hasTrouble) {
			Thread.sleep(RESTART_DELAY_MS);
			holder.start();
		}
		Thread.sleep(SERVE_MS);
		leaving.stop();
		this.site.log("server %s has ended", id);
		Thread.sleep(1000);
	}

	private String holder() {
		try {
			return this.site.leaseHolder();
		}
		catch (IOException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private void callRepeatedly(int edge, int client) {
		for (int count = 0; !this.isDone; count++) {
			String attempt = "a-" + edge + "-" + client + "-" + count;
			InetSocketAddress front = this.site.edges.get(edge).front;
			try (Socket socket = new Socket(front.getAddress(), front.getPort())) {
				socket.setSoTimeout(4000);
				socket.getOutputStream()
					.write(("POST /book/lots HTTP/1.1\r\nHost: review.example\r\nX-Attempt-Id: " + attempt
							+ "\r\nX-Deadline-Ms: 2500\r\nContent-Length: 5\r\n\r\nlot 7").getBytes(StandardCharsets.US_ASCII));
				Http.Answer answer = Http.readAnswer(socket.getInputStream());
				int status = answer.head().status();
				if (status == 200) {
					this.served.incrementAndGet();
				}
				else if (status == 502) {
					this.cutOff.incrementAndGet();
					this.site.log("client gets 502 for %s", attempt);
				}
			}
			catch (IOException ex) {
				// The daemon is down; the next request is a new one.
			}
			try {
				Thread.sleep(40);
			}
			catch (InterruptedException ex) {
				return;
			}
		}
	}

}
