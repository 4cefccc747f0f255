package org.celeryhill.peer;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.BiPredicate;

import org.apache.thrift.TBase;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.protocol.TMessage;
import org.apache.thrift.protocol.TMessageType;
import org.apache.thrift.transport.TMemoryBuffer;
import org.apache.thrift.transport.layered.TFramedTransport;
import org.celeryhill.base.DataCentre;
import org.celeryhill.base.HostId;
import org.celeryhill.base.OrganisationId;
import org.celeryhill.base.PriorityClass;
import org.celeryhill.base.Region;
import org.celeryhill.base.RevisionDocument;
import org.celeryhill.base.UsageTotals;
import org.celeryhill.peerthrift.PeerService;

/**
 * Simulates the gossip protocol of many processes in virtual time over a network that
 * delays, loses and duplicates messages. Counts the bytes of each message as the Thrift
 * transport frames it.
 */
final class GossipSimulation {

	static final long NANOS_PER_MILLI = 1_000_000L;

	static final long NANOS_PER_SECOND = 1000 * NANOS_PER_MILLI;

	final List<Node> nodes = new ArrayList<>();

	/** Fraction of the messages that are lost. */
	double lossRate;

	/** Fraction of the requests that are delivered twice. */
	double duplicationRate;

	/** Tests whether two processes can reach each other. */
	BiPredicate<Node, Node> isConnected = (one, other) -> true;

	/** Current virtual time, in nanoseconds. */
	long nowNanos = NANOS_PER_SECOND;

