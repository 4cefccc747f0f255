import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Several daemons are killed and restarted while servers are taken away. The servers' table is
 * longer than one answer of the store. The daemons must stop sending requests to a server in
 * time after the server has reported that it drains.
 */
final class PagedReadCase {

	private static final int EDGES = 6;

	/** Daemons that are killed in each round: a share of 0.5. */
	private static final int KILLED = 3;

	private static final long RESTART_DELAY_MS = 100;

	private static final int ROUNDS = 10;

	private static final int SERVERS = 600;

	/** Servers that leave in each round: a share of 0.25. */
	private static final int LEAVING = 150;

	private static final long HEARTBEAT_MS = 1200;

	private static final long DRAIN_MS = 2000;

	/** Time for which a server serves after it has reported that it drains. */
	private static final long SERVE_MS = DRAIN_MS + 4000;

	private static final long CONTACT_MS = 3000;

	private final Random random = new Random(1);

	private final List<BookingServer> servers = new ArrayList<>();

	private final Map<String, Long> drainingNanos = new ConcurrentHashMap<>();

	private final Map<String, Long> startNanos = new ConcurrentHashMap<>();

	private final AtomicInteger late = new AtomicInteger();

	private final AtomicInteger lateInRound = new AtomicInteger();

	private final AtomicInteger served = new AtomicInteger();

	private final Site site;

	private volatile boolean isDone;

	private PagedReadCase(Site site) {
		this.site = site;
	}

	public static void main(String[] arguments) throws Exception {
		int exit = 2;
		try (Site site = new Site(arguments[0], EDGES)) {
			exit = new PagedReadCase(site).run();
			site.log("exit %d", exit);
		}
		System.exit((exit == 1) ? Site.EXIT_BROKEN : exit);
	}

	private void addServers() throws IOException {
		while (this.servers.size() < SERVERS) {
			String id = String.format("i-%08x", this.random.nextInt());
			BookingServer server = new BookingServer(id, 30, (attempt) -> handleArrival(id, attempt));
			this.servers.add(server);
			this.site.store.put("servers", id, Site.serverEntry(Site.text(server.address), "ready", server.born, 1));
		}
	}

	// Counts requests that come too late from daemons in touch.
	private void handleArrival(String id, String attempt) {
		Long draining = this.drainingNanos.get(id);
		if (draining == null) {
			return;
		}
		long now = System.nanoTime();
		long lateMillis = (now - draining) / 1_000_000;
		String edge = "edge-" + attempt.split("-")[1];
		boolean isInTouch = now - this.startNanos.getOrDefault(edge, 0L) > CONTACT_MS * 1_000_000;
		if (lateMillis > DRAIN_MS && isInTouch) {
			this.late.incrementAndGet();
			this.lateInRound.incrementAndGet();
			this.site.log("request %s reaches %s from %s, %d ms after its draining was acknowledged", attempt, id, edge,
					lateMillis);
		}
	}

	private int run() throws Exception {
		this.site.configure(1, new Site.Route("book", "non_idempotent", 2500, 1));
		addServers();
		this.site.startEdges();
		for (Site.Edge edge : this.site.edges) {
			this.startNanos.put(edge.name, System.nanoTime());
			for (int client = 0; client < 3; client++) {
				int number = client;
				Thread thread = new Thread(() -> callRepeatedly(edge, number));
				thread.setDaemon(true);
				thread.start();
			}
		}
		Thread.sleep(4000);
		int roundsBroken = 0;
		for (int round = 0; round < ROUNDS; round++) {
			this.lateInRound.set(0);
			int first = round * KILLED % EDGES;
			playRound(this.site.edges.subList(first, first + KILLED));
			roundsBroken += (this.lateInRound.get() > 0) ? 1 : 0;
			this.site.log("round %d: %d late requests", round, this.lateInRound.get());
		}
		this.isDone = true;
		this.site.log("rounds %d, broken in %d, late requests %d, served %d", ROUNDS, roundsBroken, this.late.get(),
				this.served.get());
		if (this.served.get() == 0) {
			return 2;
		}
		return (roundsBroken > 0) ? 1 : 0;
	}

	private void playRound(List<Site.Edge> killed) throws Exception {
		if (this.site.hasTrouble) {
			for (Site.Edge edge : killed) {
				edge.process.destroyForcibly();
			}
			for (Site.Edge edge : killed) {
				edge.process.waitFor();
				this.site.log("%s is killed", edge.name);
			}
			Thread.sleep(RESTART_DELAY_MS);
			for (Site.Edge edge : killed) {
				edge.start();
				this.startNanos.put(edge.name, System.nanoTime());
			}
		}
		Collections.shuffle(this.servers, this.random);
		List<BookingServer> leaving = new ArrayList<>(this.servers.subList(0, LEAVING));
		this.servers.subList(0, LEAVING).clear();
		this.site.log("%d servers are taken away; they report it within one heartbeat interval", LEAVING);
		long beginNanos = System.nanoTime();
		for (int i = 0; i < LEAVING; i++) {
			long dueNanos = beginNanos + i * HEARTBEAT_MS * 1_000_000 / LEAVING;
			Thread.sleep(Math.max(0, (dueNanos - System.nanoTime()) / 1_000_000));
			BookingServer server = leaving.get(i);
			this.site.store.put("servers", server.id,
					Site.serverEntry(Site.text(server.address), "draining", server.born, 2));
			this.drainingNanos.put(server.id, System.nanoTime());
		}
		Thread.sleep(SERVE_MS);
		for (BookingServer server : leaving) {
			this.site.store.delete("servers", server.id);
			server.stop();
		}
		addServers();
	}

	private void callRepeatedly(Site.Edge edge, int client) {
		for (int count = 0; !this.isDone; count++) {
			String attempt = "a-" + edge.name.split("-")[1] + "-" + client + "-" + count;
			InetSocketAddress front = edge.front;
			try (Socket socket = new Socket(front.getAddress(), front.getPort())) {
				socket.setSoTimeout(4000);
				socket.getOutputStream()
					.write(("POST /book/lots HTTP/1.1\r\nHost: review.example\r\nX-Attempt-Id: " + attempt
							+ "\r\nX-Deadline-Ms: 2500\r\nContent-Length: 5\r\n\r\nlot 7").getBytes(StandardCharsets.US_ASCII));
				if (Http.readAnswer(socket.getInputStream()).head().status() == 200) {
					this.served.incrementAndGet();
				}
			}
			catch (IOException ex) {
				// The daemon is down; the next request is a new one.
			}
			try {
				Thread.sleep(20);
			}
			catch (InterruptedException ex) {
				return;
			}
		}
	}

}
