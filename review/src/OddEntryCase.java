import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An entry of another writer, whose key is a single space, is removed while the store drops its
 * history. The daemons must go on following the servers' table.
 */
final class OddEntryCase {

	private static final int EDGES = 3;

	private static final int SERVERS = 4;

	private static final long DRAIN_MS = 2000;

	/** Time for which a server serves after it has reported that it drains. */
	private static final long SERVE_MS = DRAIN_MS + 4000;

	private final Site site;

	private final Map<String, AtomicInteger> arrivals = new ConcurrentHashMap<>();

	private final Map<String, AtomicInteger> lateByEdge = new ConcurrentHashMap<>();

	private final AtomicInteger served = new AtomicInteger();

	private volatile String drainingId = "";

	private volatile long drainingNanos;

	private volatile boolean isDone;

	private OddEntryCase(Site site) {
		this.site = site;
	}

	public static void main(String[] arguments) throws Exception {
		int exit = 2;
		try (Site site = new Site(arguments[0], EDGES)) {
			exit = new OddEntryCase(site).run();
			site.log("exit %d", exit);
		}
		System.exit((exit == 1) ? Site.EXIT_BROKEN : exit);
	}

	private BookingServer startServer(String id) throws IOException {
		BookingServer server = new BookingServer(id, 30, (attempt) -> handleArrival(id, attempt));
		put(server, "ready", 1);
		this.site.log("server %s is registered", id);
		return server;
	}

	private void put(BookingServer server, String state, long sequence) {
		this.site.store.put("servers", server.id,
				Site.serverEntry(Site.text(server.address), state, server.born, sequence));
	}

	private void handleArrival(String id, String attempt) {
		this.arrivals.computeIfAbsent(id, (key) -> new AtomicInteger()).incrementAndGet();
		long lateMillis = (System.nanoTime() - this.drainingNanos) / 1_000_000;
		if (id.equals(this.drainingId) && lateMillis > DRAIN_MS) {
			String edge = "edge-" + attempt.split("-")[1];
			this.lateByEdge.computeIfAbsent(edge, (key) -> new AtomicInteger()).incrementAndGet();
		}
	}

	private int run() throws Exception {
		this.site.configure(1, new Site.Route("book", "non_idempotent", 2500, 1));
		BookingServer leaving = startServer("i-0");
		for (int i = 1; i < SERVERS; i++) {
			startServer("i-" + i);
		}
		this.site.startEdges();
		for (int edge = 0; edge < EDGES; edge++) {
			int index = edge;
			Thread thread = new Thread(() -> callRepeatedly(index));
			thread.setDaemon(true);
			thread.start();
		}
		this.site.store.put("servers", " ", Store.JSON.createObjectNode().put("note", "not a server"));
		this.site.log("another writer adds an entry whose key is a space");
		Thread.sleep(3000);
		Runnable removal = () -> this.site.store.delete("servers", " ");
		if (this.site.hasTrouble) {
			this.site.store.compact(removal);
		}
		else {
			removal.run();
		}
		this.site.log("the entry is removed%s", this.site.hasTrouble ? " while the store drops its history" : "");
		Thread.sleep(6000);
		startServer("i-new");
		put(leaving, "draining", 2);
		this.drainingNanos = System.nanoTime();
		this.drainingId = leaving.id;
		this.site.log("server %s reports that it drains", leaving.id);
		Thread.sleep(SERVE_MS);
		this.site.store.delete("servers", leaving.id);
		leaving.stop();
		this.site.log("server %s has ended", leaving.id);
		Thread.sleep(3000);
		this.isDone = true;
		this.site.log("served %d, arrivals %s, late at %s by daemon %s", this.served.get(), this.arrivals, leaving.id,
				this.lateByEdge);
		if (this.served.get() == 0) {
			return 2;
		}
		return this.lateByEdge.isEmpty() ? 0 : 1;
	}

	private void callRepeatedly(int edge) {
		for (int count = 0; !this.isDone; count++) {
			String attempt = "a-" + edge + "-" + count;
			InetSocketAddress front = this.site.edges.get(edge).front;
			try (Socket socket = new Socket(front.getAddress(), front.getPort())) {
				socket.setSoTimeout(4000);
				socket.getOutputStream()
					.write(("POST /book/lots HTTP/1.1\r\nHost: review.example\r\nX-Attempt-Id: " + attempt
							+ "\r\nX-Deadline-Ms: 2500\r\nContent-Length: 5\r\n\r\nlot 7").getBytes(StandardCharsets.US_ASCII));
				int status = Http.readAnswer(socket.getInputStream()).head().status();
				if (status == 200) {
					this.served.incrementAndGet();
				}
				else {
					this.site.log("client gets %d for %s", status, attempt);
				}
				Thread.sleep(20);
			}
			catch (IOException ex) {
				if (!this.isDone) {
					this.site.log("%s: %s", attempt, ex);
				}
			}
			catch (InterruptedException ex) {
				return;
			}
		}
	}

}
