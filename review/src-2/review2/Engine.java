package review2;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.Executors;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/** Stand-in of a sound backend server, with models and orders if it has a model. */
final class Engine {

	/** An order as it arrived. */
	record Order(long atMillis, String holder, long token, String text, int status) {
	}

	static final int HEARTBEAT_MS = 1200;

	/** Time that a request without a model takes. */
	private static final long WORK_MS = 20;

	private static final int MAX_ADAPTERS = 8;

	final String id;

	final String service;

	final List<Order> orders = new ArrayList<>();

	private final Record record;

	private final Store store;

	private final String zone;

	private final HttpServer server;

	private final long born = System.currentTimeMillis();

	private final String model;

	private final Set<String> adapters = new TreeSet<>();

	private long orderCount;

	private long beats;

	private int running;

	Engine(Record record, Store store, String id, String service, String zone, String model) throws IOException {
		this.record = record;
		this.store = store;
		this.id = id;
		this.service = service;
		this.zone = zone;
		this.model = model;
		this.server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 200);
		this.server.setExecutor(Executors.newCachedThreadPool((task) -> {
			Thread thread = new Thread(task, "engine");
			thread.setDaemon(true);
			return thread;
		}));
		this.server.createContext("/", this::handle);
		this.server.start();
		Thread beat = new Thread(this::beat, "beat");
		beat.setDaemon(true);
		beat.start();
	}

	private void beat() {
		while (true) {
			this.store.put("servers", this.id, entry());
			try {
				Thread.sleep(HEARTBEAT_MS);
			}
			catch (InterruptedException ex) {
				return;
			}
		}
	}

	private synchronized ObjectNode entry() {
		ObjectNode node = Store.JSON.createObjectNode()
			.put("service", this.service)
			.put("address", "127.0.0.1:" + this.server.getAddress().getPort())
			.put("zone", this.zone)
			.put("version", "v1")
			.put("slots", (this.model != null) ? 96 : 6)
			.put("state", "ready")
			.put("cold_remaining_ms", 0)
			.put("sequence", ++this.beats)
			.put("born", this.born);
		if (this.model != null) {
			node.put("stage", "unified");
			node.set("models", models());
		}
		return node;
	}

	private ArrayNode models() {
		ArrayNode models = Store.JSON.createArrayNode();
		ObjectNode one = models.addObject().put("name", this.model).put("version", 1);
		ArrayNode names = one.putArray("adapters");
		this.adapters.forEach(names::add);
		return models;
	}

	private void handle(HttpExchange exchange) throws IOException {
		byte[] body = exchange.getRequestBody().readAllBytes();
		String path = exchange.getRequestURI().getPath();
		String expected = exchange.getRequestHeaders().getFirst("X-Expect-Instance");
		exchange.getResponseHeaders().set("X-Instance-Id", this.id);
		if (expected != null && !expected.equals(this.id)) {
			exchange.getResponseHeaders().set("X-Not-Executed", "1");
			send(exchange, 421, "");
		}
		else if (path.equals("/-/report")) {
			send(exchange, 200, report());
		}
		else if (path.equals("/-/order")) {
			send(exchange, order(Store.JSON.readTree(body)), "");
		}
		else {
			run(exchange);
		}
	}

	private synchronized String report() {
		ObjectNode node = Store.JSON.createObjectNode().put("stage", "unified").put("busy", false)
			.put("sequence", this.orderCount).put("queued", 0).put("running", this.running).put("kv_used", 0)
			.put("kv_total", 138466).put("handles", 0).put("born", this.born);
		node.set("models", models());
		return node.toString();
	}

	private synchronized int order(JsonNode order) {
		String adapter = order.path("adapter").asText("");
		boolean isLoad = order.path("operation").asText().equals("load");
		int status;
		if (!order.path("holder").isTextual() || !order.path("fencing_token").isNumber()) {
			status = 400;
		}
		else if (order.has("expected") && order.path("expected").asLong() != this.orderCount) {
			status = 409;
		}
		else if (adapter.isEmpty() || !order.path("model").asText().equals(this.model)) {
			status = 400;
		}
		else if (isLoad && this.adapters.contains(adapter)) {
			status = 200;
		}
		else if (isLoad) {
			status = (this.adapters.size() < MAX_ADAPTERS) ? 202 : 400;
			if (status == 202) {
				this.adapters.add(adapter);
				this.orderCount++;
			}
		}
		else {
			status = 200;
			this.adapters.remove(adapter);
			this.orderCount++;
		}
		Order seen = new Order(this.record.now(), order.path("holder").asText(), order.path("fencing_token").asLong(),
				order.path("operation").asText() + " " + adapter, status);
		this.orders.add(seen);
		this.record.log("ORDER engine %s holder %s token %d %s -> %d", this.id, seen.holder(), seen.token(),
				seen.text(), status);
		return status;
	}

	private void run(HttpExchange exchange) throws IOException {
		String attempt = exchange.getRequestHeaders().getFirst("X-Attempt-Id");
		String wanted = exchange.getRequestHeaders().getFirst("X-Model");
		if (attempt == null) {
			exchange.getResponseHeaders().set("X-Not-Executed", "1");
			send(exchange, 400, "");
			return;
		}
		exchange.getResponseHeaders().set("X-Attempt-Id", attempt);
		if (this.model != null && !holds(wanted)) {
			exchange.getResponseHeaders().set("X-Not-Executed", "1");
			send(exchange, 421, "");
			return;
		}
		this.record.log("RUN %s %s engine %s service %s", attempt, exchange.getRequestURI().getPath(), this.id,
				this.service);
		exchange.getResponseHeaders().set("X-Response-Signature", "s." + this.id);
		synchronized (this) {
			this.running++;
			exchange.getResponseHeaders().set("X-Server-Load",
					this.running + ",0," + ((this.model != null) ? 96 : 6));
		}
		if (this.model == null) {
			pause(WORK_MS);
			send(exchange, 200, this.service + " " + attempt);
		}
		else {
			stream(exchange);
		}
		synchronized (this) {
			this.running--;
		}
	}

	private synchronized boolean holds(String wanted) {
		if (wanted == null) {
			return false;
		}
		String[] parts = wanted.split("/", 2);
		return parts[0].equals(this.model) && (parts.length == 1 || this.adapters.contains(parts[1]));
	}

	private void stream(HttpExchange exchange) throws IOException {
		exchange.getResponseHeaders().set("Content-Type", "text/event-stream");
		exchange.sendResponseHeaders(200, 0);
		try (OutputStream out = exchange.getResponseBody()) {
			for (int i = 1; i <= 4; i++) {
				out.write(("id: " + i + "\ndata: piece\n\n").getBytes(StandardCharsets.UTF_8));
				out.flush();
				pause(20);
			}
		}
		exchange.close();
	}

	private static void pause(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static void send(HttpExchange exchange, int status, String text) throws IOException {
		byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
		if (text.startsWith("{")) {
			exchange.getResponseHeaders().set("Content-Type", "application/json");
		}
		exchange.sendResponseHeaders(status, (bytes.length == 0) ? -1 : bytes.length);
		if (bytes.length > 0) {
			exchange.getResponseBody().write(bytes);
		}
		exchange.close();
	}

	/** Returns the orders so far. */
	synchronized List<Order> orders() {
		return new ArrayList<>(this.orders);
	}

	/** Returns which holders used each token. */
	synchronized Map<Long, Set<String>> holdersByToken() {
		Map<Long, Set<String>> holders = new LinkedHashMap<>();
		this.orders.forEach(
				(order) -> holders.computeIfAbsent(order.token(), (token) -> new TreeSet<>()).add(order.holder()));
		return holders;
	}

}
