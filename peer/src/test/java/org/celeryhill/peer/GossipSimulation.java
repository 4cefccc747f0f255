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
 * Many protocol states in virtual time over a network that delays, loses and duplicates
 * messages. Counts the bytes of each message as the transport frames it.
 */
final class GossipSimulation {

	/** Nanoseconds in a millisecond. */
	static final long MILLI = 1_000_000L;

	/** Nanoseconds in a second. */
	static final long SECOND = 1000 * MILLI;

	/** Processes. */
	final List<Node> nodes = new ArrayList<>();

	/** Part of the messages that are lost. */
	double loss;

	/** Part of the requests that arrive twice. */
	double duplication;

	/** Whether two processes can reach each other. */
	BiPredicate<Node, Node> isConnected = (one, other) -> true;

	/** Monotonic time in nanoseconds. */
	long now = SECOND;

	/** Events by time. */
	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::nanos).thenComparingLong(Event::order));

	/** Processes by address. */
	private final Map<InetSocketAddress, Node> byAddress = new HashMap<>();

	/** Addresses of all processes. */
	private final List<InetSocketAddress> addresses = new ArrayList<>();

	/** Source of delays and losses. */
	private final Random random;

	/** Events so far. */
	private long order;

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
		long end = this.now + (long) (seconds * SECOND);
		while (!this.events.isEmpty() && this.events.peek().nanos() <= end) {
			Event event = this.events.poll();
			this.now = event.nanos();
			event.task().run();
		}
		this.now = end;
	}

	void schedule(long delay, Runnable task) {
		this.events.add(new Event(this.now + delay, this.order++, task));
	}

	double bytesPerNodeSecond(double seconds, boolean isSent) {
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

	static RevisionDocument revision(long number) {
		Map<String, String> files = new HashMap<>();
		for (int i = 0; i < 20; i++) {
			files.put("organisations/org-" + i + ".yaml", "models: []\n".repeat(50));
		}
		files.put("organisations/org-0.yaml", "number: " + number + "\n" + "models: []\n".repeat(20));
		return new RevisionDocument(number, files);
	}

	private void send(Node from, InetSocketAddress address, TBase<?, ?> request, Runnable delivery) {
		int bytes = size(request, TMessageType.CALL);
		from.sentBytes += bytes;
		Node to = this.byAddress.get(address);
		if (to == null || isLost(from, to)) {
			return;
		}
		deliver(from, to, bytes, delivery);
		if (this.random.nextDouble() < this.duplication) {
			deliver(from, to, bytes, delivery);
		}
	}

	private void reply(Node from, Node to, TBase<?, ?> result, Runnable delivery) {
		int bytes = size(result, TMessageType.REPLY);
		from.sentBytes += bytes;
		if (!isLost(from, to)) {
			deliver(from, to, bytes, delivery);
		}
	}

	private void deliver(Node from, Node to, int bytes, Runnable delivery) {
		int incarnation = to.starts;
		schedule(latency(from, to), () -> {
			if (to.isUp && to.starts == incarnation) {
				long pause = Math.max(0, to.pausedUntil - this.now);
				schedule(pause, () -> {
					to.receivedBytes += bytes;
					delivery.run();
				});
			}
		});
	}

	private boolean isLost(Node from, Node to) {
		return !to.isUp || !this.isConnected.test(from, to) || this.random.nextDouble() < this.loss;
	}

	private long latency(Node from, Node to) {
		boolean isNear = from.settings.region().equals(to.settings.region());
		return (isNear ? 1 + this.random.nextInt(3) : 40 + this.random.nextInt(80)) * MILLI;
	}

	private static int size(TBase<?, ?> message, byte type) {
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
	 * Something that happens at a time.
	 *
	 * @param nanos the time
	 * @param order breaks ties
	 * @param task what happens
	 */
	private record Event(long nanos, long order, Runnable task) {

	}

	/** One process. */
	final class Node {

		/** Usage totals that have been handed out. */
		final List<UsageTotals> usage = new ArrayList<>();

		/** Settings of the process. */
		final PeerSettings settings;

		/** Index of the process. */
		final int index;

		/** Protocol state. */
		GossipState state;

		/** Bytes sent. */
		long sentBytes;

		/** Bytes received. */
		long receivedBytes;

		/** Whether the process runs. */
		boolean isUp;

		/** Time until which the process is paused. */
		long pausedUntil;

		/** Times that the process started. */
		int starts;

		/** Time at which the latest revision arrived. */
		long revisionNanos;

		Node(int index, String dataCentre, String region) {
			this.index = index;
			this.settings = PeerSettings.of(HostId.of("entry-host-" + (1000 + index)), address(index),
					DataCentre.of(dataCentre), Region.of(region), 1_700_000_000_000L);
		}

		void start(long delayMillis) {
			this.starts++;
			this.isUp = true;
			int incarnation = this.starts;
			PeerSettings own = this.settings;
			PeerSettings next = PeerSettings.of(own.host(), own.address(), own.dataCentre(), own.region(),
					own.generation() + incarnation);
			this.state = new GossipState(next, new Random(this.index * 31L + incarnation), GossipSimulation.this.now);
			schedule(delayMillis * MILLI, () -> tick(incarnation));
		}

		private void tick(int incarnation) {
			if (!this.isUp || incarnation != this.starts) {
				return;
			}
			if (this.pausedUntil > GossipSimulation.this.now) {
				schedule(this.pausedUntil - GossipSimulation.this.now, () -> tick(incarnation));
				return;
			}
			this.state.publish(totals(incarnation));
			run(this.state.tick(seeds(), GossipSimulation.this.now));
			schedule(SECOND - 20 * MILLI + GossipSimulation.this.random.nextInt(40) * MILLI, () -> tick(incarnation));
		}

		private List<InetSocketAddress> seeds() {
			return GossipSimulation.this.addresses;
		}

		private UsageTotals totals(int incarnation) {
			Map<UsageTotals.Key, Long> tokens = new HashMap<>();
			for (PriorityClass priority : PriorityClass.values()) {
				for (int i = 0; i < 3; i++) {
					UsageTotals.Key key = new UsageTotals.Key(OrganisationId.of("organisation-" + i), priority);
					tokens.put(key, GossipSimulation.this.now / MILLI * 10 * (1 + i));
				}
			}
			return new UsageTotals(this.settings.host(), this.settings.dataCentre(), "inc-" + incarnation,
					GossipSimulation.this.now / SECOND, tokens);
		}

		void offer(RevisionDocument document) {
			List<Outgoing> calls = new ArrayList<>();
			if (this.state.offer(document, calls, GossipSimulation.this.now)) {
				this.revisionNanos = GossipSimulation.this.now;
			}
			run(calls);
		}

		long revision() {
			return this.state.revision().map(RevisionDocument::number).orElse(0L);
		}

		List<String> alive() {
			return this.state.alive(GossipSimulation.this.now).stream().map((member) -> member.host().value()).toList();
		}

		void run(List<Outgoing> calls) {
			calls.forEach(this::run);
			this.usage.addAll(this.state.takeArrived());
		}

		private void run(Outgoing call) {
			Node to = GossipSimulation.this.byAddress.get(call.target());
			if (call instanceof Outgoing.Exchange one) {
				send(this, one.target(), new PeerService.exchange_args(one.digest().deepCopy()),
						() -> to.exchange(one, this));
			}
			else if (call instanceof Outgoing.Announce one) {
				send(this, one.target(), new PeerService.announce_args(one.revision(), one.sender()),
						() -> to.announce(one, this));
			}
			else if (call instanceof Outgoing.Fetch one) {
				send(this, one.target(), new PeerService.fetch_args(one.known()), () -> to.fetch(one, this));
			}
			else if (call instanceof Outgoing.Sync one) {
				send(this, one.target(), new PeerService.sync_args(one.request()), () -> to.sync(one, this));
			}
		}

		private void exchange(Outgoing.Exchange call, Node from) {
			List<Outgoing> calls = new ArrayList<>();
			PeerService.exchange_result result = new PeerService.exchange_result(
					this.state.onDigest(call.digest().deepCopy(), calls, GossipSimulation.this.now));
			run(calls);
			reply(this, from, result, () -> {
				List<Outgoing> more = new ArrayList<>();
				from.state.onReply(result.getSuccess().deepCopy(), more, GossipSimulation.this.now);
				from.run(more);
			});
		}

		private void announce(Outgoing.Announce call, Node from) {
			List<Outgoing> calls = new ArrayList<>();
			long number = this.state.onAnnounce(call.revision(), call.sender(), calls, GossipSimulation.this.now);
			run(calls);
			reply(this, from, new PeerService.announce_result(number), () -> {
				List<Outgoing> more = new ArrayList<>();
				from.state.onAnnounceReply(number, this.settings.address(), more, GossipSimulation.this.now);
				from.run(more);
			});
		}

		private void fetch(Outgoing.Fetch call, Node from) {
			PeerService.fetch_result result = new PeerService.fetch_result(this.state.onFetch(call.known()));
			reply(this, from, result, () -> {
				List<Outgoing> more = new ArrayList<>();
				from.state.onFetchReply(result.getSuccess(), more, GossipSimulation.this.now)
					.ifPresent((document) -> from.revisionNanos = GossipSimulation.this.now);
				from.run(more);
			});
		}

		private void sync(Outgoing.Sync call, Node from) {
			PeerService.sync_result result = new PeerService.sync_result(this.state.onSync(call.request()));
			reply(this, from, result, () -> from.state.onSyncReply(result.getSuccess(), GossipSimulation.this.now));
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
