package org.celeryhill.planner;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;

import org.celeryhill.base.DataCentre;
import org.celeryhill.base.HostId;
import org.celeryhill.base.Region;
import org.celeryhill.base.SystemTimerService;
import org.celeryhill.http.SettingsChecks;
import org.celeryhill.peer.PeerSettings;
import org.celeryhill.peer.ThriftPeerNode;
import org.celeryhill.port.RowKey;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link PlannerDaemon} with the system clock, and of {@link PlannerSettings}.
 */
class PlannerDaemonTests {

	// Guards against a check of settings that stops at the first invalid one.
	@Test
	void reportsAllFindingsTogether() {
		SettingsChecks checks = PlannerFixture
			.parseSettings("--address=not-an-address", "--peer-seeds=10.0.0.1:99999", "--lease-duration=PT1S",
					"--entry-peer-port=0")
			.check();
		assertThat(checks.findings()).extracting((finding) -> finding.source() + finding.path()).hasSize(4);
		assertThat(PlannerFixture.parseSettings("--peer-seeds=10.0.0.1:8082,[::1]:8092").check().isValid()).isTrue();
	}

	// Guards against a daemon that cannot start without the stores although a peer has
	// the configuration, and against a lease that stays held after the daemon has
	// stopped.
	@Test
	void startsWithRevisionOfPeerAndReleasesLease() {
		PlannerFixture fixture = new PlannerFixture(SystemTimerService.create());
		SeededPeerNode peer = createPeerNode("planner-0", List.of());
		SeededPeerNode daemonPeer = createPeerNode("planner-1", List.of(peer.node().address()));
		try (ThriftPeerNode first = peer.node()) {
			first.start();
			first.offerRevision(PlannerFixture.readDemoRevision(5));
			PlannerDaemon daemon = new PlannerDaemon(PlannerFixture.parseSettings(),
					fixture.createPorts(Optional.of(daemonPeer)));
			daemon.start();
			await(() -> Long.valueOf(5).equals(daemon.dumpState().get("revision")));
			RowKey lease = RowKey.of("lease", PlannerFixture.SERVICE.value());
			await(() -> fixture.table.peek(lease).isPresent());
			await(() -> fixture.ready("mill-a/furnish@1") > 0);
			daemon.stop();
			assertThat(daemon.dumpState().get("groups").toString()).contains("holder=false");
		}
	}

	private static SeededPeerNode createPeerNode(String host, List<InetSocketAddress> seedAddresses) {
		PeerSeeds seeds = new PeerSeeds(seedAddresses, List.of());
		PeerSettings settings = new PeerSettings(HostId.of(host),
				new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), DataCentre.of("dc-0"),
				Region.of("region-0"), 1, Duration.ofMillis(100), Duration.ofSeconds(5), Duration.ofSeconds(10));
		return new SeededPeerNode(ThriftPeerNode.create(settings, SystemTimerService.create(), seeds), seeds);
	}

	private static void await(BooleanSupplier condition) {
		long end = System.nanoTime() + Duration.ofSeconds(30).toNanos();
		while (!condition.getAsBoolean() && System.nanoTime() < end) {
			Thread.onSpinWait();
		}
		assertThat(condition.getAsBoolean()).isTrue();
	}

}
