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
 * Peer node over Thrift. Thread-safe. Lock order: the protocol state, then the output
 * streams; neither is held during a call to a peer.
 */
public final class ThriftPeerNode implements PeerNode {

	/** Totals that a slow subscriber may lag behind; older ones are dropped. */
	private static final int USAGE_BUFFER = 1024;

	/** Log of this class. */
	private static final EventLog LOG = EventLog.of(ThriftPeerNode.class);

	/** Settings. */
	private final PeerSettings settings;

	/** Source of rounds. */
	private final TimerService timer;

	/** Source of addresses, such as the host list. */
	private final Supplier<List<InetSocketAddress>> seeds;

	/** Protocol state. Guarded by itself. */
	private final GossipState state;

	/** Totals that arrive. Guarded by itself. */
	private final PublishProcessor<UsageTotals> usage = PublishProcessor.create();

	/** Revisions as they become known. Guarded by itself. */
	private final BehaviorProcessor<RevisionDocument> revisions = BehaviorProcessor.create();

	/** Transport. */
	private final ThriftTransport transport;

	/** Rounds; null before the start. */
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
	 * Returns a node that is not started, and opens its port.
	 * @param settings identity and times; port 0 stands for any free port, not null
	 * @param timer the source of rounds, not null
	 * @param seeds returns addresses of other processes, own or dead ones may be among
	 * them; called on each round and must not block, not null
	 * @return the node, never null; to be closed also if it is not started
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
		this.roundSubscription = this.timer.ticks(this.settings.roundPeriod()).startWithItem(0L).subscribe((now) -> runRound());
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
			this.transport.submit(call.target(), (client) -> submitCalls(call, client));
		}
	}

	private void submitCalls(OutgoingCall call, PeerService.Client client) throws org.apache.thrift.TException {
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
	 * Returns where this node listens.
	 * @return the address with the port that is open, never null
	 */
	public InetSocketAddress address() {
		return this.settings.address();
	}

	/**
	 * Returns counts for the state dump.
	 * @return the count by name, never null
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

	/** Serves calls of peers. */
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
