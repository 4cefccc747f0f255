package org.celeryhill.edge;

import java.io.File;
import java.io.IOException;
import java.net.ConnectException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;

import org.celeryhill.platform.FakePlatformService;
import org.celeryhill.platform.PlatformTables;

/**
 * Measures what processes of the edge daemon cost: their start, their first request, idle
 * time and time with requests, by group of threads. Runs on Linux only. Arguments: number
 * of hosts, idle seconds, requests a second, seconds with requests, additional options of
 * the virtual machine.
 */
public final class ProcessCost {

	private static final String MAIN_CLASS = "org.celeryhill.edge.EdgeMain";

	/** Clock ticks of the processor times in /proc. */
	private static final int MILLIS_PER_TICK = 10;

	private static final int SERVERS = 8;

	private static final long START_TIMEOUT_NANOS = 20_000_000_000L;

	private final List<Process> processes = new ArrayList<>();

	private final List<EdgeSettings> hosts = new ArrayList<>();

	private final DaemonFixture fixture;

	private ProcessCost(DaemonFixture fixture) {
		this.fixture = fixture;
	}

	/**
	 * Starts the processes, prints a line for each phase and ends the processes.
	 * @param arguments see the description of the class
	 * @throws Exception if a process does not become ready or does not respond
	 */
	public static void main(String[] arguments) throws Exception {
		int hosts = Integer.parseInt(arguments[0]);
		int idleSeconds = Integer.parseInt(arguments[1]);
		int rate = Integer.parseInt(arguments[2]);
		int busySeconds = Integer.parseInt(arguments[3]);
		List<String> options = List.of(arguments).subList(4, arguments.length);
		try (DaemonFixture fixture = new DaemonFixture()) {
			List<FakePlatformService> services = new ArrayList<>();
			fixture.storeConfiguration(3, "/p/");
			for (int i = 0; i < SERVERS; i++) {
				FakePlatformService service = new FakePlatformService("i-" + i);
				services.add(service);
				fixture.store.put(PlatformTables.BACKEND_SERVERS_TABLE, "i-" + i, service.hostListEntry("s", "ready"));
			}
			ProcessCost cost = new ProcessCost(fixture);
			try {
				cost.run(hosts, idleSeconds, rate, busySeconds, options);
			}
			finally {
				cost.processes.forEach(Process::destroyForcibly);
				services.forEach(FakePlatformService::close);
			}
		}
		System.exit(0);
	}

	private void run(int count, int idleSeconds, int rate, int busySeconds, List<String> options) throws Exception {
		for (int i = 0; i < count; i++) {
			start(options);
		}
		for (EdgeSettings host : this.hosts) {
			awaitListening(host);
			DaemonFixture.awaitReady(host);
		}
		System.out.println("phase\tseconds\tms_of_a_process\tby_threads");
		Map<String, Long> previous = report("start to ready", 1, new TreeMap<>());
		for (EdgeSettings host : this.hosts) {
			send(host, "first");
		}
		previous = report("first request", 1, previous);
		Thread.sleep(5000);
		previous = report("idle, first 5 s", 5, previous);
		Thread.sleep(1000L * idleSeconds);
		previous = report("idle", idleSeconds, previous);
		for (int i = 0; i < rate * busySeconds; i++) {
			send(this.hosts.get(i % count), "r" + i);
			Thread.sleep(Math.max(0, 1000 / rate - 2));
		}
		report(rate + " requests a second over all hosts", busySeconds, previous);
		long residentKilobytes = 0;
		for (Process process : this.processes) {
			residentKilobytes += residentKilobytes(process.pid());
		}
		System.out.printf(Locale.ROOT, "resident memory of a process: %.1f MB%n", residentKilobytes / 1024.0 / count);
	}

	private static void awaitListening(EdgeSettings host) throws Exception {
		long end = System.nanoTime() + START_TIMEOUT_NANOS;
		while (true) {
			try {
				DaemonFixture.ready(host);
				return;
			}
			catch (ConnectException ex) {
				if (System.nanoTime() > end) {
					throw ex;
				}
				Thread.sleep(20);
			}
		}
	}

	private void start(List<String> options) throws IOException {
		List<String> seeds = new ArrayList<>();
		this.hosts.forEach((host) -> seeds.add(host.peer));
		String store = "--store=127.0.0.1:" + this.fixture.store.address().getPort();
		String host = "h" + this.hosts.size();
		EdgeSettings settings = this.fixture.settings(host, store, "--seeds=" + String.join(",", seeds));
		this.hosts.add(settings);
		List<String> command = new ArrayList<>(List.of("java", "-Xmx160m", "-XX:+UseSerialGC",
				"-XX:TieredStopAtLevel=1", "-XX:-UsePerfData", "-Xshare:auto",
				"-XX:SharedArchiveFile=edge/target/edge.jsa", "-Xss512k", "-Dio.netty.jfr.enabled=false"));
		command.addAll(options);
		command.addAll(List.of("-cp", "edge/target/lib/*:edge/target/celeryhill-edge-0.1.0-SNAPSHOT.jar", MAIN_CLASS,
				"--host-id=" + host, "--data-centre=here", "--region=r", "--front=" + settings.front,
				"--ready=" + settings.ready, "--peer=" + settings.peer, store, "--seeds=" + String.join(",", seeds),
				"--metrics-port=" + settings.metricsAddress().getPort()));
		File log = File.createTempFile("edge-" + host + "-", ".log");
		log.deleteOnExit();
		this.processes.add(new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(log).start());
	}

	private static void send(EdgeSettings host, String id) throws IOException {
		DaemonFixture.exchange(host.front, FakePlatformService.request("/p/x", id));
	}

	// Prints the processor time of a phase, and returns the times so far by threads.
	private Map<String, Long> report(String phase, int seconds, Map<String, Long> previous) throws IOException {
		Map<String, Long> times = new TreeMap<>();
		for (Process process : this.processes) {
			addThreadMillis(process.pid(), times);
		}
		long all = 0;
		List<String> parts = new ArrayList<>();
		for (Map.Entry<String, Long> entry : times.entrySet()) {
			long millis = entry.getValue() - previous.getOrDefault(entry.getKey(), 0L);
			all += millis;
			if (millis > 0) {
				parts.add(
						String.format(Locale.ROOT, "%s %.1f", entry.getKey(), (double) millis / this.processes.size()));
			}
		}
		System.out.printf(Locale.ROOT, "%s\t%d\t%.1f\t%s%n", phase, seconds, (double) all / this.processes.size(),
				String.join(", ", parts));
		return times;
	}

	private static void addThreadMillis(long pid, Map<String, Long> times) throws IOException {
		try (Stream<Path> tasks = Files.list(Path.of("/proc", Long.toString(pid), "task"))) {
			for (Path task : tasks.toList()) {
				String stat = Files.readString(task.resolve("stat"));
				int end = stat.lastIndexOf(')');
				String name = stat.substring(stat.indexOf('(') + 1, end).replaceAll("[-#0-9 ]+", "");
				String[] fields = stat.substring(end + 2).split(" ");
				long ticks = Long.parseLong(fields[11]) + Long.parseLong(fields[12]);
				times.merge(name, ticks * MILLIS_PER_TICK, Long::sum);
			}
		}
	}

	private static long residentKilobytes(long pid) throws IOException {
		return Files.readAllLines(Path.of("/proc", Long.toString(pid), "status"))
			.stream()
			.filter((line) -> line.startsWith("VmRSS"))
			.mapToLong((line) -> Long.parseLong(line.replaceAll("[^0-9]", "")))
			.sum();
	}

}
