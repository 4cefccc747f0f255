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
 * Tests of the daemon on the clocks of the machine, and of its settings.
 */
class PlannerDaemonTests {

	// Guards against settings of which only the first fault is reported.
	@Test
	void reportsAllFindingsTogether() {
		SettingsChecks checks = PlannerWorld
			.settings("--address=not-an-address", "--peer-seeds=10.0.0.1:99999", "--lease-duration=PT1S",
					"--entry-peer-port=0")
			.check();
		assertThat(checks.findings()).extracting((one) -> one.source() + one.path()).hasSize(4);
		assertThat(PlannerWorld.settings("--peer-seeds=10.0.0.1:8082,[::1]:8092").check().isValid()).isTrue();
	}

	// Guards against a daemon that needs the stores to start, and one that keeps its
	// lease.
	@Test
	void startsFromPeerAndReleasesLease() {
		PlannerWorld world = new PlannerWorld(SystemTimerService.create());
		PeerLink one = link("planner-0", List.of());
		PeerLink two = link("planner-1", List.of(one.node().address()));
		try (ThriftPeerNode first = one.node()) {
			first.start();
			first.offerRevision(PlannerWorld.demo(5));
			PlannerDaemon daemon = new PlannerDaemon(PlannerWorld.settings(), world.ports(Optional.of(two)));
			daemon.start();
			await(() -> Long.valueOf(5).equals(daemon.dump().get("revision")));
			RowKey lease = RowKey.of("lease", PlannerWorld.SERVICE.value());
			await(() -> world.table.peek(lease).isPresent());
			await(() -> world.ready("mill-a/furnish@1") > 0);
			daemon.stop();
			assertThat(daemon.dump().get("groups").toString()).contains("holder=false");
		}
	}

	private static PeerLink link(String host, List<InetSocketAddress> fixed) {
		PeerSeeds seeds = new PeerSeeds(fixed, List.of());
		PeerSettings settings = new PeerSettings(HostId.of(host),
				new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), DataCentre.of("dc-0"),
				Region.of("region-0"), 1, Duration.ofMillis(100), Duration.ofSeconds(5), Duration.ofSeconds(10));
		return new PeerLink(ThriftPeerNode.create(settings, SystemTimerService.create(), seeds), seeds);
	}

	private static void await(BooleanSupplier condition) {
		long end = System.nanoTime() + Duration.ofSeconds(30).toNanos();
		while (!condition.getAsBoolean() && System.nanoTime() < end) {
			Thread.onSpinWait();
		}
		assertThat(condition.getAsBoolean()).isTrue();
	}

}
