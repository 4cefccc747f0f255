package org.celeryhill.systemtest;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.BindException;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;

import org.celeryhill.cli.CeleryhillMain;

/**
 * Stand-ins, entry daemons and planner daemons as separate processes on loopback ports.
 */
final class Fleet implements AutoCloseable {

	/** Configuration that the fleet starts with. */
	static final Path EXAMPLE = Path.of("..", "examples", "demo");

	/** Models of the example, with their sizes in bytes. */
	private static final List<String> WEIGHTS = List.of("mill-a/furnish@1=17179869184",
			"mill-a/grade-report@1=8589934592", "mill-a/line-1@1=209715200:adapter", "mill-b/furnish@1=17179869184",
			"mill-b/grade-report@1=8589934592", "mill-b/line-1@1=209715200:adapter");

	/** Key that signs event ids. */
	private static final String EVENT_ID_KEY = "0123456789abcdef0123456789abcdef";

	/** Client for readiness. */
	private final HttpClient client = HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(1)).build();

	/** Logs of the processes. */
	private final Path directory;

	/** Entry daemons by number. */
	private final Map<Integer, Daemon> entries = new ConcurrentHashMap<>();

	/** Planner daemons by number. */
	private final Map<Integer, Daemon> planners = new ConcurrentHashMap<>();

	/** Process of the stand-ins. */
	private ManagedProcess standins;

	/** Addresses of the stand-ins by name. */
	private Map<String, URI> addresses;

	private Fleet(Path directory) {
		this.directory = directory;
	}

	/**
	 * Starts a fleet, applies the example and waits until every model of it is ready.
	 * @param directory where logs go
	 * @param entries the number of entry daemons
	 * @param planners the number of planner daemons
	 * @param standinFlags further flags of the stand-ins
	 * @return the fleet
	 */
	static Fleet start(Path directory, int entries, int planners, String... standinFlags) {
		Fleet fleet = new Fleet(directory);
		try {
			for (int i = 1; i <= entries; i++) {
				fleet.entries.put(i, new Daemon("entry-" + i));
			}
			for (int i = 1; i <= planners; i++) {
				fleet.planners.put(i, new Daemon("planner-" + i));
			}
			fleet.startStandins(standinFlags);
			fleet.apply(EXAMPLE);
			fleet.entries.keySet().forEach(fleet::startEntry);
			fleet.planners.keySet().forEach(fleet::startPlanner);
			fleet.await("all entry daemons ready", Duration.ofSeconds(30),
					() -> fleet.readyHosts().size() == fleet.entries.size());
			fleet.awaitModels();
			return fleet;
		}
		catch (RuntimeException ex) {
			fleet.close();
			throw ex;
		}
	}

	private void startStandins(String... flags) {
		Path file = this.directory.resolve("addresses");
		List<String> arguments = new ArrayList<>(
				List.of("--engines", "4", "--plain-servers", "3", "--addresses-file", file.toString()));
		WEIGHTS.forEach((weight) -> arguments.addAll(List.of("--weight", weight)));
		this.entries.values()
			.forEach((entry) -> arguments
				.addAll(List.of("--entry-host", entry.name + "=http://127.0.0.1:" + entry.peerPort)));
		arguments.addAll(List.of(flags));
		this.standins = ManagedProcess.start("standins", this.directory, "org.celeryhill.standin.StandinMain",
				arguments);
		await("stand-ins started", Duration.ofSeconds(30), () -> Files.exists(file));
		try {
			this.addresses = Files.readAllLines(file)
				.stream()
				.map((line) -> line.split("=", 2))
				.collect(Collectors.toMap((parts) -> parts[0], (parts) -> URI.create(parts[1])));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private List<String> platformFlags() {
		return List.of("--table-url", this.addresses.get("table").toString(), "--object-url",
				this.addresses.get("object").toString(), "--host-list-url", this.addresses.get("hosts").toString());
	}

	private List<String> daemonFlags(Daemon daemon) {
		List<String> flags = new ArrayList<>(platformFlags());
		flags.addAll(List.of("--host-id", daemon.name, "--data-centre", "dc-1", "--region", "bc-lower", "--admin-port",
				String.valueOf(daemon.adminPort), "--peer-port", String.valueOf(daemon.peerPort)));
		return flags;
	}

	void startEntry(int number) {
		Daemon daemon = this.entries.get(number);
		List<String> flags = daemonFlags(daemon);
		flags.addAll(List.of("--api-port", String.valueOf(daemon.apiPort), "--event-id-key", EVENT_ID_KEY,
				"--balancer-delay", "PT1S"));
		daemon.process = ManagedProcess.start(daemon.name, this.directory, "org.celeryhill.entry.EntryMain", flags);
	}

	void startPlanner(int number) {
		Daemon daemon = this.planners.get(number);
		daemon.process = ManagedProcess.start("planner-of-" + daemon.name, this.directory,
				"org.celeryhill.planner.PlannerMain", daemonFlags(daemon));
	}

	ManagedProcess entry(int number) {
		return this.entries.get(number).process;
	}

	ManagedProcess planner(int number) {
		return this.planners.get(number).process;
	}

	URI admin(int number) {
		return this.entries.get(number).uri(this.entries.get(number).adminPort);
	}

	StandinControl standins() {
		return new StandinControl(this.addresses.get("admin"));
	}

	/**
	 * Proposes a configuration.
	 * @param path the directory with the files
	 */
	void apply(Path path) {
		run("apply", path.toString());
	}

	/**
	 * Runs an operator command and fails the test unless it succeeds.
	 * @param command the command
	 * @param arguments its arguments
	 * @return standard output
	 */
	String run(String command, String... arguments) {
		List<String> line = new ArrayList<>(List.of(command));
		line.addAll(platformFlags());
		line.addAll(List.of(arguments));
		java.io.StringWriter out = new java.io.StringWriter();
		java.io.StringWriter err = new java.io.StringWriter();
		int status = CeleryhillMain.create()
			.setOut(new java.io.PrintWriter(out))
			.setErr(new java.io.PrintWriter(err))
			.execute(line.toArray(String[]::new));
		if (status != 0) {
			throw new IllegalStateException("celeryhill " + command + " exited with " + status + ": " + err);
		}
		return out.toString();
	}

	/**
	 * Returns the callers' addresses of the entry daemons that are ready, as the load
	 * balancer would; all of them if none is ready.
	 * @return the addresses
	 */
	List<URI> readyHosts() {
		List<URI> ready = this.entries.values()
			.stream()
			.filter((entry) -> isOk(entry.uri(entry.adminPort).resolve("/readyz")))
			.map((entry) -> entry.uri(entry.apiPort))
			.toList();
		return ready;
	}

	/**
	 * Returns the callers' addresses of all entry daemons, ready or not.
	 * @return the addresses
	 */
	List<URI> allHosts() {
		return this.entries.values().stream().map((entry) -> entry.uri(entry.apiPort)).toList();
	}

	Caller caller(String key) {
		BalancerView view = new BalancerView(this);
		return new Caller(view::hosts, key);
	}

	private void awaitModels() {
		for (String key : List.of("mill-a", "mill-b")) {
			for (String model : List.of("/furnish@1", "/grade-report@1")) {
				Caller.Answer answer = caller(key + "-key").stream(key + model, "warm up", 1);
				if (!answer.isComplete()) {
					throw new IllegalStateException(key + model + " is not reachable: " + answer + logs());
				}
			}
		}
	}

	String dump(URI admin) {
		try {
			return this.client
				.send(HttpRequest.newBuilder(admin.resolve("/admin/dump")).build(),
						HttpResponse.BodyHandlers.ofString())
				.body();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException(ex);
		}
	}

	private boolean isOk(URI uri) {
		try {
			HttpRequest request = HttpRequest.newBuilder(uri).timeout(Duration.ofSeconds(1)).build();
			return this.client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode() == 200;
		}
		catch (IOException ex) {
			return false;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException(ex);
		}
	}

	/**
	 * Waits for a condition and fails the test if it does not come true.
	 * @param what the condition for the message
	 * @param limit the longest wait
	 * @param condition the condition
	 */
	void await(String what, Duration limit, BooleanSupplier condition) {
		long end = System.nanoTime() + limit.toNanos();
		while (!condition.getAsBoolean()) {
			if (System.nanoTime() > end) {
				throw new IllegalStateException("not within " + limit + ": " + what + logs());
			}
			try {
				Thread.sleep(50);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				throw new IllegalStateException(ex);
			}
		}
	}

	private String logs() {
		StringBuilder text = new StringBuilder();
		List<Daemon> daemons = new ArrayList<>(this.entries.values());
		daemons.addAll(this.planners.values());
		for (Daemon daemon : daemons) {
			if (daemon.process != null) {
				text.append(System.lineSeparator()).append(daemon.name).append(daemon.process.tail());
			}
		}
		return text.toString();
	}

	@Override
	public void close() {
		List<Daemon> daemons = new ArrayList<>(this.planners.values());
		daemons.addAll(this.entries.values());
		for (Daemon daemon : daemons) {
			if (daemon.process != null) {
				daemon.process.close();
			}
		}
		if (this.standins != null) {
			this.standins.close();
		}
	}

	/** A daemon with its ports, which stay the same when it is replaced. */
	private static final class Daemon {

		/** First port of the range that fleets take theirs from. */
		private static final int FIRST_PORT = 12_000;

		/** Number of ports in the range. */
		private static final int PORTS = 8_000;

		/**
		 * Spreads the starts of test processes, whose ids are often close, over the
		 * range.
		 */
		private static final int SPREAD = 211;

		/** The next port to try. */
		private static final AtomicInteger NEXT_PORT = new AtomicInteger(
				(int) (ProcessHandle.current().pid() % PORTS * SPREAD));

		/** Host id. */
		private final String name;

		/** Port of the callers' API. */
		private final int apiPort = freePort();

		/** Port for operators. */
		private final int adminPort = freePort();

		/** Port of the peer protocol. */
		private final int peerPort = freePort();

		/** Running process, null before the first start. */
		private volatile ManagedProcess process;

		private Daemon(String name) {
			this.name = name;
		}

		private URI uri(int port) {
			return URI.create("http://127.0.0.1:" + port);
		}

		// Ports below the range of outgoing connections, from another start in each test
		// process, so that fleets that run at the same time do not pick the same ones.
		private static int freePort() {
			while (true) {
				int port = FIRST_PORT + Math.floorMod(NEXT_PORT.getAndIncrement(), PORTS);
				try (ServerSocket socket = new ServerSocket(port)) {
					return socket.getLocalPort();
				}
				catch (BindException ex) {
					// Another process has the port; the next one is tried.
				}
				catch (IOException ex) {
					throw new UncheckedIOException(ex);
				}
			}
		}

	}

}
