package review2;

import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** One machine with the program of the deploy file, restarted when it ends. */
final class Daemon {

	private static final int METRICS_PORT = 9464;

	final String name;

	final String front;

	final String ready;

	final String control;

	private final Record record;

	private final Path folder;

	private final String zone;

	private final List<String> run;

	private Map<String, String> settings;

	private Process process;

	private boolean isWanted;

	Daemon(Record record, Path folder, int number, String zone) throws IOException {
		this.record = record;
		this.folder = folder;
		this.name = "edge-" + zone + "-" + number;
		this.zone = zone;
		String ip = freeIp(number);
		this.front = ip + ":" + freePort(ip);
		this.ready = ip + ":" + freePort(ip);
		this.control = ip + ":" + freePort(ip);
		this.run = runLine();
	}

	// The metrics port is the same on all machines, so that each has a loopback address of
	// its own.
	private static String freeIp(int number) throws IOException {
		for (int net = 20; net < 120; net++) {
			String ip = "127.0." + net + "." + number;
			try (ServerSocket socket = new ServerSocket(METRICS_PORT, 1, InetAddress.getByName(ip))) {
				return ip;
			}
			catch (IOException ex) {
				continue;
			}
		}
		throw new IOException("no free loopback address");
	}

	private static int freePort(String ip) throws IOException {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
			return socket.getLocalPort();
		}
	}

	private static List<String> runLine() throws IOException {
		for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
			if (line.startsWith("run = ")) {
				return List.of(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" "));
			}
		}
		throw new IOException("no run line in the deploy file");
	}

	/** Starts the process, and again whenever it ends, until {@link #end()}. */
	synchronized void start(String store, String seeds) throws IOException {
		this.settings = Map.ofEntries(Map.entry("node_name", this.name), Map.entry("zone", this.zone),
				Map.entry("region", "mu-island"), Map.entry("listen.front", this.front),
				Map.entry("listen.ready", this.ready), Map.entry("listen.control", this.control),
				Map.entry("seed_nodes", seeds), Map.entry("platform.address", store),
				Map.entry("bounds.lease_ms", "3000"), Map.entry("bounds.grace_s", "8"),
				Map.entry("bounds.ceiling_window_s", "5"), Map.entry("bounds.retry_budget_ratio", "0.2"),
				Map.entry("bounds.retry_slack", "54"));
		this.isWanted = true;
		launch();
	}

	private synchronized void launch() throws IOException {
		if (!this.isWanted) {
			return;
		}
		String text = Files.readString(Path.of("deploy/edge.settings"));
		for (Map.Entry<String, String> one : this.settings.entrySet()) {
			text = text.replace("{{" + one.getKey() + "}}", one.getValue());
		}
		text = text.replaceAll("\\{\\{[^}]*\\}\\}", "");
		Path file = this.folder.resolve(this.name + ".settings");
		Files.writeString(file, text);
		ProcessBuilder builder = new ProcessBuilder(new ArrayList<>(this.run));
		builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
		builder.environment().put("CELERYHILL_SETTINGS", file.toString());
		builder.redirectErrorStream(true);
		builder.redirectOutput(ProcessBuilder.Redirect.appendTo(new File(this.folder.toFile(), this.name + ".log")));
		this.process = builder.start();
		this.record.log("DAEMON %s started, pid %d", this.name, this.process.pid());
		Process started = this.process;
		started.onExit().thenRun(() -> {
			this.record.log("DAEMON %s ended with %d", this.name, started.exitValue());
			try {
				Thread.sleep(500);
				launch();
			}
			catch (IOException | InterruptedException ex) {
				this.record.log("DAEMON %s not started again: %s", this.name, ex);
			}
		});
	}

	/** Sends SIGTERM. */
	synchronized void terminate() {
		this.record.log("DAEMON %s gets SIGTERM", this.name);
		this.process.destroy();
	}

	/** Sends a signal by its name. */
	synchronized void signal(String signal) throws IOException {
		this.record.log("DAEMON %s gets SIG%s", this.name, signal);
		new ProcessBuilder("kill", "-" + signal, Long.toString(this.process.pid())).start();
	}

	/** Kills the process for good. */
	synchronized void kill() {
		this.isWanted = false;
		if (this.process != null) {
			this.process.destroyForcibly();
		}
	}

	/** Ends the process for good and waits for its end. */
	void end() throws InterruptedException {
		kill();
		Process last = this.process;
		if (last != null) {
			last.waitFor(5, TimeUnit.SECONDS);
		}
	}

}
