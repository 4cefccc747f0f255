package org.celeryhill.edge;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.celeryhill.base.BackendServerId;
import org.celeryhill.base.DataCentre;
import org.celeryhill.base.HostId;
import org.celeryhill.forward.BackendClient;
import org.celeryhill.forward.Forwarder;
import org.celeryhill.platform.FakePlatformService;
import org.celeryhill.platform.FakePlatformStore;
import org.celeryhill.platform.PlatformHeaderCodec;
import org.celeryhill.platform.PlatformTables;
import org.celeryhill.platform.StoreClient;
import org.celeryhill.traffic.DefaultTrafficController;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of hosts that receive the rows of the store from the holder of the lease.
 */
@Timeout(30)
class StoreFollowerTests {

	private ControlFixture fixture;

	private FakePlatformService service;

	private Host holder;

	private Host other;

	@BeforeEach
	void start() throws Exception {
		this.fixture = new ControlFixture();
		this.service = new FakePlatformService("i-1");
		this.fixture.store.put(PlatformTables.BACKEND_SERVERS_TABLE, "i-1", this.service.hostListEntry("s", "ready"));
		this.holder = new Host();
		this.other = new Host();
	}

	@AfterEach
	void stop() {
		this.service.close();
		this.fixture.close();
	}

	private void exchangeHeartbeat() {
		long sent = System.nanoTime();
		this.holder.follower.encodeChangesAfter(this.other.follower.serverVersion())
			.ifPresent((node) -> this.other.follower.applyHolderRows((ObjectNode) node.deepCopy(), sent));
	}

	private void tickBoth() {
		this.holder.follower.tick(true);
		this.other.follower.tick(false);
	}

	// Guards against calls to the store that grow with the number of hosts, and against
	// hosts that miss rows known to the holder.
	@Test
	void receivesRowsFromHolderWithoutPollingStore() throws Exception {
		this.fixture.runUntil("holder knows the engine", () -> this.holder.follower.tick(true),
				() -> this.holder.knows("i-1"));
		this.fixture.runUntil("other host knows it too", this::exchangeHeartbeat, () -> this.other.knows("i-1"));
		this.fixture.store.put(PlatformTables.BACKEND_SERVERS_TABLE, "i-2", this.service.hostListEntry("s", "ready"));
		int calls = this.fixture.store.callCount();
		this.fixture.runUntil("other host learns of a change", () -> {
			this.holder.follower.tick(true);
			exchangeHeartbeat();
			this.other.follower.tick(false);
		}, () -> this.other.knows("i-2"));
		this.fixture.store.remove(PlatformTables.BACKEND_SERVERS_TABLE, "i-1");
		this.fixture.runUntil("other host learns of a removal", () -> {
			tickBoth();
			exchangeHeartbeat();
		}, () -> !this.other.knows("i-1"));
		assertThat(this.fixture.store.callCount() - calls).isLessThan(12);
	}

	// Guards against a host that misses changes because the holder has failed or is
	// partitioned from the store.
	@Test
	void pollsStoreWhenHolderIsSilent() throws Exception {
		this.fixture.runUntil("holder knows the engine", () -> this.holder.follower.tick(true),
				() -> this.holder.knows("i-1"));
		this.fixture.runUntil("other host knows it too", this::exchangeHeartbeat, () -> this.other.knows("i-1"));
		this.fixture.store.put(PlatformTables.BACKEND_SERVERS_TABLE, "i-2", this.service.hostListEntry("s", "ready"));
		long since = System.nanoTime();
		this.fixture.runUntil("other host polls the store itself", () -> this.other.follower.tick(false),
				() -> this.other.knows("i-2"));
		assertThat(System.nanoTime() - since).isLessThan(2_000_000_000L);
	}

	// Guards against requests to an engine that has left, when the holder loses the store
	// for a moment and reads the removal of the entry through another host.
	@Test
	void removesEntryAtOnceAfterShortLossOfStore() throws Exception {
		this.fixture.runUntil("holder knows the engine", () -> this.holder.follower.tick(true),
				() -> this.holder.knows("i-1"));
		this.fixture.store.setFault(FakePlatformStore.Fault.BUSY);
		this.fixture.runUntil("holder loses the store", () -> this.holder.follower.tick(true),
				() -> this.holder.follower.isOperatorTableLost());
		this.fixture.store.remove(PlatformTables.BACKEND_SERVERS_TABLE, "i-1");
		this.fixture.store.setFault(FakePlatformStore.Fault.NONE);
		long since = System.nanoTime();
		this.fixture.runUntil("holder learns of the removal", () -> this.holder.follower.tick(true),
				() -> !this.holder.knows("i-1"));
		assertThat(System.nanoTime() - since).isLessThan(1_500_000_000L);
	}

	// Guards against a host that never applies a configuration that it was told of, as it
	// does not poll the store while the holder passes on rows.
	@Test
	void readsAnnouncedConfigurationFromStore() throws Exception {
		this.fixture.store.put(PlatformTables.OPERATOR_TABLE, PlatformTables.CONFIGURATION,
				FakePlatformService.configuration(3, "s", "/p/"));
		this.fixture.runUntil("both know the configuration", this::tickBoth,
				() -> this.holder.configuration.version() == 3 && this.other.configuration.version() == 3);
		this.fixture.runUntil("other host has rows of the holder", () -> {
			tickBoth();
			exchangeHeartbeat();
		}, () -> this.other.knows("i-1"));
		this.fixture.store.put(PlatformTables.OPERATOR_TABLE, PlatformTables.CONFIGURATION,
				FakePlatformService.configuration(4, "s", "/q/"));
		this.fixture.runUntil("other host reads the announced configuration", () -> {
			this.holder.follower.tick(true);
			exchangeHeartbeat();
			this.other.configuration.recordAnnounced(this.holder.configuration.version());
			this.other.follower.tick(false);
		}, () -> this.other.configuration.version() == 4);
		assertThat(this.other.configuration.isBehind()).isFalse();
	}

	// Guards against a host that stays behind while the store refuses its calls, and
	// against hosts that ask the holder before they have asked the store.
	@Test
	void asksForDocumentOnlyWhenStoreDoesNotReturnIt() throws Exception {
		this.other.configuration.recordAnnounced(5);
		assertThat(this.other.configuration.isBehind()).isTrue();
		assertThat(this.other.configuration.isDocumentNeeded(false)).isFalse();
		Thread.sleep(400);
		assertThat(this.other.configuration.isDocumentNeeded(false)).isTrue();
	}

	private final class Host {

		private final ConfigurationHolder configuration;

		private final Forwarder forwarder;

		private final StoreFollower follower;

		Host() {
			ControlFixture fixture = StoreFollowerTests.this.fixture;
			this.forwarder = Forwarder.create(fixture.loop.loop(), BackendClient.create(fixture.loop.loop()),
					new PlatformHeaderCodec(), DefaultTrafficController.create(HostId.of("h"), DataCentre.of("d"),
							"life", 1, EdgeDaemon.trafficTunables(0.2, 52)),
					new EdgeMetrics());
			this.configuration = new ConfigurationHolder(this.forwarder);
			this.follower = StoreFollower.create(StoreClient.create(fixture.loop.httpClient(), fixture.store.address()),
					fixture.loop.loop(), this.configuration, this.forwarder.directory());
		}

		private boolean knows(String server) {
			return this.forwarder.directory()
				.entries()
				.stream()
				.anyMatch((entry) -> entry.id().equals(BackendServerId.of(server)));
		}

	}

}
