package review2;

import java.io.IOException;
import java.net.InetAddress;
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

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/**
 * Stand-in of the platform's metadata store: rows, transactions, feed, and the drill in
 * which the store is away and comes back from an older copy.
 */
final class Store {

	static final ObjectMapper JSON = new ObjectMapper();

	private record Row(String table, String key, String value, long version) {
	}

	private record Copy(long atMillis, long version, Map<String, Row> rows) {
	}

	private final Record record;

	private final HttpServer server;

	private Map<String, Row> rows = new TreeMap<>();

	/** All versions of all rows, a deleted row with a null value. */
	private List<Row> history = new ArrayList<>();

	private final List<Copy> copies = new ArrayList<>();

	private long version = 100;

	private long historyStart = 100;

	private long era = 1;

	private boolean isAway;

	/** What the operator and the engines wrote last, null for a removed row. */
	private final Map<String, String> outsideRows = new TreeMap<>();

	Store(Record record) throws IOException {
		this.record = record;
		this.server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 200);
		this.server.setExecutor(Executors.newCachedThreadPool((task) -> {
			Thread thread = new Thread(task, "store");
			thread.setDaemon(true);
			return thread;
		}));
		this.server.createContext("/", this::handle);
		this.server.start();
		copy();
	}

	String address() {
		return "127.0.0.1:" + this.server.getAddress().getPort();
	}

	private static String id(String table, String key) {
		return table + "\0" + key;
	}

	/** Writes a row as the operator or an engine does. Returns false while it is away. */
	synchronized boolean put(String table, String key, JsonNode value) {
		this.outsideRows.put(id(table, key), value.toString());
		if (this.isAway) {
			return false;
		}
		change(table, key, Base64.getEncoder().encodeToString(value.toString().getBytes(StandardCharsets.UTF_8)));
		return true;
	}

	synchronized long version() {
		return this.version;
	}

	private void change(String table, String key, String value) {
		this.version++;
		apply(table, key, value);
		copy();
		notifyAll();
	}

	private void apply(String table, String key, String value) {
		Row row = new Row(table, key, value, this.version);
		this.history.add(row);
		if (value == null) {
			this.rows.remove(id(table, key));
		}
		else {
			this.rows.put(id(table, key), row);
		}
	}

	private void copy() {
		this.copies.add(new Copy(this.record.now(), this.version, new TreeMap<>(this.rows)));
	}

	/** The store goes away: all calls get 503. */
	synchronized void leave() {
		this.isAway = true;
		this.record.log("STORE away at version %d", this.version);
		notifyAll();
	}

	/** The store is back from the copy that it had at a time. */
	synchronized void comeBack(long copyMillis) {
		Copy found = this.copies.get(0);
		for (Copy copy : this.copies) {
			if (copy.atMillis() <= copyMillis) {
				found = copy;
			}
		}
		long lost = this.version;
		this.rows = new TreeMap<>(found.rows());
		this.version = found.version();
		this.history = new ArrayList<>();
		this.historyStart = this.version;
		this.era++;
		this.isAway = false;
		this.record.log("STORE back, era %d, copy of time %d, version %d (was %d)", this.era, found.atMillis(),
				this.version, lost);
		// What the operator and the engines wrote is written again.
		this.outsideRows.forEach((id, value) -> {
			String[] parts = id.split("\0");
			change(parts[0], parts[1], Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)));
		});
		this.record.log("STORE rows of operator and engines written again, version %d", this.version);
	}

	/** The store is back with all that it had. */
	synchronized void comeBackWhole() {
		this.isAway = false;
		this.record.log("STORE back with all rows, version %d", this.version);
		this.outsideRows.forEach((id, value) -> {
			String[] parts = id.split("\0");
			change(parts[0], parts[1], Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)));
		});
	}

	private void handle(HttpExchange exchange) throws IOException {
		byte[] body = exchange.getRequestBody().readAllBytes();
		String path = exchange.getRequestURI().getPath();
		Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
		int status = 200;
		ObjectNode reply = JSON.createObjectNode();
		long eraNow;
		synchronized (this) {
			if (this.isAway) {
				status = 503;
			}
			else if (path.equals("/-/rows-get")) {
				get(query, reply);
			}
			else if (path.equals("/-/rows-feed")) {
				status = feed(query, reply);
			}
			else if (path.equals("/-/rows-tx")) {
				status = transact(JSON.readTree(body), reply);
			}
			else {
				status = 404;
			}
			eraNow = this.era;
		}
		reply.put("now_ms", this.record.now());
		byte[] bytes = JSON.writeValueAsBytes(reply);
		exchange.getResponseHeaders().set("Content-Type", "application/json");
		exchange.getResponseHeaders().set("Store-Era", Long.toString(eraNow));
		exchange.sendResponseHeaders(status, bytes.length);
		exchange.getResponseBody().write(bytes);
		exchange.close();
	}

	private static Map<String, String> query(String raw) {
		Map<String, String> query = new HashMap<>();
		for (String pair : (raw == null) ? new String[0] : raw.split("&")) {
			int equals = pair.indexOf('=');
			query.put(pair.substring(0, equals),
					URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
		}
		return query;
	}

	private void get(Map<String, String> query, ObjectNode reply) {
		ArrayNode found = reply.putArray("rows");
		String from = query.getOrDefault("from", "");
		String to = query.get("to");
		for (Row row : this.rows.values()) {
			if (row.table().equals(query.get("table")) && row.key().compareTo(from) >= 0
					&& (to == null || row.key().compareTo(to) < 0)) {
				found.add(node(row));
			}
		}
		reply.put("truncated", false);
		reply.put("row_version", this.version);
	}

	private static ObjectNode node(Row row) {
		ObjectNode node = JSON.createObjectNode().put("table", row.table()).put("part", "").put("key", row.key());
		if (row.value() == null) {
			node.put("deleted", true);
		}
		else {
			node.put("value", row.value());
		}
		return node.put("row_version", row.version());
	}

	private int feed(Map<String, String> query, ObjectNode reply) {
		long after = Long.parseLong(query.get("after"));
		long end = System.nanoTime() + Long.parseLong(query.getOrDefault("wait_ms", "0")) * 1_000_000;
		while (true) {
			if (this.isAway) {
				return 503;
			}
			if (after > this.version || after < this.historyStart) {
				return 410;
			}
			Map<String, Row> changed = new TreeMap<>();
			for (Row row : this.history) {
				if (row.version() > after && row.table().equals(query.get("table"))) {
					changed.put(row.key(), row);
				}
			}
			long left = (end - System.nanoTime()) / 1_000_000;
			if (!changed.isEmpty() || left <= 0) {
				ArrayNode found = reply.putArray("rows");
				changed.values().stream().sorted((a, b) -> Long.compare(a.version(), b.version()))
					.forEach((row) -> found.add(node(row)));
				reply.put("row_version", this.version);
				return 200;
			}
			try {
				wait(left);
			}
			catch (InterruptedException ex) {
				return 503;
			}
		}
	}

	private int transact(JsonNode call, ObjectNode reply) {
		for (JsonNode expected : call.path("expected")) {
			Row row = this.rows.get(id(expected.path("table").asText(), expected.path("key").asText()));
			if (expected.path("row_version").asLong() != ((row == null) ? 0 : row.version())) {
				ArrayNode found = reply.putArray("rows");
				if (row != null) {
					found.add(node(row));
				}
				reply.put("row_version", this.version);
				return 412;
			}
		}
		this.version++;
		for (JsonNode put : call.path("puts")) {
			if (put.path("table").asText().equals("op") || put.path("table").asText().equals("servers")) {
				return 403;
			}
			apply(put.path("table").asText(), put.path("key").asText(), put.path("value").asText());
			this.record.log("STORE write %s/%s version %d: %s", put.path("table").asText(), put.path("key").asText(),
					this.version,
					new String(Base64.getDecoder().decode(put.path("value").asText()), StandardCharsets.UTF_8));
		}
		for (JsonNode delete : call.path("delete")) {
			apply(delete.path("table").asText(), delete.path("key").asText(), null);
		}
		copy();
		reply.put("row_version", this.version);
		notifyAll();
		return 200;
	}

}
