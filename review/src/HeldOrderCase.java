import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The link from the lease holder to one engine is cut for some seconds, and the holder is
 * stopped meanwhile. An order of the former holder must not reach the engine after one of the
 * next holder.
 */
final class HeldOrderCase {

	private static final int EDGES = 4;

	private static final int ENGINES = 5;

	private static final int ROUNDS = 7;

	private static final int ADAPTERS = 60;

	private static final int ADAPTER_SLOTS = 8;

	private static final long CUT_MS = 5000;

	/** Time after the end of a cut within which orders don't count. */
	private static final long FREEZE_SLACK_MS = 300;

	private static final String MODEL = "m0";

	private final Site site;

	private final List<ModelEngine> engines = new ArrayList<>();

	private final Map<String, Long> highestTokens = new HashMap<>();

	private final AtomicInteger served = new AtomicInteger();

	private int orders;

	private int stale;

	private volatile boolean isDone;

	private HeldOrderCase(Site site) {
		this.site = site;
	}

	public static void main(String[] arguments) throws Exception {
		int exit = 2;
		try (Site site = new Site(arguments[0], EDGES)) {
			exit = new HeldOrderCase(site).run();
			site.log("exit %d", exit);
		}
		System.exit((exit == 1) ? Site.EXIT_BROKEN : exit);
	}

	private void configure() {
		ObjectNode root = Store.JSON.createObjectNode().put("version", 1);
		root.putArray("routes")
			.addObject()
			.put("name", "ask")
			.put("host", "review.example")
			.put("path_prefix", "/ask/")
			.put("service", "engines")
			.put("type", "streaming")
			.put("timeout_ms", 5000)
			.put("target_latency_ms", 800)
			.put("max_attempts", 2)
			.put("priority", 1)
			.put("sticky", true)
			.put("resumable", true)
			.put("gap_target_ms", 250);
		ObjectNode service = root.putArray("services").addObject();
		service.put("name", "engines").put("health_path", "/health").put("max_connections", 360);
		ObjectNode engine = service.putObject("engine");
		engine.put("slots", 16).put("kv_cache_tokens", 100_000).put("stride", 1).put("mb", 200_000);
		engine.put("adapter_slots", ADAPTER_SLOTS).put("loads_per_s", 1.5);
		engine.putArray("models")
			.addObject()
			.put("name", MODEL)
			.put("mb", 65_000)
			.put("load_time_s", 7.8)
			.put("adapters", ADAPTERS)
			.put("adapter_mb", 12)
			.put("warm_s", 1.2)
			.put("disk_s", 1.6);
		root.putObject("limits")
			.put("max_header_bytes", 16384)
			.put("max_body_bytes", 4194304)
			.put("header_timeout_ms", 3000)
			.put("idle_timeout_ms", 15000);
		this.site.store.put("op", "config", root);
	}

	private synchronized void handleOrder(ModelEngine engine, String holder, long token, long arrivedNanos,
			boolean wasHeld) {
		this.orders++;
		long highest = this.highestTokens.getOrDefault(engine.id, 0L);
		long afterHealMillis = (arrivedNanos - engine.healNanos()) / 1_000_000;
		if (token < highest && (!wasHeld || afterHealMillis > FREEZE_SLACK_MS)) {
			this.stale++;
			this.site.log("STALE: order of %s with token %d reaches %s after one with token %d, %d ms after the cut", holder,
					token, engine.id, highest, afterHealMillis);
		}
		else if (wasHeld || token > highest) {
			this.site.log("order of %s with token %d reaches %s%s", holder, token, engine.id,
					wasHeld ? ", held up, " + afterHealMillis + " ms after the cut" : "");
		}
		this.highestTokens.put(engine.id, Math.max(token, highest));
	}

	private int run() throws Exception {
		configure();
		for (int i = 0; i < ENGINES; i++) {
			this.engines.add(new ModelEngine(this.site, "i-engine-" + i, MODEL, this::handleOrder));
		}
		start(this::heartbeat);
		this.site.startEdges();
		for (int edge = 0; edge < EDGES; edge++) {
			int index = edge;
			for (int client = 0; client < 3; client++) {
				int number = client;
				start(() -> callRepeatedly(index, number));
			}
		}
		Thread.sleep(5000);
		for (int round = 0; round < ROUNDS; round++) {
			playRound(round);
		}
		this.isDone = true;
		this.site.log("rounds %d, orders %d, stale orders %d, served %d", ROUNDS, this.orders, this.stale,
				this.served.get());
		if (this.orders == 0 || this.served.get() == 0) {
			return 2;
		}
		return (this.stale > 0) ? 1 : 0;
	}

	private void playRound(int round) throws Exception {
		String control = this.site.leaseHolder();
		Site.Edge holder = this.site.edges.stream().filter((edge) -> edge.control.equals(control)).findFirst().orElseThrow();
		ModelEngine engine = this.engines.get(round % ENGINES);
		if (this.site.hasTrouble) {
			engine.cut(holder.name, CUT_MS);
			this.site.log("round %d: the link from %s, which holds the lease, to %s is cut for %d ms", round, holder.name,
					engine.id, CUT_MS);
		}
		Thread.sleep(1000);
		this.site.log("SIGTERM to %s", holder.name);
		holder.process.destroy();
		if (!holder.process.waitFor(8, TimeUnit.SECONDS)) {
			holder.process.destroyForcibly().waitFor();
		}
		Thread.sleep(100);
		holder.start();
		Thread.sleep(9000);
	}

	private static void start(Runnable task) {
		Thread thread = new Thread(task);
		thread.setDaemon(true);
		thread.start();
	}

	private void heartbeat() {
		while (true) {
			this.engines.forEach(ModelEngine::register);
			if (!pause(1200)) {
				return;
			}
		}
	}

	private static boolean pause(long millis) {
		try {
			Thread.sleep(millis);
			return true;
		}
		catch (InterruptedException ex) {
			return false;
		}
	}

	private void callRepeatedly(int edge, int client) {
		Random random = new Random(edge * 100 + client);
		for (int count = 0; !this.isDone; count++) {
			String attempt = "a-" + edge + "-" + client + "-" + count;
			InetSocketAddress front = this.site.edges.get(edge).front;
			try (Socket socket = new Socket(front.getAddress(), front.getPort())) {
				socket.setSoTimeout(6000);
				socket.getOutputStream()
					.write(("POST /ask/x HTTP/1.1\r\nHost: review.example\r\nX-Attempt-Id: " + attempt
							+ "\r\nX-Deadline-Ms: 3000\r\nX-Model: " + MODEL + "/a" + (1 + random.nextInt(ADAPTERS))
							+ "\r\nX-Token-Counts: 100,2\r\nX-Prompt-Prefix: " + Integer.toHexString(random.nextInt(1 << 30))
							+ ":100\r\nContent-Length: 2\r\n\r\nhi").getBytes(StandardCharsets.US_ASCII));
				if (Http.readAnswer(socket.getInputStream()).head().status() == 200) {
					this.served.incrementAndGet();
				}
			}
			catch (IOException ex) {
				// The daemon is down or has refused; the next request is a new one.
			}
			pause(30);
		}
	}

}