	/** Scheduled events, ordered by time. */
	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::nanos).thenComparingLong(Event::order));

	private final Map<InetSocketAddress, Node> byAddress = new HashMap<>();

	private final List<InetSocketAddress> addresses = new ArrayList<>();

	/** Source of random delays and losses. */
	private final Random random;

	/** Number of events scheduled so far. */
	private long nextOrder;

	GossipSimulation(long seed) {
		this.random = new Random(seed);
	}

	void addNodes(int count, int dataCentres, int regions) {
		for (int i = 0; i < count; i++) {
			int dataCentre = i % dataCentres;
			Node node = new Node(this.nodes.size(), "dc-" + dataCentre, "region-" + dataCentre % regions);
			this.nodes.add(node);
			this.byAddress.put(node.settings.address(), node);
			this.addresses.add(node.settings.address());
			node.start(1000 + this.random.nextInt(1000));
		}
	}

	void runSeconds(double seconds) {
		long end = this.nowNanos + (long) (seconds * NANOS_PER_SECOND);
		while (!this.events.isEmpty() && this.events.peek().nanos() <= end) {
			Event event = this.events.poll();
			this.nowNanos = event.nanos();
			event.task().run();
		}
		this.nowNanos = end;
	}

	void schedule(long delayNanos, Runnable task) {
		this.events.add(new Event(this.nowNanos + delayNanos, this.nextOrder++, task));
	}

	double bytesPerSecondPerNode(double seconds, boolean isSent) {
		long bytes = 0;
		for (Node node : this.nodes) {
			bytes += isSent ? node.sentBytes : node.receivedBytes;
		}
		return bytes / seconds / this.nodes.size();
	}

	void resetBytes() {
		this.nodes.forEach((node) -> {
			node.sentBytes = 0;
			node.receivedBytes = 0;
		});
	}

	static RevisionDocument createRevision(long number) {
		Map<String, String> files = new HashMap<>();
		for (int i = 0; i < 20; i++) {
			files.put("organisations/org-" + i + ".yaml", "models: []\n".repeat(50));
		}
		files.put("organisations/org-0.yaml", "number: " + number + "\n" + "models: []\n".repeat(20));
		return new RevisionDocument(number, files);
	}

	private void send(Node from, InetSocketAddress address, TBase<?, ?> request, Runnable delivery) {
		int bytes = framedSize(request, TMessageType.CALL);
		from.sentBytes += bytes;
		Node to = this.byAddress.get(address);
		if (to == null || isLost(from, to)) {
			return;
		}
		deliver(from, to, bytes, delivery);
		if (this.random.nextDouble() < this.duplicationRate) {
			deliver(from, to, bytes, delivery);
		}
	}

	private void reply(Node from, Node to, TBase<?, ?> result, Runnable delivery) {
		int bytes = framedSize(result, TMessageType.REPLY);
		from.sentBytes += bytes;
		if (!isLost(from, to)) {
			deliver(from, to, bytes, delivery);
		}
	}

	private void deliver(Node from, Node to, int bytes, Runnable delivery) {
		int incarnation = to.startCount;
		schedule(latency(from, to), () -> {
			if (to.isUp && to.startCount == incarnation) {
				long pause = Math.max(0, to.pausedUntilNanos - this.nowNanos);
				schedule(pause, () -> {
					to.receivedBytes += bytes;
					delivery.run();
				});
			}
		});
	}

	private boolean isLost(Node from, Node to) {
		return !to.isUp || !this.isConnected.test(from, to) || this.random.nextDouble() < this.lossRate;
	}

	private long latency(Node from, Node to) {
		boolean isNear = from.settings.region().equals(to.settings.region());
		return (isNear ? 1 + this.random.nextInt(3) : 40 + this.random.nextInt(80)) * NANOS_PER_MILLI;
	}

	private static int framedSize(TBase<?, ?> message, byte type) {
		try {
			TMemoryBuffer buffer = new TMemoryBuffer(512);
			TFramedTransport framed = new TFramedTransport(buffer);
			TCompactProtocol protocol = new TCompactProtocol(framed);
			String name = message.getClass().getSimpleName().replaceAll("_.*", "");
			protocol.writeMessageBegin(new TMessage(name, type, 1));
			message.write(protocol);
			protocol.writeMessageEnd();
			framed.flush();
			return buffer.length();
		}
		catch (TException ex) {
			throw new IllegalStateException(ex);
		}
	}

	/**
	 * Task scheduled at a point of virtual time.
	 *
	 * @param nanos the time in nanoseconds
	 * @param order the order of events with the same time
	 * @param task the task to run
	 */
	private record Event(long nanos, long order, Runnable task) {

	}

	/** Simulated process. */
	final class Node {

		/** Usage totals delivered to this process. */
		final List<UsageTotals> deliveredUsage = new ArrayList<>();

		final PeerSettings settings;

		final int index;

		GossipState state;

		long sentBytes;

		long receivedBytes;

		boolean isUp;

		/** Time until which the process is paused, in nanoseconds. */
		long pausedUntilNanos;

		/** Number of times that the process has started. */
		int startCount;

		/** Time at which the latest revision arrived, in nanoseconds. */
		long revisionNanos;

		Node(int index, String dataCentre, String region) {
			this.index = index;
			this.settings = PeerSettings.of(HostId.of("entry-host-" + (1000 + index)), address(index),
					DataCentre.of(dataCentre), Region.of(region), 1_700_000_000_000L);
		}

		void start(long delayMillis) {
			this.startCount++;
			this.isUp = true;
			int incarnation = this.startCount;
			PeerSettings own = this.settings;
			PeerSettings next = PeerSettings.of(own.host(), own.address(), own.dataCentre(), own.region(),
					own.generation() + incarnation);
			this.state = new GossipState(next, new Random(this.index * 31L + incarnation),
					GossipSimulation.this.nowNanos);
			schedule(delayMillis * NANOS_PER_MILLI, () -> runRound(incarnation));
		}

		private void runRound(int incarnation) {
			if (!this.isUp || incarnation != this.startCount) {
				return;
			}
			if (this.pausedUntilNanos > GossipSimulation.this.nowNanos) {
				schedule(this.pausedUntilNanos - GossipSimulation.this.nowNanos, () -> runRound(incarnation));
				return;
			}
			this.state.publishUsage(createTotals(incarnation));
			makeCalls(this.state.runRound(seeds(), GossipSimulation.this.nowNanos));
			schedule(NANOS_PER_SECOND - 20 * NANOS_PER_MILLI
					+ GossipSimulation.this.random.nextInt(40) * NANOS_PER_MILLI, () -> runRound(incarnation));
		}

		private List<InetSocketAddress> seeds() {
			return GossipSimulation.this.addresses;
		}

		private UsageTotals createTotals(int incarnation) {
			Map<UsageTotals.Key, Long> tokens = new HashMap<>();
			for (PriorityClass priority : PriorityClass.values()) {
				for (int i = 0; i < 3; i++) {
					UsageTotals.Key key = new UsageTotals.Key(OrganisationId.of("organisation-" + i), priority);
					tokens.put(key, GossipSimulation.this.nowNanos / NANOS_PER_MILLI * 10 * (1 + i));
				}
			}
			return new UsageTotals(this.settings.host(), this.settings.dataCentre(), "inc-" + incarnation,
					GossipSimulation.this.nowNanos / NANOS_PER_SECOND, tokens);
		}

		void offerRevision(RevisionDocument document) {
			List<OutgoingCall> calls = new ArrayList<>();
			if (this.state.addRevision(document, calls, GossipSimulation.this.nowNanos)) {
				this.revisionNanos = GossipSimulation.this.nowNanos;
			}
			makeCalls(calls);
		}

		long revisionNumber() {
			return this.state.revision().map(RevisionDocument::number).orElse(0L);
		}

		List<String> aliveHosts() {
			return this.state.aliveMembers(GossipSimulation.this.nowNanos)
				.stream()
				.map((member) -> member.host().value())
				.toList();
		}

		void makeCalls(List<OutgoingCall> calls) {
			calls.forEach(this::sendCall);
			this.deliveredUsage.addAll(this.state.takeReceivedUsage());
		}

		private void sendCall(OutgoingCall call) {
			Node to = GossipSimulation.this.byAddress.get(call.target());
			if (call instanceof OutgoingCall.Exchange exchange) {
				send(this, exchange.target(), new PeerService.exchange_args(exchange.digest().deepCopy()),
						() -> to.handleExchange(exchange, this));
			}
			else if (call instanceof OutgoingCall.Announce announce) {
				send(this, announce.target(), new PeerService.announce_args(announce.revision(), announce.sender()),
						() -> to.handleAnnounce(announce, this));
			}
			else if (call instanceof OutgoingCall.Fetch fetch) {
				send(this, fetch.target(), new PeerService.fetch_args(fetch.heldRevision()),
						() -> to.handleFetch(fetch, this));
			}
			else if (call instanceof OutgoingCall.Sync sync) {
				send(this, sync.target(), new PeerService.sync_args(sync.request()), () -> to.handleSync(sync, this));
			}
		}

		private void handleExchange(OutgoingCall.Exchange call, Node from) {
			List<OutgoingCall> calls = new ArrayList<>();
			PeerService.exchange_result result = new PeerService.exchange_result(
					this.state.onDigest(call.digest().deepCopy(), calls, GossipSimulation.this.nowNanos));
			makeCalls(calls);
			reply(this, from, result, () -> {
				List<OutgoingCall> followUpCalls = new ArrayList<>();
				from.state.onDigestReply(result.getSuccess().deepCopy(), followUpCalls, GossipSimulation.this.nowNanos);
				from.makeCalls(followUpCalls);
			});
		}

		private void handleAnnounce(OutgoingCall.Announce call, Node from) {
			List<OutgoingCall> calls = new ArrayList<>();
			long number = this.state.onAnnounce(call.revision(), call.sender(), calls, GossipSimulation.this.nowNanos);
			makeCalls(calls);
			reply(this, from, new PeerService.announce_result(number), () -> {
				List<OutgoingCall> followUpCalls = new ArrayList<>();
				from.state.onAnnounceReply(number, this.settings.address(), followUpCalls,
						GossipSimulation.this.nowNanos);
				from.makeCalls(followUpCalls);
			});
		}

		private void handleFetch(OutgoingCall.Fetch call, Node from) {
			PeerService.fetch_result result = new PeerService.fetch_result(this.state.onFetch(call.heldRevision()));
			reply(this, from, result, () -> {
				List<OutgoingCall> followUpCalls = new ArrayList<>();
				from.state.onFetchReply(result.getSuccess(), followUpCalls, GossipSimulation.this.nowNanos)
					.ifPresent((document) -> from.revisionNanos = GossipSimulation.this.nowNanos);
				from.makeCalls(followUpCalls);
			});
		}

		private void handleSync(OutgoingCall.Sync call, Node from) {
			PeerService.sync_result result = new PeerService.sync_result(this.state.onSync(call.request()));
			reply(this, from, result,
					() -> from.state.onSyncReply(result.getSuccess(), GossipSimulation.this.nowNanos));
		}

		private static InetSocketAddress address(int index) {
			try {
				byte[] octets = { 10, 0, (byte) (index / 256), (byte) index };
				return new InetSocketAddress(InetAddress.getByAddress(octets), 7400);
			}
			catch (UnknownHostException ex) {
				throw new IllegalStateException(ex);
			}
		}

	}

}
