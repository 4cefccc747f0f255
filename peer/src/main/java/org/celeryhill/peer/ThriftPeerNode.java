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
	private volatile Disposable ticks;

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
		this.transport.serve(new Handler());
		this.ticks = this.timer.ticks(this.settings.round()).startWithItem(0L).subscribe((now) -> tick());
		LOG.info("peer_started", "host", this.settings.host(), "address", this.settings.address());
	}

	private void tick() {
		List<InetSocketAddress> others = new ArrayList<>(this.seeds.get());
		others.remove(this.settings.address());
		List<Outgoing> calls;
		synchronized (this.state) {
			calls = this.state.tick(others, this.timer.nanoTime());
		}
		make(calls);
	}

	private void make(List<Outgoing> calls) {
		for (Outgoing call : calls) {
			this.transport.submit(call.target(), (client) -> make(call, client));
		}
	}

	private void make(Outgoing call, PeerService.Client client) throws org.apache.thrift.TException {
		List<Outgoing> more = new ArrayList<>();
		if (call instanceof Outgoing.Exchange exchange) {
			Digest reply = client.exchange(exchange.digest());
			synchronized (this.state) {
				this.state.onReply(reply, more, this.timer.nanoTime());
			}
		}
		else if (call instanceof Outgoing.Announce announce) {
			long number = client.announce(announce.revision(), announce.sender());
			synchronized (this.state) {
				this.state.onAnnounceReply(number, announce.target(), more, this.timer.nanoTime());
			}
		}
		else if (call instanceof Outgoing.Fetch fetch) {
			RevisionReply reply = client.fetch(fetch.known());
			synchronized (this.state) {
				this.state.onFetchReply(reply, more, this.timer.nanoTime());
			}
		}
		else if (call instanceof Outgoing.Sync sync) {
			SyncReply reply = client.sync(sync.request());
			synchronized (this.state) {
				this.state.onSyncReply(reply, this.timer.nanoTime());
			}
		}
		deliver();
		make(more);
	}

	private void deliver() {
		List<UsageTotals> arrived;
		Optional<RevisionDocument> revision;
		synchronized (this.state) {
			arrived = this.state.takeArrived();
			revision = this.state.revision();
		}
		synchronized (this.usage) {
			arrived.forEach(this.usage::onNext);
		}
		revision.ifPresent(this::emit);
	}

	private void emit(RevisionDocument document) {
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
			return this.state.alive(this.timer.nanoTime());
		}
	}

	@Override
	public void publish(UsageTotals totals) {
		Objects.requireNonNull(totals, "totals");
		synchronized (this.state) {
			this.state.publish(totals);
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
		List<Outgoing> calls = new ArrayList<>();
		synchronized (this.state) {
			this.state.offer(revision, calls, this.timer.nanoTime());
		}
		deliver();
		make(calls);
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
	public ByteCounters counters() {
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
		Disposable rounds = this.ticks;
		if (rounds == null) {
			this.transport.close();
			return;
		}
		if (rounds.isDisposed()) {
			return;
		}
		rounds.dispose();
		List<Outgoing> calls;
		synchronized (this.state) {
			calls = this.state.leave(this.timer.nanoTime());
		}
		make(calls);
		this.transport.close();
		LOG.info("peer_stopped", "host", this.settings.host());
	}

	/** Serves calls of peers. */
	private final class Handler implements PeerService.Iface {

		@Override
		public Digest exchange(Digest digest) {
			List<Outgoing> calls = new ArrayList<>();
			Digest reply;
			synchronized (ThriftPeerNode.this.state) {
				reply = ThriftPeerNode.this.state.onDigest(digest, calls, ThriftPeerNode.this.timer.nanoTime());
			}
			deliver();
			make(calls);
			return reply;
		}

		@Override
		public long announce(long revision, MemberRecord sender) {
			List<Outgoing> calls = new ArrayList<>();
			long number;
			synchronized (ThriftPeerNode.this.state) {
				number = ThriftPeerNode.this.state.onAnnounce(revision, sender, calls,
						ThriftPeerNode.this.timer.nanoTime());
			}
			make(calls);
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
