package org.celeryhill.entry;

import java.util.Objects;

import io.reactivex.rxjava3.disposables.CompositeDisposable;
import org.celeryhill.base.TimerService;
import org.celeryhill.base.UsageTotals;
import org.celeryhill.peer.PeerNode;

/**
 * Connects the traffic controller and the configuration with the other processes of the
 * system: usage totals in both directions, revisions as they become known. Thread-safe.
 */
final class PeerExchange implements AutoCloseable {

	/** Other processes. */
	private final PeerNode peers;

	/** Usage. */
	private final TrafficGate gate;

	/** Configuration. */
	private final RevisionHolder revisions;

	/** Time. */
	private final TimerService timer;

	/** Subscriptions to the peers. */
	private final CompositeDisposable subscriptions = new CompositeDisposable();

	PeerExchange(PeerNode peers, TrafficGate gate, RevisionHolder revisions, TimerService timer) {
		this.peers = Objects.requireNonNull(peers, "peers");
		this.gate = Objects.requireNonNull(gate, "gate");
		this.revisions = Objects.requireNonNull(revisions, "revisions");
		this.timer = Objects.requireNonNull(timer, "timer");
	}

	void start() {
		this.subscriptions.add(this.peers.usage().subscribe(this::onUsage));
		this.subscriptions.add(this.peers.revisions().subscribe(this.revisions::apply));
		this.peers.start();
	}

	private void onUsage(UsageTotals totals) {
		this.gate.update((inner) -> inner.recordPeerUsage(totals, this.timer.nanoTime()));
	}

	/** Publishes the usage of this daemon. */
	void publish() {
		this.peers.publishUsage(this.gate.locked((inner) -> inner.nextUsageTotals(this.timer.nanoTime())));
	}

	PeerNode peers() {
		return this.peers;
	}

	@Override
	public void close() {
		this.subscriptions.dispose();
		this.peers.close();
	}

}
