import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * A small deployment on loopback addresses: the stand-in of the store and edge daemons that
 * run as separate processes with the command of deploy/system.toml and the settings that
 * deploy/edge.settings gives them.
 */
final class Site implements AutoCloseable {

	/** Status of the driver for a broken rule, which differs from those of a JVM that fails. */
	static final int EXIT_BROKEN = 10;

	final boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));

	private static final int FIRST_PORT = 12_000;

	private static final int PORTS = 18_000;

	private static final AtomicInteger NEXT_PORT = new AtomicInteger((int) (ProcessHandle.current().pid() % 90 * 200));

	final Store store;

	final List<Edge> edges = new ArrayList<>();

	private final List<Process> processes = new ArrayList<>();

	private final PrintWriter record;

	private final long startNanos = System.nanoTime();

	private final Path folder;

	private final String storeAddress;

	Site(String caseFolder, int edgeCount) throws Exception {
		this.record = new PrintWriter(Files.newBufferedWriter(Path.of(caseFolder, "record.txt")), true);
		this.folder = Files.createTempDirectory("review");
		Runtime.getRuntime().addShutdownHook(new Thread(this::close));
		InetSocketAddress address = freeAddress("127.0.0.1");
		this.storeAddress = text(address);
		this.store = new Store(address);
		for (int i = 0; i < edgeCount; i++) {
			this.edges.add(new Edge(i));
		}
		log("trouble=%s store=%s edges=%d", this.hasTrouble, this.storeAddress, edgeCount);
	}

	/** Writes a line with the time since the start to the record. */
	synchronized void log(String format, Object... arguments) {
		this.record.printf("%9.3f %s%n", seconds(), String.format(format, arguments));
	}

	double seconds() {
		return (System.nanoTime() - this.startNanos) / 1e9;
	}

	/** Returns an address whose port is below the range from which the system assigns ports itself. */
	static InetSocketAddress freeAddress(String host) throws IOException {
		while (true) {
			int port = FIRST_PORT + NEXT_PORT.getAndIncrement() % PORTS;
			try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(host))) {
				return new InetSocketAddress(socket.getInetAddress(), port);
			}
			catch (BindException ex) {
				// The port is in use; try the next one.
			}
		}
	}

	static String text(InetSocketAddress address) {
		return address.getAddress().getHostAddress() + ":" + address.getPort();
	}

	/** Writes a configuration with one host and routes to one plain service. */
	void configure(long version, Route... routes) {
		ObjectNode root = Store.JSON.createObjectNode().put("version", version);
		ArrayNode list = root.putArray("routes");
		for (Route route : routes) {
			list.addObject()
				.put("name", route.name)
				.put("host", "review.example")
				.put("path_prefix", "/" + route.name + "/")
				.put("service", "booking")
				.put("type", route.type)
				.put("timeout_ms", route.timeoutMs)
				.put("target_latency_ms", 200)
				.put("max_attempts", route.attempts)
				.put("priority", 2);
		}
		root.putArray("services")
			.addObject()
			.put("name", "booking")
			.put("health_path", "/health")
			.put("max_connections", 96);
		root.putObject("limits")
			.put("max_header_bytes", 16384)
			.put("max_body_bytes", 4194304)
			.put("header_timeout_ms", 5000)
			.put("idle_timeout_ms", 10000);
		this.store.put("op", "config", root);
		log("operator writes configuration %d", version);
	}

	record Route(String name, String type, int timeoutMs, int attempts) {
	}

	/** Returns what a server of the plain service writes about itself. */
	static ObjectNode serverEntry(String address, String state, long born, long sequence) {
		return Store.JSON.createObjectNode()
			.put("service", "booking")
			.put("address", address)
			.put("zone", "z1")
			.put("version", 1)
			.put("slots", 6)
			.put("state", state)
			.put("cold_remaining_ms", 0)
			.put("sequence", sequence)
			.put("born", born);
	}

	void startEdges() throws Exception {
		for (Edge edge : this.edges) {
			edge.start();
		}
		for (Edge edge : this.edges) {
			edge.awaitReady();
		}
		log("all edge daemons are ready");
	}

	/** Starts a process that ends with this one. */
	Process start(ProcessBuilder builder) throws IOException {
		Process process = builder.start();
		synchronized (this.processes) {
			this.processes.add(process);
		}
		return process;
	}

	/** Returns the address under which the holder of the lease accepts messages, empty if there is none. */
	String leaseHolder() throws IOException {
		var row = this.store.get("lease", "placement");
		if (row == null) {
			return "";
		}
		Matcher holder = Pattern.compile("(127\\.0\\.0\\.[0-9]+:[0-9]+)").matcher(row.path("value").asText());
		return holder.find() ? holder.group(1) : "";
	}

	@Override
	public void close() {
		synchronized (this.processes) {
			this.processes.forEach(Process::destroyForcibly);
			for (Process process : this.processes) {
				try {
					process.waitFor(5, TimeUnit.SECONDS);
				}
				catch (InterruptedException ex) {
					Thread.currentThread().interrupt();
				}
			}
		}
		this.store.close();
		try (Stream<Path> files = Files.exists(this.folder) ? Files.walk(this.folder) : Stream.empty()) {
			files.sorted(Comparator.reverseOrder()).forEach((file) -> file.toFile().delete());
		}
		catch (IOException ex) {
			log("temporary folder not removed: %s", ex);
		}
	}

	/** One edge daemon. */
	final class Edge {

		final String name;

		final InetSocketAddress front;

		private final InetSocketAddress ready;

		final String control;

		private final Path settings;

		private final int metricsPort;

		Process process;

		Edge(int index) throws IOException {
			this.name = "edge-" + index;
			this.front = freeAddress("127.0.0.1");
			this.ready = freeAddress("127.0.0.1");
			this.control = text(freeAddress("127.0.0.1"));
			this.metricsPort = freeAddress("127.0.0.1").getPort();
			this.settings = Site.this.folder.resolve(this.name + ".settings");
		}

		void start() throws IOException {
			String filled = Files.readString(Path.of("deploy/edge.settings"))
				.replace("{{node_name}}", this.name)
				.replace("{{zone}}", "z1")
				.replace("{{region}}", "r1")
				.replace("{{listen.front}}", text(this.front))
				.replace("{{listen.ready}}", text(this.ready))
				.replace("{{listen.control}}", this.control)
				.replace("{{seed_nodes}}", Site.this.edges.get(0).control)
				.replace("{{platform.address}}", Site.this.storeAddress)
				.replace("{{bounds.lease_ms}}", "3000")
				.replace("{{bounds.grace_s}}", "8")
				.replace("{{bounds.ceiling_window_s}}", "5")
				.replace("{{bounds.retry_budget_ratio}}", "0.2")
				.replace("{{bounds.retry_slack}}", "52");
			Files.writeString(this.settings, filled.stripTrailing() + "\n--metrics-port=" + this.metricsPort + "\n");
			Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/system.toml")));
			if (!run.find()) {
				throw new IOException("deploy/system.toml has no command");
			}
			ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" "));
			builder.environment().put("CELERYHILL_SETTINGS", this.settings.toString());
			builder.redirectErrorStream(true)
				.redirectOutput(ProcessBuilder.Redirect.appendTo(Site.this.folder.resolve(this.name + ".log").toFile()));
			this.process = Site.this.start(builder);
			log("%s starts, front %s, control %s", this.name, text(this.front), this.control);
		}

		boolean isReady() {
			try (Socket socket = new Socket(this.ready.getAddress(), this.ready.getPort())) {
				socket.setSoTimeout(1000);
				socket.getOutputStream().write("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.UTF_8));
				return Http.readHead(socket.getInputStream()).status() == 200;
			}
			catch (IOException ex) {
				return false;
			}
		}

		void awaitReady() throws Exception {
			long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
			while (!isReady()) {
				if (System.nanoTime() > end) {
					throw new IllegalStateException(this.name + " does not become ready:\n"
							+ Files.readString(Site.this.folder.resolve(this.name + ".log")));
				}
				Thread.sleep(50);
			}
		}

		String logText() throws IOException {
			return Files.readString(Site.this.folder.resolve(this.name + ".log"));
		}

	}

}
