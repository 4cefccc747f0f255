import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/**
 * Stand-in of the platform's metadata store: rows with versions from one counter, conditional
 * transactions, range reads of at most 500 rows as of one moment, and a feed of changes.
 */
final class Store implements AutoCloseable {

	static final ObjectMapper JSON = new ObjectMapper();

	private static final int MAX_ROWS = 500;

	/** Rows by table and key; a deleted row stays as a marker for the feed. */
	private final Map<String, TreeMap<String, Row>> tables = new HashMap<>();

	private final HttpServer server;

	private long version;

	/** Changes up to this version are no longer available. */
	private long droppedVersion;

	/** Whether the feeds hear nothing. */
	private boolean isMuted;

	private record Row(String key, String value, long version) {
	}

	Store(InetSocketAddress address) throws IOException {
		this.server = HttpServer.create(address, 256);
		this.server.setExecutor(Executors.newCachedThreadPool((task) -> {
			Thread thread = new Thread(task);
			thread.setDaemon(true);
			return thread;
		}));
		this.server.createContext("/-/rows-tx", this::transaction);
		this.server.createContext("/-/rows-get", this::range);
		this.server.createContext("/-/rows-feed", this::feed);
		this.server.start();
	}

	/** Writes a row as the operator or a server does. Returns its version. */
	synchronized long put(String table, String key, JsonNode value) {
		byte[] bytes = value.toString().getBytes(StandardCharsets.UTF_8);
		this.version++;
		rows(table).put(key, new Row(key, Base64.getEncoder().encodeToString(bytes), this.version));
		notifyAll();
		return this.version;
	}

	synchronized void delete(String table, String key) {
		this.version++;
		rows(table).put(key, new Row(key, null, this.version));
		notifyAll();
	}

	/** Makes changes of which no feed hears, drops the history after a second and cuts the feeds. */
	void compact(Runnable changes) {
		synchronized (this) {
			this.isMuted = true;
			changes.run();
		}
		pause(1000);
		synchronized (this) {
			this.droppedVersion = this.version;
			this.tables.values().forEach((rows) -> rows.values().removeIf((row) -> row.value == null));
			this.isMuted = false;
			notifyAll();
		}
	}

	/** Returns the decoded value of a row, null if there is none. */
	synchronized JsonNode get(String table, String key) throws IOException {
		Row row = rows(table).get(key);
		return (row == null || row.value == null) ? null : JSON.readTree(Base64.getDecoder().decode(row.value));
	}

	private TreeMap<String, Row> rows(String table) {
		return this.tables.computeIfAbsent(table, (name) -> new TreeMap<>());
	}

	private void transaction(HttpExchange exchange) throws IOException {
		JsonNode body = JSON.readTree(exchange.getRequestBody());
		pause(5);
		ObjectNode reply = JSON.createObjectNode();
		int status = 200;
		synchronized (this) {
			for (JsonNode expected : body.path("expected")) {
				Row row = rows(expected.path("table").asText()).get(expected.path("key").asText());
				long found = (row == null || row.value == null) ? 0 : row.version;
				status = (found == expected.path("row_version").asLong()) ? status : 412;
			}
			if (status == 200) {
				this.version++;
				body.path("puts").forEach((put) -> rows(put.path("table").asText()).put(put.path("key").asText(),
						new Row(put.path("key").asText(), put.path("value").asText(), this.version)));
				body.path("delete").forEach((gone) -> rows(gone.path("table").asText()).put(gone.path("key").asText(),
						new Row(gone.path("key").asText(), null, this.version)));
				notifyAll();
			}
			else {
				ArrayNode current = reply.putArray("rows");
				body.path("expected").forEach((one) -> {
					Row row = rows(one.path("table").asText()).get(one.path("key").asText());
					if (row != null && row.value != null) {
						add(current, one.path("table").asText(), row);
					}
				});
			}
			finishReply(reply);
		}
		send(exchange, status, reply);
	}

	private void range(HttpExchange exchange) throws IOException {
		Map<String, String> query = query(exchange);
		pause(4);
		ObjectNode reply = JSON.createObjectNode();
		ArrayNode list = reply.putArray("rows");
		int limit = Math.min(MAX_ROWS, Integer.parseInt(query.getOrDefault("limit", "500")));
		boolean truncated = false;
		synchronized (this) {
			for (Row row : rows(query.get("table")).tailMap(query.getOrDefault("from", ""), true).values()) {
				if (row.value == null || (query.containsKey("to") && row.key.compareTo(query.get("to")) >= 0)) {
					continue;
				}
				if (list.size() == limit) {
					truncated = true;
					break;
				}
				add(list, query.get("table"), row);
			}
			reply.put("truncated", truncated);
			finishReply(reply);
		}
		send(exchange, 200, reply);
	}

	private void feed(HttpExchange exchange) throws IOException {
		Map<String, String> query = query(exchange);
		long after = Long.parseLong(query.get("after"));
		long end = System.nanoTime() + Math.min(30_000, Long.parseLong(query.getOrDefault("wait_ms", "0"))) * 1_000_000;
		ObjectNode reply = JSON.createObjectNode();
		ArrayNode list = reply.putArray("rows");
		pause(4);
		synchronized (this) {
			if (after < this.droppedVersion) {
				send(exchange, 410, JSON.createObjectNode());
				return;
			}
			List<Row> changed = changes(query.get("table"), after);
			while (this.isMuted || (changed.isEmpty() && System.nanoTime() < end)) {
				try {
					wait(Math.max(1, (end - System.nanoTime()) / 1_000_000));
				}
				catch (InterruptedException ex) {
					return;
				}
				changed = changes(query.get("table"), after);
				if (after < this.droppedVersion) {
					exchange.close();
					return;
				}
			}
			changed.forEach((row) -> add(list, query.get("table"), row));
			finishReply(reply);
		}
		send(exchange, 200, reply);
	}

	private List<Row> changes(String table, long after) {
		List<Row> changed = new ArrayList<>();
		for (Row row : rows(table).values()) {
			if (row.version > after) {
				changed.add(row);
			}
		}
		changed.sort((one, other) -> Long.compare(one.version, other.version));
		return changed;
	}

	private void add(ArrayNode list, String table, Row row) {
		ObjectNode node = list.addObject().put("table", table).put("part", "").put("key", row.key);
		node.put("row_version", row.version);
		if (row.value == null) {
			node.put("deleted", true);
		}
		else {
			node.put("value", row.value);
		}
	}

	private void finishReply(ObjectNode reply) {
		reply.put("row_version", this.version).put("now_ms", System.nanoTime() / 1_000_000);
	}

	private static Map<String, String> query(HttpExchange exchange) {
		Map<String, String> query = new HashMap<>();
		for (String pair : exchange.getRequestURI().getRawQuery().split("&")) {
			String[] parts = pair.split("=", 2);
			query.put(parts[0], URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
		}
		return query;
	}

	private static void send(HttpExchange exchange, int status, JsonNode body) throws IOException {
		byte[] bytes = body.toString().getBytes(StandardCharsets.UTF_8);
		exchange.getResponseHeaders().set("Content-Type", "application/json");
		exchange.sendResponseHeaders(status, bytes.length);
		exchange.getResponseBody().write(bytes);
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

	@Override
	public void close() {
		this.server.stop(0);
	}

}
