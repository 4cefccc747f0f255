package org.celeryhill.edge;

import java.nio.charset.StandardCharsets;

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

	// Guards against requests to an engine that has left, when the process of the holder
	// is replaced: the new one has read the table after the removal and does not know of
	// it.
	@Test
	void learnsOfRemovalThatPrecedesFirstReadOfHolder() throws Exception {
		this.fixture.runUntil("both know the engine", () -> {
			tickBoth();
			exchangeHeartbeat();
		}, () -> this.other.knows("i-1"));
		stopHolder();
		this.fixture.store.remove(PlatformTables.BACKEND_SERVERS_TABLE, "i-1");
		this.fixture.store.put(PlatformTables.BACKEND_SERVERS_TABLE, "i-2", this.service.hostListEntry("s", "ready"));
		this.holder = new Host();
		this.fixture.runUntil("new holder has read the table", () -> this.holder.follower.tick(true),
				() -> this.holder.knows("i-2"));
		this.fixture.runUntil("other host knows the new engine", this::exchangeHeartbeat,
				() -> this.other.knows("i-2"));
		assertThat(this.other.knows("i-1")).isFalse();
	}

	// Guards against the same when the holder has read the whole table again after its
	// history was dropped, and an engine came and went in between.
	@Test
	void learnsOfRemovalThatPrecedesRepeatedReadOfHolder() throws Exception {
		this.fixture.runUntil("holder knows the engine", () -> this.holder.follower.tick(true),
				() -> this.holder.knows("i-1"));
		this.fixture.store.setFault(FakePlatformStore.Fault.BUSY);
		this.fixture.runUntil("holder loses the store", () -> this.holder.follower.tick(true),
				() -> this.holder.follower.isOperatorTableLost());
		this.fixture.store.put(PlatformTables.BACKEND_SERVERS_TABLE, "i-3", this.service.hostListEntry("s", "ready"));
		this.fixture.store.setFault(FakePlatformStore.Fault.NONE);
		this.fixture.runUntil("other host reads the short-lived engine itself", () -> this.other.follower.tick(false),
				() -> this.other.knows("i-3"));
		this.fixture.store.setFault(FakePlatformStore.Fault.BUSY);
		this.fixture.store.remove(PlatformTables.BACKEND_SERVERS_TABLE, "i-3");
		this.fixture.store.put(PlatformTables.BACKEND_SERVERS_TABLE, "i-2", this.service.hostListEntry("s", "ready"));
		this.fixture.store.dropHistory();
		this.fixture.store.setFault(FakePlatformStore.Fault.NONE);
		this.fixture.runUntil("holder has read the table again", () -> this.holder.follower.tick(true),
				() -> this.holder.knows("i-2"));
		this.fixture.runUntil("other host knows the new engine", this::exchangeHeartbeat,
				() -> this.other.knows("i-2"));
		this.fixture.runUntil("other host no longer uses the short-lived one", this::exchangeHeartbeat,
				() -> !this.other.knows("i-3"));
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

	// Guards against hosts that each make several calls to the store at their start,
	// though one of them passes the rows on soon afterwards.
	@Test
	void startsWithOneCallForEachTable() throws Exception {
		this.fixture.runUntil("other host knows the engine", () -> this.other.follower.tick(false),
				() -> this.other.knows("i-1") && this.other.follower.isOperatorTableRead());
		this.fixture.runUntil("holder knows the engine", () -> this.holder.follower.tick(true),
				() -> this.holder.knows("i-1"));
		int calls = this.fixture.store.callCount();
		tickFor(2000, () -> {
			this.other.follower.tick(false);
			exchangeHeartbeat();
			this.holder.follower.tick(true);
		});
		int holderCalls = this.fixture.store.callCount() - calls;
		assertThat(calls).as("both tables by both hosts, first polls of the holder").isLessThanOrEqualTo(6);
		assertThat(holderCalls).as("polls of the holder only, 0.6 s each").isLessThanOrEqualTo(10);
	}

	private void tickFor(long millis, Runnable tick) throws Exception {
		long end = System.nanoTime() + millis * 1_000_000L;
		while (System.nanoTime() < end) {
			this.fixture.runOnLoop(tick);
			Thread.sleep(20);
		}
	}

	// Guards against hosts that each go on to call the store after they have read the
	// configuration that they were told of.
	@Test
	void readsAnnouncedConfigurationWithOneCall() throws Exception {
		this.fixture.store.put(PlatformTables.OPERATOR_TABLE, PlatformTables.CONFIGURATION,
				FakePlatformService.configuration(3, "s", "/p/"));
		this.fixture.runUntil("both know the configuration", this::tickBoth,
				() -> this.holder.configuration.version() == 3 && this.other.configuration.version() == 3);
		// A call of the other host that waits for changes ends after 2.5 s.
		tickFor(3000, () -> {
			exchangeHeartbeat();
			tickBoth();
		});
		this.fixture.runOnLoop(this::exchangeHeartbeat);
		stopHolder();
		this.fixture.store.put(PlatformTables.OPERATOR_TABLE, PlatformTables.CONFIGURATION,
				FakePlatformService.configuration(4, "s", "/q/"));
		int calls = this.fixture.store.callCount(PlatformTables.OPERATOR_TABLE);
		this.fixture.runUntil("other host reads the announced configuration", () -> {
			this.other.configuration.recordAnnounced(4);
			this.other.follower.tick(false);
		}, () -> this.other.configuration.version() == 4);
		tickFor(500, () -> this.other.follower.tick(false));
		assertThat(this.fixture.store.callCount(PlatformTables.OPERATOR_TABLE) - calls).isEqualTo(1);
	}

	// Lets the last calls of the holder end without new ones.
	private void stopHolder() throws Exception {
		this.fixture.runOnLoop(() -> {
			this.holder.follower.tick(false);
			exchangeHeartbeat();
		});
		tickFor(700, () -> this.other.follower.tick(false));
	}

	// Guards against a holder that calls the store again at once for each row of many
	// backend servers that change all the time.
	@Test
	void holderCollectsChanges() throws Exception {
		this.fixture.runUntil("holder knows the engine", () -> this.holder.follower.tick(true),
				() -> this.holder.knows("i-1"));
		int calls = this.fixture.store.callCount();
		int[] count = new int[1];
		tickFor(2000, () -> {
			this.fixture.store.put(PlatformTables.BACKEND_SERVERS_TABLE, "i-" + (2 + count[0]++ % 50),
					this.service.hostListEntry("s", "ready"));
			this.holder.follower.tick(true);
		});
		assertThat(this.fixture.store.callCount() - calls).as("in two seconds, with those for the operator's table")
			.isLessThanOrEqualTo(20);
		this.fixture.runUntil("holder knows the last ones", () -> this.holder.follower.tick(true),
				() -> this.holder.knows("i-51"));
	}

	// Guards against a host that asks a store again and again that refuses its calls,
	// before it asks the holder for the configuration that it was told of.
	@Test
	void asksForDocumentAtOnceIfStoreIsLost() throws Exception {
		this.fixture.runOnLoop(() -> this.other.configuration
			.applyIfNewer(FakePlatformService.configuration(3, "s", "/p/").getBytes(StandardCharsets.UTF_8), "test"));
		this.other.configuration.recordAnnounced(5);
		assertThat(this.other.configuration.isDocumentNeeded(false)).isFalse();
		assertThat(this.other.configuration.isDocumentNeeded(true)).isTrue();
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
