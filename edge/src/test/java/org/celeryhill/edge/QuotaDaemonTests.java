package org.celeryhill.edge;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import org.celeryhill.platform.FakePlatformService;
import org.celeryhill.platform.PlatformTables;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import picocli.CommandLine;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of quotas over complete edge daemons.
 */
@Timeout(90)
class QuotaDaemonTests {

	private static final int RATE = 20;

	private static final int WINDOW_SECONDS = 2;

	private static final int SLACK = 4;

	/** (rate * window + burst) * (1 + overage) + slack. */
	private static final double MAX_PER_WINDOW = (RATE * WINDOW_SECONDS + RATE) * 1.1 + SLACK;

	private final ConcurrentLinkedQueue<Long> admissions = new ConcurrentLinkedQueue<>();

	private final AtomicBoolean isSending = new AtomicBoolean(true);

	private final ExecutorService callers = Executors.newCachedThreadPool();

	private DaemonFixture fixture;

	private FakePlatformService service;

	@BeforeEach
	void start() throws Exception {
		this.fixture = new DaemonFixture();
		this.service = new FakePlatformService("i-1");
		this.fixture.store.put(PlatformTables.BACKEND_SERVERS_TABLE, "i-1", this.service.hostListEntry("s", "ready"));
		String configuration = FakePlatformService.configuration(3, "s", "/p/");
		String organisations = (",\"tenants\":[{\"name\":\"mill\",\"api_keys\":[\"key\"],\"unit\":\"requests\","
				+ "\"rate_per_s\":" + RATE + ",\"burst\":" + RATE + "}]}");
		this.fixture.store.put(PlatformTables.OPERATOR_TABLE, PlatformTables.CONFIGURATION,
				configuration.substring(0, configuration.length() - 1) + organisations);
	}

	@AfterEach
	void stop() throws Exception {
		this.isSending.set(false);
		this.callers.shutdown();
		this.callers.awaitTermination(10, TimeUnit.SECONDS);
		this.fixture.close();
		this.service.close();
	}

	private EdgeSettings settings(String host, String seeds) throws IOException {
		return this.fixture.settings(host, "--seeds=" + seeds, "--quota-window-s=" + WINDOW_SECONDS,
				"--quota-overage=0.1", "--quota-slack=" + SLACK,
				"--store=127.0.0.1:" + this.fixture.store.address().getPort());
	}

	// Sends requests to a host until the test ends, about as many as the whole limit.
	private void send(EdgeSettings host) {
		this.callers.execute(() -> {
			try {
				for (int i = 0; this.isSending.get(); i++) {
					sendOne(host, i);
					Thread.sleep(1000 / RATE);
				}
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		});
	}

	private void sendOne(EdgeSettings host, int number) {
		String request = FakePlatformService.request("/p/x", host.hostId + "-" + number)
			.replace("X-Deadline-Ms", "X-Api-Key: key\r\nX-Deadline-Ms");
		try {
			if (DaemonFixture.exchange(host.front, request).startsWith("HTTP/1.1 200")) {
				this.admissions.add(System.nanoTime());
			}
		}
		catch (IOException ex) {
			// The host has been stopped.
		}
	}

	private static boolean isHolder(EdgeSettings host) throws IOException {
		String address = "127.0.0.1:" + host.metricsPort;
		return DaemonFixture.exchange(address, "GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
			.contains("celeryhill_lease_held 1.0");
	}

	private long admittedBetween(long start, long end) {
		return this.admissions.stream().filter((time) -> time >= start && time < end).count();
	}

	// Guards against an organisation at its limit that gets more than its bound, or
	// nothing, while the holder of the quotas is killed and replaced.
	@Test
	void keepsLimitWhenHolderIsKilled() throws Exception {
		EdgeSettings first = settings("h1", "");
		List<EdgeSettings> hosts = new ArrayList<>(
				List.of(first, settings("h2", first.peer), settings("h3", first.peer)));
		List<EdgeDaemon> daemons = new ArrayList<>();
		for (EdgeSettings host : hosts) {
			daemons.add(this.fixture.start(host));
			DaemonFixture.awaitReady(host);
		}
		hosts.forEach(this::send);
		Thread.sleep(5000);
		int holder = -1;
		for (int i = 0; i < hosts.size(); i++) {
			holder = isHolder(hosts.get(i)) ? i : holder;
		}
		assertThat(holder).as("host that holds the lease").isNotNegative();
		long killed = System.nanoTime();
		daemons.get(holder).close();
		Thread.sleep(7000);
		long end = System.nanoTime();
		for (long time : this.admissions) {
			assertThat(admittedBetween(time, time + WINDOW_SECONDS * 1_000_000_000L)).as("admitted in a window")
				.isLessThanOrEqualTo((long) MAX_PER_WINDOW);
		}
		assertThat(admittedBetween(killed, end)).as("admitted after the holder was killed")
			.isGreaterThanOrEqualTo((long) (0.5 * RATE * (end - killed) / 1e9));
	}

	// Guards against a deployment without quotas, whose settings have empty values, that
	// does not start, and against values that are not numbers.
	@Test
	void acceptsEmptyTolerances() throws Exception {
		EdgeSettings settings = this.fixture.settings("h1", "--store=127.0.0.1:1", "--quota-window-s=",
				"--quota-overage=", "--quota-slack=");
		assertThat(settings.quotaBound().window()).isZero();
		CommandLine.populateCommand(settings, "--host-id=h", "--data-centre=d", "--region=r",
				"--front=" + settings.front, "--ready=" + settings.ready, "--peer=" + settings.peer,
				"--store=" + settings.store, "--quota-window-s=x", "--quota-overage=-1", "--quota-slack=Infinity");
		assertThat(settings.check()).extracting((finding) -> finding.path())
			.containsExactly("--quota-window-s", "--quota-overage", "--quota-slack");
	}

}
