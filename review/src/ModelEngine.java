import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.TreeSet;

/**
 * Stand-in of a model engine that holds one model and some of its adapters, with the link from
 * each daemon to it. While a link is cut, what arrives on an open connection is held and
 * delivered after the cut, when a sender that repeats it by the rules of TCP would next do so;
 * it is lost if the sender resets the connection. A connection cannot be opened in that time.
 */
final class ModelEngine {

	/** First retransmission time-out; each further one is twice as long (RFC 6298). */
	private static final long FIRST_RETRANSMISSION_MS = 200;

	final String id;

	final InetSocketAddress address;

	private final long born = System.currentTimeMillis();

	private final Site site;

	private final String model;

	private final Set<String> adapters = new TreeSet<>();

	private final ServerSocket listening;

	private final Listener listener;

	private long acceptedOrders;

	private long heartbeats;

	private volatile String cutEdge = "";

	private volatile long cutNanos;

	private volatile long healNanos;

	/** Receives the orders when they arrive at the engine. */
	interface Listener {

		void onOrder(ModelEngine engine, String holder, long token, long arrivedNanos, boolean wasHeld);

	}

	ModelEngine(Site site, String id, String model, Listener listener) throws IOException {
		this.site = site;
		this.id = id;
		this.model = model;
		this.listener = listener;
		this.listening = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
		this.address = new InetSocketAddress(this.listening.getInetAddress(), this.listening.getLocalPort());
		register();
		start(this::accept);
	}

	private static void start(Runnable task) {
		Thread thread = new Thread(task);
		thread.setDaemon(true);
		thread.start();
	}

	/** Cuts the link from a daemon for some time. */
	void cut(String edge, long millis) {
		this.cutNanos = System.nanoTime();
		this.healNanos = this.cutNanos + millis * 1_000_000;
		this.cutEdge = edge;
	}

	long healNanos() {
		return this.healNanos;
	}

	/** Writes the entry of this engine. */
	synchronized void register() {
		ObjectNode entry = Site.serverEntry(Site.text(this.address), "ready", this.born, ++this.heartbeats)
			.put("service", "engines")
			.put("slots", 16);
		entry.set("models", models());
		this.site.store.put("servers", this.id, entry);
	}

	private ArrayNode models() {
		ArrayNode models = Store.JSON.createArrayNode();
		ArrayNode names = models.addObject().put("name", this.model).put("version", 1).putArray("adapters");
		this.adapters.forEach(names::add);
		return models;
	}

