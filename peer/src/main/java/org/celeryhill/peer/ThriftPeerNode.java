package org.celeryhill.peer;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Random;
import java.util.function.Supplier;

import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.disposables.Disposable;
import io.reactivex.rxjava3.processors.BehaviorProcessor;
import io.reactivex.rxjava3.processors.PublishProcessor;
import org.celeryhill.base.EventLog;
import org.celeryhill.base.RevisionDocument;
import org.celeryhill.base.TimerService;
import org.celeryhill.base.UsageTotals;
import org.celeryhill.peerthrift.Digest;
import org.celeryhill.peerthrift.MemberRecord;
import org.celeryhill.peerthrift.PeerService;
import org.celeryhill.peerthrift.RevisionReply;
import org.celeryhill.peerthrift.SyncReply;
import org.celeryhill.peerthrift.SyncRequest;

/**
 * Peer node that uses Thrift over TCP. Thread-safe. Lock order: the protocol state before
 * the output streams; neither lock is held during a call to a peer.
 */
public final class ThriftPeerNode implements PeerNode {

	/**
	 * Number of totals that a slow subscriber may lag behind before the oldest ones are
	 * dropped.
	 */
	private static final int USAGE_BUFFER = 1024;

	private static final EventLog LOG = EventLog.of(ThriftPeerNode.class);

	private final PeerSettings settings;

	/** Source of time and of gossip rounds. */
	private final TimerService timer;

	/** Returns the seed addresses, for example those of the host list. */
	private final Supplier<List<InetSocketAddress>> seeds;

	/** State of the gossip protocol. Guarded by itself. */
	private final GossipState state;

	/** Usage totals received from peers. Guarded by itself. */
	private final PublishProcessor<UsageTotals> usage = PublishProcessor.create();

	/** Known revisions. Guarded by itself. */
	private final BehaviorProcessor<RevisionDocument> revisions = BehaviorProcessor.create();

	private final ThriftTransport transport;

	/** Subscription of the gossip rounds; null before the start. */
	private volatile Disposable roundSubscription;

	private ThriftPeerNode(PeerSettings settings, TimerService timer, Supplier<List<InetSocketAddress>> seeds,
			ThriftTransport transport) {
		this.settings = settings;
		this.transport = transport;
		this.timer = timer;
		this.seeds = seeds;
		Random random = new Random(settings.host().value().hashCode() ^ settings.generation());
		this.state = new GossipState(settings, random, timer.nanoTime());
	}

	/**
	 * Creates a node and opens its port. The node is not started.
	 * @param settings the identity and timing of the process; port 0 stands for any free
	 * port, not null
	 * @param timer the source of time and of gossip rounds, not null
	 * @param seeds returns addresses of other processes, which may include the address of
	 * this process and those of processes that have ended; called in each round and must
	 * not block, not null
	 * @return the node, never null; must be closed even if it is never started
	 * @throws IllegalStateException if the port cannot be opened
	 */
	public static ThriftPeerNode create(PeerSettings settings, TimerService timer,
			Supplier<List<InetSocketAddress>> seeds) {
		Objects.requireNonNull(settings, "settings");
		Objects.requireNonNull(timer, "timer");
		Objects.requireNonNull(seeds, "seeds");
		ThriftTransport transport = new ThriftTransport(settings.address());
		return new ThriftPeerNode(settings.withPort(transport.port()), timer, seeds, transport);
	}

	@Override
	public void start() {
		this.transport.startServer(new PeerServiceHandler());
		this.roundSubscription = this.timer.ticks(this.settings.roundPeriod())
			.startWithItem(0L)
			.subscribe((now) -> runRound());
		LOG.info("peer_started", "host", this.settings.host(), "address", this.settings.address());
	}

	private void runRound() {
		List<InetSocketAddress> others = new ArrayList<>(this.seeds.get());
		others.remove(this.settings.address());
		List<OutgoingCall> calls;
		synchronized (this.state) {
			calls = this.state.runRound(others, this.timer.nanoTime());
		}
		submitCalls(calls);
	}

	private void submitCalls(List<OutgoingCall> calls) {
		for (OutgoingCall call : calls) {
			this.transport.submit(call.target(), (client) -> makeCall(call, client));
		}
	}

