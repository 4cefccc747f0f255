package review2;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** A small deployment: store, engines, machines and clients. */
final class Site implements AutoCloseable {

	static final String MODEL = "m0";

	static final int ADAPTERS = 24;

	private static final String[] ZONES = { "port-louis", "curepipe", "mahebourg" };

	final Record record;

	final Path folder;

	final Store store;

	final List<Engine> engines = new ArrayList<>();

	final List<Daemon> daemons = new ArrayList<>();

	private final AtomicBoolean isStopped = new AtomicBoolean();

	Site(Path caseFolder) throws IOException {
		this.record = new Record(caseFolder.resolve("record.txt"));
		this.folder = Files.createTempDirectory("review-2-");
		System.out.println("logs of the daemons: " + this.folder);
		this.store = new Store(this.record);
		// Ends the machines also if the script is stopped.
		Runtime.getRuntime().addShutdownHook(new Thread(() -> this.daemons.forEach(Daemon::kill)));
	}

	/** Adds the engines of a service. */
	void addEngines(String service, int count, String model) throws IOException {
		for (int i = 0; i < count; i++) {
			this.engines.add(new Engine(this.record, this.store, service + "-" + i, service, zone(i), model));
		}
	}

	private static String zone(int number) {
		return ZONES[number % ZONES.length];
	}

	/** Starts the machines and waits until all are ready. */
	boolean startDaemons(int count) throws IOException, InterruptedException {
		for (int i = 0; i < count; i++) {
			this.daemons.add(new Daemon(this.record, this.folder, i + 1, zone(i)));
		}
		String seeds = this.daemons.get(0).control + "," + this.daemons.get(1).control + ","
				+ this.daemons.get(2).control;
		for (Daemon daemon : this.daemons) {
			daemon.start(this.store.address(), seeds);
		}
		for (Daemon daemon : this.daemons) {
			if (!awaitReady(daemon, 20_000)) {
				return false;
			}
		}
		return true;
	}

	/** Waits until a machine says that it is ready. */
	boolean awaitReady(Daemon daemon, long millis) throws InterruptedException {
		long end = this.record.now() + millis;
		while (this.record.now() < end) {
			if (isReady(daemon)) {
				return true;
			}
			Thread.sleep(100);
		}
		return false;
	}

	static boolean isReady(Daemon daemon) {
		return Client.send(daemon.ready, "GET", "/-/ready", "", "", 500).status() == 200;
	}

	/** Runs a task in the background until the end. */
	void repeat(String name, long pauseMs, Runnable task) {
		Thread thread = new Thread(() -> {
			while (!this.isStopped.get()) {
				task.run();
				try {
					Thread.sleep(pauseMs);
				}
				catch (InterruptedException ex) {
					return;
				}
			}
		}, name);
		thread.setDaemon(true);
		thread.start();
	}

	/** Returns a configuration without routes, with two services. */
	static ObjectNode configuration(long version, String... plainServices) {
		ObjectNode root = Store.JSON.createObjectNode().put("version", version);
		root.putArray("routes");
		ArrayNode services = root.putArray("services");
		ObjectNode llm = services.addObject().put("name", "drafting-desk").put("health_path", "/health")
			.put("max_connections", 490).put("protocol", "h1").put("tls", false);
		ObjectNode engine = llm.putObject("engine").put("slots", 96).put("kv_cache_tokens", 138466)
			.put("kv_token_bytes", 163840).put("link_mbps", 550000.0).put("moves", true).put("backups", true)
			.put("stride", 2).put("maximum", 12).put("host_mb", 140000.0).put("disk_mb", 400000.0)
			.put("pin_ms", 4000.0).put("hold_ms", 2000.0).put("handle_s", 5.0).put("mb", 200000.0)
			.put("adapter_slots", 8).put("loads_per_s", 1.5);
		engine.putArray("models").addObject().put("name", MODEL).put("mb", 65100.0).put("load_time_s", 7.8)
			.put("adapters", ADAPTERS).put("adapter_mb", 12.0).put("warm_s", 1.2).put("disk_s", 1.6);
		for (String name : plainServices) {
			services.addObject().put("name", name).put("health_path", "/health").put("max_connections", 100)
				.put("protocol", "h1").put("tls", false);
		}
		root.putObject("limits").put("max_header_bytes", 16384).put("max_body_bytes", 4194304)
			.put("header_timeout_ms", 3000).put("idle_timeout_ms", 15000);
		return root;
	}

	/** Adds a route to a configuration. */
	static void addRoute(ObjectNode configuration, String name, String prefix, String type, String service) {
		((ArrayNode) configuration.path("routes")).addObject().put("name", name).put("host", "a.example")
			.put("path_prefix", prefix).put("type", type).put("timeout_ms", type.equals("streaming") ? 5000 : 1200)
			.put("target_latency_ms", type.equals("streaming") ? 800 : 150).put("priority", 1).put("service", service)
			.put("max_attempts", 1).put("sticky", type.equals("streaming")).put("resumable", false)
			.put("gap_target_ms", 250);
	}

	@Override
	public void close() throws InterruptedException {
		this.isStopped.set(true);
		for (Daemon daemon : this.daemons) {
			daemon.end();
		}
	}

}
