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
 * Starts and stops the stand-ins of the platform, the entry daemons and the planner
 * daemons as separate processes on loopback ports.
 */
final class Fleet implements AutoCloseable {

	/** Directory of the configuration that the fleet starts with. */
	static final Path EXAMPLE_CONFIGURATION = Path.of("..", "examples", "demo");

	/** Model weights of the example configuration, with their sizes in bytes. */
	private static final List<String> MODEL_WEIGHTS = List.of("mill-a/furnish@1=17179869184",
			"mill-a/grade-report@1=8589934592", "mill-a/line-1@1=209715200:adapter", "mill-b/furnish@1=17179869184",
			"mill-b/grade-report@1=8589934592", "mill-b/line-1@1=209715200:adapter");

	/** Key with which the entry daemons sign event ids. */
	private static final String EVENT_ID_KEY = "0123456789abcdef0123456789abcdef";

	/** Client of the daemons' admin endpoints. */
	private final HttpClient client = HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(1)).build();

	/** Directory of the process logs and the address file. */
	private final Path logDirectory;

	/** Entry daemons by number. */
	private final Map<Integer, Daemon> entries = new ConcurrentHashMap<>();

	/** Planner daemons by number. */
	private final Map<Integer, Daemon> planners = new ConcurrentHashMap<>();

	/** Process of all stand-ins. */
	private ManagedProcess standinProcess;

	/** Base addresses of the stand-ins by name. */
	private Map<String, URI> standinAddresses;

	private Fleet(Path logDirectory) {
		this.logDirectory = logDirectory;
	}

	/**
	 * Starts a fleet, applies the example configuration and waits until its base models
	 * are reachable.
	 * @param logDirectory the directory for the process logs
	 * @param entries the number of entry daemons
	 * @param planners the number of planner daemons
	 * @param standinFlags additional command-line flags of the stand-ins
	 * @return the running fleet
	 * @throws IllegalStateException if the fleet is not ready in time
	 */
	static Fleet start(Path logDirectory, int entries, int planners, String... standinFlags) {
		Fleet fleet = new Fleet(logDirectory);
		try {
			for (int i = 1; i <= entries; i++) {
				fleet.entries.put(i, new Daemon("entry-" + i));
			}
			for (int i = 1; i <= planners; i++) {
				fleet.planners.put(i, new Daemon("planner-" + i));
			}
			fleet.startStandins(standinFlags);
			fleet.applyConfiguration(EXAMPLE_CONFIGURATION);
			fleet.entries.keySet().forEach(fleet::startEntry);
			fleet.planners.keySet().forEach(fleet::startPlanner);
			fleet.await("all entry daemons ready", Duration.ofSeconds(30),
					() -> fleet.readyHosts().size() == fleet.entries.size());
			fleet.awaitModelsReachable();
			return fleet;
		}
		catch (RuntimeException ex) {
			fleet.close();
			throw ex;
		}
	}

	private void startStandins(String... flags) {
		Path addressesFile = this.logDirectory.resolve("addresses");
		List<String> arguments = new ArrayList<>(
				List.of("--engines", "4", "--plain-servers", "3", "--addresses-file", addressesFile.toString()));
		MODEL_WEIGHTS.forEach((weight) -> arguments.addAll(List.of("--weight", weight)));
		this.entries.values()
			.forEach((entry) -> arguments
				.addAll(List.of("--entry-host", entry.name + "=http://127.0.0.1:" + entry.peerPort)));
		arguments.addAll(List.of(flags));
		this.standinProcess = ManagedProcess.start("standins", this.logDirectory, "org.celeryhill.standin.StandinMain",
				arguments);
		await("stand-ins started", Duration.ofSeconds(30), () -> Files.exists(addressesFile));
		try {
			this.standinAddresses = Files.readAllLines(addressesFile)
				.stream()
				.map((line) -> line.split("=", 2))
				.collect(Collectors.toMap((parts) -> parts[0], (parts) -> URI.create(parts[1])));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private List<String> platformFlags() {
		return List.of("--table-url", this.standinAddresses.get("table").toString(), "--object-url",
				this.standinAddresses.get("object").toString(), "--host-list-url",
				this.standinAddresses.get("hosts").toString());
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
		daemon.process = ManagedProcess.start(daemon.name, this.logDirectory, "org.celeryhill.entry.EntryMain", flags);
	}

	void startPlanner(int number) {
		Daemon daemon = this.planners.get(number);
		daemon.process = ManagedProcess.start("planner-of-" + daemon.name, this.logDirectory,
				"org.celeryhill.planner.PlannerMain", daemonFlags(daemon));
	}

	ManagedProcess entryProcess(int number) {
		return this.entries.get(number).process;
	}

	ManagedProcess plannerProcess(int number) {
		return this.planners.get(number).process;
	}

	URI admin(int number) {
		return this.entries.get(number).loopbackUri(this.entries.get(number).adminPort);
	}

	StandinAdminClient standinClient() {
		return new StandinAdminClient(this.standinAddresses.get("admin"));
	}

	/**
	 * Proposes a configuration with the operator command {@code apply}.
	 * @param path the directory with the configuration files
	 */
	void applyConfiguration(Path path) {
		runOperatorCommand("apply", path.toString());
	}

	/**
	 * Runs an operator command in this process.
	 * @param command the subcommand
	 * @param arguments the arguments after the addresses of the platform
	 * @return the standard output of the command
	 * @throws IllegalStateException if the exit status is not 0
	 */
	String runOperatorCommand(String command, String... arguments) {
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
	 * Returns the API addresses of the entry daemons that are ready.
	 * @return the addresses, empty if no daemon is ready
	 */
	List<URI> readyHosts() {
		List<URI> ready = this.entries.values()
			.stream()
			.filter((entry) -> respondsWithOk(entry.loopbackUri(entry.adminPort).resolve("/readyz")))
			.map((entry) -> entry.loopbackUri(entry.apiPort))
			.toList();
		return ready;
	}

	/**
	 * Returns the API addresses of all entry daemons, ready or not.
	 * @return the addresses
	 */
	List<URI> allHosts() {
		return this.entries.values().stream().map((entry) -> entry.loopbackUri(entry.apiPort)).toList();
	}

	Caller newCaller(String key) {
		LoadBalancerView loadBalancer = new LoadBalancerView(this);
		return new Caller(loadBalancer::hosts, key);
	}

	private void awaitModelsReachable() {
		for (String key : List.of("mill-a", "mill-b")) {
			for (String model : List.of("/furnish@1", "/grade-report@1")) {
				Caller.StreamResult result = newCaller(key + "-key").stream(key + model, "warm up", 1);
				if (!result.isComplete()) {
					throw new IllegalStateException(key + model + " is not reachable: " + result + logs());
				}
			}
		}
	}

	String fetchStateDump(URI admin) {
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

	private boolean respondsWithOk(URI uri) {
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
	 * Polls a condition until it is true.
	 * @param description the description of the condition for the failure message
	 * @param limit the maximum time to wait
	 * @param condition the condition to poll
	 * @throws IllegalStateException if the condition is not true within the limit
	 */
	void await(String description, Duration limit, BooleanSupplier condition) {
		long deadlineNanos = System.nanoTime() + limit.toNanos();
		while (!condition.getAsBoolean()) {
			if (System.nanoTime() > deadlineNanos) {
				throw new IllegalStateException("condition not met within " + limit + ": " + description + logs());
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
				text.append(System.lineSeparator()).append(daemon.name).append(daemon.process.readLogTail());
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
		if (this.standinProcess != null) {
			this.standinProcess.close();
		}
	}

	/** An entry or planner daemon. Its ports stay the same when it is restarted. */
	private static final class Daemon {

		/** First port of the range from which ports are allocated. */
		private static final int FIRST_PORT = 12_000;

		/** Number of ports in the range. */
		private static final int PORT_COUNT = 8_000;

		/**
		 * Distance between the first ports of test processes with consecutive process
		 * ids, so that they start in different parts of the range.
		 */
		private static final int PORT_STRIDE = 211;

		/** Offset of the next port to try, modulo the size of the range. */
		private static final AtomicInteger NEXT_PORT_OFFSET = new AtomicInteger(
				(int) (ProcessHandle.current().pid() % PORT_COUNT * PORT_STRIDE));

		/** Host id, also the name of the process in the logs. */
		private final String name;

		/** Port of the public API; unused by planners. */
		private final int apiPort = findFreePort();

		/** Port of the admin endpoint. */
		private final int adminPort = findFreePort();

		/** Port of the peer protocol. */
		private final int peerPort = findFreePort();

		/** Latest process, null before the first start. */
		private volatile ManagedProcess process;

		private Daemon(String name) {
			this.name = name;
		}

		private URI loopbackUri(int port) {
			return URI.create("http://127.0.0.1:" + port);
		}

		// The range lies below the ephemeral ports, and each test process starts at a
		// different offset so that concurrent fleets rarely try the same port.
		private static int findFreePort() {
			while (true) {
				int port = FIRST_PORT + Math.floorMod(NEXT_PORT_OFFSET.getAndIncrement(), PORT_COUNT);
				try (ServerSocket socket = new ServerSocket(port)) {
					return socket.getLocalPort();
				}
				catch (BindException ex) {
					// The port is in use; try the next one.
				}
				catch (IOException ex) {
					throw new UncheckedIOException(ex);
				}
			}
		}

	}

}