	private void accept() {
		while (true) {
			try {
				Socket socket = this.listening.accept();
				start(() -> serve(socket, System.nanoTime()));
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void serve(Socket socket, long openedNanos) {
		String edge = "";
		try (socket) {
			socket.setTcpNoDelay(true);
			InputStream in = socket.getInputStream();
			OutputStream out = socket.getOutputStream();
			for (Http.Head head = Http.readHead(in); head != null; head = Http.readHead(in)) {
				byte[] body = Http.readBody(in, head);
				long sentNanos = System.nanoTime();
				boolean isOrder = head.line().startsWith("POST /-/order ");
				JsonNode order = isOrder ? Store.JSON.readTree(body) : Store.JSON.createObjectNode();
				if (isOrder) {
					edge = order.path("holder").asText();
				}
				else if (!head.header("x-attempt-id").isEmpty()) {
					edge = "edge-" + head.header("x-attempt-id").split("-")[1];
				}
				boolean isHeld = edge.equals(this.cutEdge) && sentNanos - this.cutNanos >= 0
						&& sentNanos - this.healNanos < 0;
				if (isHeld && openedNanos - this.cutNanos >= 0) {
					return;
				}
				if (isHeld && !holdUp(socket, sentNanos, isOrder)) {
					return;
				}
				handle(out, head, order, isOrder, isHeld);
			}
		}
		catch (IOException | InterruptedException ex) {
			// The daemon has closed the connection.
		}
	}

	// Waits until the bytes arrive. Returns false if the sender has reset the connection.
	private boolean holdUp(Socket socket, long sentNanos, boolean isOrder) throws IOException, InterruptedException {
		long arriveNanos = sentNanos;
		for (long timeout = FIRST_RETRANSMISSION_MS; arriveNanos - this.healNanos < 0; timeout *= 2) {
			arriveNanos += timeout * 1_000_000;
		}
		if (isOrder) {
			this.site.log("an order to %s is held up by the cut", this.id);
		}
		Thread.sleep(Math.max(0, (arriveNanos - System.nanoTime()) / 1_000_000));
		socket.setSoTimeout(1);
		try {
			// The answer to a request comes before the next one, so that no byte is lost here.
			socket.getInputStream().read();
		}
		catch (SocketTimeoutException ex) {
			// The connection is still open.
		}
		catch (SocketException ex) {
			this.site.log("what was held up for %s is lost: %s", this.id, ex.getMessage());
			return false;
		}
		socket.setSoTimeout(0);
		return true;
	}

	private void handle(OutputStream out, Http.Head head, JsonNode order, boolean isOrder, boolean isHeld)
			throws IOException, InterruptedException {
		if (!head.header("x-expect-instance").equals(this.id)) {
			send(out, "421 Misdirected Request", "X-Instance-Id: " + this.id + "\r\n", "");
		}
		else if (isOrder) {
			this.listener.onOrder(this, order.path("holder").asText(), order.path("fencing_token").asLong(),
					System.nanoTime(), isHeld);
			String result = execute(order);
			if (isHeld) {
				this.site.log("the order that was held up gets %s from %s", result, this.id);
			}
			send(out, result, "", "{}");
		}
		else if (head.line().startsWith("GET /-/report ")) {
			send(out, "200 OK", "Content-Type: application/json\r\n", report());
		}
		else {
			run(out, head);
		}
	}

	private synchronized String execute(JsonNode order) {
		String adapter = order.path("adapter").asText();
		if (order.has("expected") && order.path("expected").asLong() != this.acceptedOrders) {
			return "409 Conflict";
		}
		if (adapter.isEmpty() || !order.path("model").asText().equals(this.model)) {
			return "400 Bad Request";
		}
		boolean isLoad = order.path("operation").asText().equals("load");
		if (isLoad == this.adapters.contains(adapter)) {
			return "200 OK";
		}
		this.acceptedOrders++;
		if (isLoad) {
			this.adapters.add(adapter);
			return "202 Accepted";
		}
		this.adapters.remove(adapter);
		return "200 OK";
	}

	private synchronized String report() {
		ObjectNode report = Store.JSON.createObjectNode().put("stage", "unified").put("busy", false);
		report.set("models", models());
		report.put("sequence", this.acceptedOrders).put("queued", 0).put("running", 1).put("kv_used", 0);
		report.put("kv_total", 100_000).put("handles", 0).putArray("pending");
		return report.toString();
	}

	private void run(OutputStream out, Http.Head head) throws IOException, InterruptedException {
		String attempt = head.header("x-attempt-id");
		String[] name = head.header("x-model").split("/");
		boolean isPresent;
		synchronized (this) {
			isPresent = name[0].equals(this.model) && this.adapters.contains(name[1]);
		}
		if (!isPresent) {
			send(out, "421 Misdirected Request", "X-Attempt-Id: " + attempt + "\r\nX-Not-Executed: 1\r\n", "");
			return;
		}
		Thread.sleep(30);
		send(out, "200 OK", "X-Attempt-Id: " + attempt + "\r\nX-Response-Signature: " + this.id
				+ "\r\nContent-Type: text/event-stream\r\n", "id: 1\ndata: x\n\nid: 2\ndata: y\n\n");
	}

	private static void send(OutputStream out, String status, String headers, String body) throws IOException {
		out.write(("HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body)
			.getBytes(StandardCharsets.US_ASCII));
	}

}
