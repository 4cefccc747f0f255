package org.celeryhill.peer;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;

import org.celeryhill.base.DataCentre;
import org.celeryhill.base.HostId;
import org.celeryhill.base.OrganisationId;
import org.celeryhill.base.PriorityClass;
import org.celeryhill.base.Region;
import org.celeryhill.base.RevisionDocument;
import org.celeryhill.base.SystemTimerService;
import org.celeryhill.base.UsageTotals;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link ThriftPeerNode} over loopback TCP.
 */
class ThriftPeerNodeTests {

	/** Nodes started by the current test. */
	private final List<ThriftPeerNode> nodes = new ArrayList<>();

	private final List<InetSocketAddress> addresses = new ArrayList<>();

	@AfterEach
	void close() {
		this.nodes.forEach(ThriftPeerNode::close);
	}

	// Guards against members, revisions or usage totals that do not reach other nodes
	// over the transport.
	@Test
	void carriesMembersRevisionsAndUsage() {
		ThriftPeerNode one = start();
		ThriftPeerNode two = start();
		ThriftPeerNode three = start();
		await(() -> this.nodes.stream().allMatch((node) -> node.members().size() == 3));
		List<UsageTotals> usage = new ArrayList<>();
		two.usage().subscribe(usage::add);
		UsageTotals.Key key = new UsageTotals.Key(OrganisationId.of("mill-a"), PriorityClass.URGENT);
		one.publishUsage(new UsageTotals(HostId.of("entry-0"), DataCentre.of("dc-0"), "1", 1, Map.of(key, 12L)));
		await(() -> usage.stream().anyMatch((totals) -> totals.tokens().get(key) == 12L));
		one.offerRevision(new RevisionDocument(4, Map.of("a.yaml", "text")));
		await(() -> three.revision().isPresent());
		assertThat(three.revisions().blockingFirst().files()).containsEntry("a.yaml", "text");
		three.close();
		await(() -> one.members().stream().anyMatch(Member::isLeaving));
		assertThat(one.counters().sentBytes()).isPositive();
		assertThat(one.counters().receivedBytes()).isPositive();
	}

	// Guards against a new process that does not get the configuration from a peer.
	// Prints how long that takes.
	@Test
	void getsRevisionFromPeerAtStart() {
		ThriftPeerNode one = start();
		one.offerRevision(GossipSimulation.createRevision(7));
		long begin = System.nanoTime();
		ThriftPeerNode two = start();
		await(() -> two.revision().isPresent());
		System.out.printf("start_from_peer_millis=%.0f%n", (System.nanoTime() - begin) / 1e6);
		assertThat(two.revision().orElseThrow().number()).isEqualTo(7);
	}

	// Guards against a peer port that stops serving after malformed frames, or while
	// clients hold idle connections.
	@Test
	void servesPeersDespiteMalformedFrames() throws IOException {
		ThriftPeerNode one = start();
		List<Socket> idleSockets = new ArrayList<>();
		for (int i = 0; i < 20; i++) {
			Socket socket = new Socket(this.addresses.get(0).getAddress(), this.addresses.get(0).getPort());
			socket.getOutputStream().write((i % 2 == 0) ? new byte[] { 127, 127, 127, 127, 1 } : new byte[] { 0, 0 });
			idleSockets.add(socket);
		}
		start();
		await(() -> one.members().size() == 2);
		for (Socket socket : idleSockets) {
			socket.close();
		}
	}

	private ThriftPeerNode start() {
		int index = this.nodes.size();
		InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
		PeerSettings settings = new PeerSettings(HostId.of("entry-" + index), any, DataCentre.of("dc-" + index),
				Region.of("region-0"), 1 + index, Duration.ofMillis(100), Duration.ofSeconds(5),
				Duration.ofSeconds(10));
		List<InetSocketAddress> seeds = List.copyOf(this.addresses);
		ThriftPeerNode node = ThriftPeerNode.create(settings, SystemTimerService.create(), () -> seeds);
		this.nodes.add(node);
		this.addresses.add(node.address());
		node.start();
		return node;
	}

	private static void await(BooleanSupplier condition) {
		long end = System.nanoTime() + Duration.ofSeconds(20).toNanos();
		while (!condition.getAsBoolean() && System.nanoTime() < end) {
			Thread.onSpinWait();
		}
		assertThat(condition.getAsBoolean()).isTrue();
	}

}
