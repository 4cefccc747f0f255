package org.celeryhill.edge;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.celeryhill.platform.FakePlatformService;
import org.celeryhill.platform.FakePlatformStore;
import org.celeryhill.platform.PlatformTables;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import picocli.CommandLine;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of complete edge daemons against stand-ins of the platform.
 */
@Timeout(60)
class EdgeDaemonTests {

	/** The platform's bound for serving again after a loss of power. */
	private static final long RECOVERY_NANOS = TimeUnit.SECONDS.toNanos(15);

	private DaemonFixture fixture;

	private FakePlatformStore store;

	private FakePlatformService service;

	@BeforeEach
	void start() throws Exception {
		this.fixture = new DaemonFixture();
		this.store = this.fixture.store;
		this.service = new FakePlatformService("i-1");
		this.store.put(PlatformTables.BACKEND_SERVERS_TABLE, "i-1", this.service.hostListEntry("s", "ready"));
	}

	@AfterEach
	void stop() {
		this.fixture.close();
		this.service.close();
	}

	private static String ready(EdgeSettings settings) throws IOException {
		return DaemonFixture.ready(settings);
	}

	// Guards against parts of the request path that do not work together, against a
	// daemon that is ready without a configuration, and against an older or invalid
	// configuration that replaces a newer one.
	@Test
	void servesWithNewestConfiguration() throws Exception {
		EdgeSettings settings = this.fixture.settings("h1");
		this.fixture.start(settings);
		assertThat(ready(settings)).startsWith("HTTP/1.1 503");
		this.fixture.storeConfiguration(3, "/p/");
		DaemonFixture.awaitReady(settings);
		assertThat(DaemonFixture.exchange(settings.front, FakePlatformService.request("/p/x", "a1")))
			.startsWith("HTTP/1.1 200")
			.contains("s.i-1")
			.endsWith("ran at i-1");
		this.fixture.storeConfiguration(4, "/q/");
		this.store.put(PlatformTables.OPERATOR_TABLE, PlatformTables.CONFIGURATION, "broken bytes");
		this.fixture.storeConfiguration(2, "/p/");
		Thread.sleep(400);
		assertThat(DaemonFixture.exchange(settings.front, FakePlatformService.request("/p/x", "a2")))
			.startsWith("HTTP/1.1 404");
		assertThat(DaemonFixture.exchange(settings.front, FakePlatformService.request("/q/x", "a3")))
			.startsWith("HTTP/1.1 200");
	}

	// Guards against a host that takes requests before it knows any backend server, and
	// refuses them.
	@Test
	void isNotReadyBeforeBackendServersAreKnown() throws Exception {
		this.store.setRefusedTable(PlatformTables.BACKEND_SERVERS_TABLE);
		this.fixture.storeConfiguration(3, "/p/");
		EdgeSettings settings = this.fixture.settings("h1");
		this.fixture.start(settings);
		long end = System.nanoTime() + 2_000_000_000L;
		while (System.nanoTime() < end) {
			assertThat(ready(settings)).startsWith("HTTP/1.1 503");
			Thread.sleep(50);
		}
		this.store.setRefusedTable("");
		DaemonFixture.awaitReady(settings);
		this.store.setRefusedTable(PlatformTables.BACKEND_SERVERS_TABLE);
		Thread.sleep(1000);
		assertThat(ready(settings)).as("stays ready").startsWith("HTTP/1.1 200");
		assertThat(DaemonFixture.exchange(settings.front, FakePlatformService.request("/p/x", "a1")))
			.startsWith("HTTP/1.1 200");
	}

	// Guards against requests that fail because the store is unavailable.
	@Test
	void servesWhileStoreIsUnavailable() throws Exception {
		this.fixture.storeConfiguration(3, "/p/");
		EdgeSettings settings = this.fixture.settings("h1");
		this.fixture.start(settings);
		DaemonFixture.awaitReady(settings);
		this.store.setFault(FakePlatformStore.Fault.BUSY);
		Thread.sleep(3000);
		assertThat(ready(settings)).startsWith("HTTP/1.1 200");
		assertThat(DaemonFixture.exchange(settings.front, FakePlatformService.request("/p/x", "a1")))
			.startsWith("HTTP/1.1 200");
	}

