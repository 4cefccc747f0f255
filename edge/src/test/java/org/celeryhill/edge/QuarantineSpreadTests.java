package org.celeryhill.edge;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.celeryhill.platform.FakePlatformService;
import org.celeryhill.platform.FakePlatformStore;
import org.celeryhill.platform.PlatformTables;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of edge daemons that tell each other which prompt parts end backend servers.
 */
@Timeout(60)
class QuarantineSpreadTests {

	/** The platform's bound for what one host has learned to reach the others. */
	private static final long SPREAD_NANOS = TimeUnit.SECONDS.toNanos(3);

	private static final int SERVERS = 8;

	private static final String DEADLY_PART = "dead";

	private final List<FakePlatformService> services = new ArrayList<>();

	private final List<EdgeSettings> hosts = new ArrayList<>();

	private final List<EdgeDaemon> daemons = new ArrayList<>();

	private DaemonFixture fixture;

	private int requestCount;

	@BeforeEach
	void start() throws Exception {
		this.fixture = new DaemonFixture();
		this.fixture.storeConfiguration(3, "/p/");
		for (int i = 0; i < SERVERS; i++) {
			FakePlatformService service = new FakePlatformService("i-" + i);
			service.setDeadlyPart(DEADLY_PART);
			this.services.add(service);
			this.fixture.store.put(PlatformTables.BACKEND_SERVERS_TABLE, "i-" + i, service.hostListEntry("s", "ready"));
		}
		EdgeSettings first = this.fixture.settings("h0");
		EdgeSettings second = this.fixture.settings("h1", seeds(first));
		this.hosts.addAll(List.of(first, second, this.fixture.settings("h2", seeds(first, second))));
		for (EdgeSettings host : this.hosts) {
			this.daemons.add(this.fixture.start(host));
			DaemonFixture.awaitReady(host);
		}
		// The hosts find the lease holder and read the table of backend servers.
		Thread.sleep(1500);
	}

	private String[] seeds(EdgeSettings... seeds) {
		List<String> addresses = new ArrayList<>();
		for (EdgeSettings seed : seeds) {
			addresses.add(seed.peer);
		}
		return new String[] { "--store=127.0.0.1:" + this.fixture.store.address().getPort(),
				"--seeds=" + String.join(",", addresses) };
	}

	@AfterEach
	void stop() {
		this.fixture.close();
		this.services.forEach(FakePlatformService::close);
	}

	private String send(int host, String parts) throws IOException {
		String ownPart = Integer.toHexString(0xf000 + this.requestCount);
		return sendWhole(host, parts + ":10," + ownPart + ":5");
	}

	private String sendWhole(int host, String prompt) throws IOException {
		String id = "a" + this.requestCount++;
		return DaemonFixture.exchange(this.hosts.get(host).front, FakePlatformService.request("/p/x", id, prompt));
	}

	private void sendDeadlyRequests(int host) throws Exception {
		for (int i = 0; i < 3; i++) {
			assertThat(send(host, "a1:10," + DEADLY_PART)).startsWith("HTTP/1.1 502");
			Thread.sleep(150);
		}
	}

	private void assertPartIsRefused(int host) throws Exception {
		awaitQuarantine(host);
		assertThat(send(host, "b2:10," + DEADLY_PART)).startsWith("HTTP/1.1 503");
		assertThat(send(host, "a1")).startsWith("HTTP/1.1 200");
	}

	private void awaitQuarantine(int host) throws Exception {
		long end = System.nanoTime() + SPREAD_NANOS;
		while (quarantinedParts(host) == 0 && System.nanoTime() < end) {
			Thread.sleep(50);
		}
		assertThat(quarantinedParts(host)).isEqualTo(1);
	}

	private int quarantinedParts(int host) throws IOException {
		String address = "127.0.0.1:" + this.hosts.get(host).metricsAddress().getPort();
		String text = DaemonFixture.exchange(address, "GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
		String name = "\nceleryhill_prompt_parts_quarantined ";
		int index = text.indexOf(name);
		return (index < 0) ? 0 : (int) Double.parseDouble(text.substring(index + name.length()).split("\n", 2)[0]);
	}

	// Guards against hosts that each need crashes of their own before they keep a part
	// that ends backend servers from them.
	@Test
	void partKnownToOneHostIsRefusedByAll() throws Exception {
		sendDeadlyRequests(1);
		assertPartIsRefused(2);
		assertPartIsRefused(0);
	}

	// Guards against a request that ends servers and comes again at other hosts, whose
	// prompt has no part that only such requests have.
	@Test
	void wholeRequestKnownToOneHostIsRefusedByAll() throws Exception {
		for (int i = 0; i < 3; i++) {
			assertThat(sendWhole(i, "a1:10,c1:10," + DEADLY_PART + ":5")).startsWith("HTTP/1.1 502");
			Thread.sleep(150);
			assertThat(sendWhole(i, "a1:10,c1:10,f" + i + ":5")).startsWith("HTTP/1.1 200");
		}
		for (int i = 0; i < 3; i++) {
			awaitQuarantine(i);
			assertThat(sendWhole(i, "a1:10,c1:10," + DEADLY_PART + ":5")).startsWith("HTTP/1.1 503");
			assertThat(sendWhole(i, "a1:10,c1:10,e" + i + ":5")).startsWith("HTTP/1.1 200");
		}
	}

	// Guards against crashes at different hosts that are not counted together.
	@Test
	void crashesAtDifferentHostsCountTogether() throws Exception {
		for (int i = 0; i < 3; i++) {
			assertThat(send(i, "a1:10," + DEADLY_PART)).startsWith("HTTP/1.1 502");
			Thread.sleep(150);
		}
		for (int i = 0; i < 3; i++) {
			assertPartIsRefused(i);
		}
	}

	// Guards against a part that reaches backend servers through other hosts while the
	// store is busy, so that no host can hold the lease.
	@Test
	void spreadsWhileStoreIsBusy() throws Exception {
		this.fixture.store.setFault(FakePlatformStore.Fault.BUSY);
		Thread.sleep(3000);
		sendDeadlyRequests(1);
		assertPartIsRefused(2);
		assertPartIsRefused(0);
	}

	// Guards against hosts that learn from each other through the lease holder only,
	// which
	// is gone while the store responds to nobody.
	@Test
	void spreadsWithoutStoreAndLeaseHolder() throws Exception {
		this.fixture.store.setFault(FakePlatformStore.Fault.SILENT);
		this.daemons.get(0).close();
		Thread.sleep(3000);
		sendDeadlyRequests(1);
		assertPartIsRefused(2);
	}

	// Guards against a host that sends a part to backend servers again after its restart.
	@Test
	void restartedHostLearnsPart() throws Exception {
		sendDeadlyRequests(1);
		assertPartIsRefused(2);
		this.daemons.get(1).close();
		EdgeSettings again = this.fixture.settings("h1", seeds(this.hosts.get(0)));
		this.hosts.set(1, again);
		this.fixture.start(again);
		DaemonFixture.awaitReady(again);
		assertPartIsRefused(1);
	}

}