	private void makeCall(OutgoingCall call, PeerService.Client client) throws org.apache.thrift.TException {
		List<OutgoingCall> followUpCalls = new ArrayList<>();
		if (call instanceof OutgoingCall.Exchange exchange) {
			Digest reply = client.exchange(exchange.digest());
			synchronized (this.state) {
				this.state.onDigestReply(reply, followUpCalls, this.timer.nanoTime());
			}
		}
		else if (call instanceof OutgoingCall.Announce announce) {
			long number = client.announce(announce.revision(), announce.sender());
			synchronized (this.state) {
				this.state.onAnnounceReply(number, announce.target(), followUpCalls, this.timer.nanoTime());
			}
		}
		else if (call instanceof OutgoingCall.Fetch fetch) {
			RevisionReply reply = client.fetch(fetch.heldRevision());
			synchronized (this.state) {
				this.state.onFetchReply(reply, followUpCalls, this.timer.nanoTime());
			}
		}
		else if (call instanceof OutgoingCall.Sync sync) {
			SyncReply reply = client.sync(sync.request());
			synchronized (this.state) {
				this.state.onSyncReply(reply, this.timer.nanoTime());
			}
		}
		deliverReceived();
		submitCalls(followUpCalls);
	}

	private void deliverReceived() {
		List<UsageTotals> receivedUsage;
		Optional<RevisionDocument> revision;
		synchronized (this.state) {
			receivedUsage = this.state.takeReceivedUsage();
			revision = this.state.revision();
		}
		synchronized (this.usage) {
			receivedUsage.forEach(this.usage::onNext);
		}
		revision.ifPresent(this::emitRevision);
	}

	private void emitRevision(RevisionDocument document) {
		synchronized (this.revisions) {
			RevisionDocument last = this.revisions.getValue();
			if (last == null || last.number() < document.number()) {
				LOG.info("revision_known", "number", document.number());
				this.revisions.onNext(document);
			}
		}
	}

	@Override
	public List<Member> members() {
		synchronized (this.state) {
			return this.state.aliveMembers(this.timer.nanoTime());
		}
	}

	@Override
	public void publishUsage(UsageTotals totals) {
		Objects.requireNonNull(totals, "totals");
		synchronized (this.state) {
			this.state.publishUsage(totals);
		}
	}

	@Override
	public Flowable<UsageTotals> usage() {
		return this.usage.onBackpressureBuffer(USAGE_BUFFER, () -> {
		}, io.reactivex.rxjava3.core.BackpressureOverflowStrategy.DROP_OLDEST);
	}

	@Override
	public void offerRevision(RevisionDocument revision) {
		Objects.requireNonNull(revision, "revision");
		List<OutgoingCall> calls = new ArrayList<>();
		synchronized (this.state) {
			this.state.addRevision(revision, calls, this.timer.nanoTime());
		}
		deliverReceived();
		submitCalls(calls);
	}

	@Override
	public Optional<RevisionDocument> revision() {
		synchronized (this.state) {
			return this.state.revision();
		}
	}

	@Override
	public Flowable<RevisionDocument> revisions() {
		return this.revisions.onBackpressureLatest();
	}

	/**
	 * Returns the counters of the transport.
	 * @return the counters, never null
	 */
	public TransportCounters counters() {
		return this.transport.counters();
	}

	/**
	 * Returns the address that this node listens on.
	 * @return the address with the open port, never null
	 */
	public InetSocketAddress address() {
		return this.settings.address();
	}

	/**
	 * Returns counts of the protocol state for the state dump.
	 * @return the counts by name, never null
	 */
	public Map<String, Long> counts() {
		synchronized (this.state) {
			return this.state.counts();
		}
	}

	@Override
	public void close() {
		Disposable rounds = this.roundSubscription;
		if (rounds == null) {
			this.transport.close();
			return;
		}
		if (rounds.isDisposed()) {
			return;
		}
		rounds.dispose();
		List<OutgoingCall> calls;
		synchronized (this.state) {
			calls = this.state.leave(this.timer.nanoTime());
		}
		submitCalls(calls);
		this.transport.close();
		LOG.info("peer_stopped", "host", this.settings.host());
	}

	/** Handles calls of peers. */
	private final class PeerServiceHandler implements PeerService.Iface {

		@Override
		public Digest exchange(Digest digest) {
			List<OutgoingCall> calls = new ArrayList<>();
			Digest reply;
			synchronized (ThriftPeerNode.this.state) {
				reply = ThriftPeerNode.this.state.onDigest(digest, calls, ThriftPeerNode.this.timer.nanoTime());
			}
			deliverReceived();
			submitCalls(calls);
			return reply;
		}

		@Override
		public long announce(long revision, MemberRecord sender) {
			List<OutgoingCall> calls = new ArrayList<>();
			long number;
			synchronized (ThriftPeerNode.this.state) {
				number = ThriftPeerNode.this.state.onAnnounce(revision, sender, calls,
						ThriftPeerNode.this.timer.nanoTime());
			}
			submitCalls(calls);
			return number;
		}

		@Override
		public RevisionReply fetch(long known) {
			synchronized (ThriftPeerNode.this.state) {
				return ThriftPeerNode.this.state.onFetch(known);
			}
		}

		@Override
		public SyncReply sync(SyncRequest request) {
			synchronized (ThriftPeerNode.this.state) {
				return ThriftPeerNode.this.state.onSync(request);
			}
		}

	}

}