	// Guards against a host that stays without a configuration because it cannot reach
	// the store, though another host has one.
	@Test
	void receivesConfigurationFromPeer() throws Exception {
		this.fixture.storeConfiguration(3, "/p/");
		EdgeSettings first = this.fixture.settings("h1");
		this.fixture.start(first);
		DaemonFixture.awaitReady(first);
		EdgeSettings second = this.fixture.settings("h2", "--seeds=" + first.peer,
				"--store=" + DaemonFixture.freeAddress());
		this.fixture.start(second);
		DaemonFixture.awaitReady(second);
	}

	// Guards against hosts that need each other, or anything on their disks, to serve
	// again
	// after all of them have lost power at the same moment.
	@Test
	void allHostsServeAgainAfterLossOfPower() throws Exception {
		this.fixture.storeConfiguration(3, "/p/");
		EdgeSettings first = this.fixture.settings("h1");
		EdgeSettings second = this.fixture.settings("h2", "--seeds=" + first.peer,
				"--store=127.0.0.1:" + this.store.address().getPort());
		EdgeDaemon firstDaemon = this.fixture.start(first);
		EdgeDaemon secondDaemon = this.fixture.start(second);
		DaemonFixture.awaitReady(first);
		DaemonFixture.awaitReady(second);
		firstDaemon.close();
		secondDaemon.close();
		EdgeSettings firstAgain = this.fixture.settings("h1");
		EdgeSettings secondAgain = this.fixture.settings("h2", "--seeds=" + firstAgain.peer,
				"--store=127.0.0.1:" + this.store.address().getPort());
		this.fixture.start(firstAgain);
		this.fixture.start(secondAgain);
		assertServesWithinRecoveryTime(firstAgain);
		assertServesWithinRecoveryTime(secondAgain);
	}

	private static void assertServesWithinRecoveryTime(EdgeSettings settings) throws Exception {
		DaemonFixture.awaitReady(settings);
		String response = "";
		long end = System.nanoTime() + RECOVERY_NANOS;
		for (int i = 0; !response.startsWith("HTTP/1.1 200") && System.nanoTime() < end; i++) {
			response = DaemonFixture.exchange(settings.front, FakePlatformService.request("/p/x", "a" + i));
		}
		assertThat(response).startsWith("HTTP/1.1 200");
	}

	// Guards against a graceful stop that aborts running requests or never completes.
	@Test
	void completesRunningRequestsOnStop() throws Exception {
		this.fixture.storeConfiguration(3, "/p/");
		EdgeSettings settings = this.fixture.settings("h1");
		EdgeDaemon daemon = this.fixture.start(settings);
		DaemonFixture.awaitReady(settings);
		this.service.setRequestMillis(1500);
		CountDownLatch stopped = new CountDownLatch(1);
		List<String> answers = new ArrayList<>();
		Thread caller = new Thread(() -> {
			try {
				answers.add(DaemonFixture.exchange(settings.front, FakePlatformService.request("/p/x", "a1")));
			}
			catch (IOException ex) {
				answers.add(ex.toString());
			}
		});
		caller.start();
		Thread.sleep(300);
		daemon.stop(stopped::countDown);
		Thread.sleep(100);
		assertThat(ready(settings)).startsWith("HTTP/1.1 503");
		caller.join();
		assertThat(answers.get(0)).startsWith("HTTP/1.1 200");
		assertThat(stopped.await(6, TimeUnit.SECONDS)).isTrue();
		assertThat(this.service.runCount()).isEqualTo(1);
	}

	// Guards against invalid settings that are accepted, and against a check that ends at
	// the first finding.
	@Test
	void reportsAllInvalidSettings() {
		EdgeSettings settings = new EdgeSettings();
		CommandLine.populateCommand(settings, "--host-id=h", "--data-centre=d", "--region=r", "--front=here",
				"--ready=10.0.0.1:99999", "--peer=10.0.0.1:1", "--store=", "--lease-ms=0", "--retry-ratio=2");
		assertThat(settings.check()).extracting((finding) -> finding.path())
			.containsExactly("--front", "--ready", "--store", "--lease-ms", "--retry-ratio");
	}

}
