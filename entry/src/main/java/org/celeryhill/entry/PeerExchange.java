package org.celeryhill.entry;

import java.util.Objects;

import io.reactivex.rxjava3.disposables.CompositeDisposable;
import org.celeryhill.base.TimerService;
import org.celeryhill.base.UsageTotals;
import org.celeryhill.peer.PeerNode;

/**
 * Exchanges data with the peer processes of the system: receives and publishes usage
 * totals, and applies the configuration revisions that peers offer. Thread-safe.
 */
final class PeerExchange implements AutoCloseable {

	/** Peer node of this process. */
	private final PeerNode node;

	/** Provides the usage of this daemon and receives that of the peers. */
	private final TrafficDispatcher dispatcher;

	/** Applies revisions. */
	private final RevisionHolder revisions;

	/** Clock. */
	private final TimerService timer;

	/** Subscriptions to the peers. */
	private final CompositeDisposable subscriptions = new CompositeDisposable();

	PeerExchange(PeerNode node, TrafficDispatcher dispatcher, RevisionHolder revisions, TimerService timer) {
		this.node = Objects.requireNonNull(node, "node");
		this.dispatcher = Objects.requireNonNull(dispatcher, "dispatcher");
		this.revisions = Objects.requireNonNull(revisions, "revisions");
		this.timer = Objects.requireNonNull(timer, "timer");
	}

	void start() {
		this.subscriptions.add(this.node.usage().subscribe(this::onUsage));
		this.subscriptions.add(this.node.revisions().subscribe(this.revisions::apply));
		this.node.start();
	}

	private void onUsage(UsageTotals totals) {
		this.dispatcher.update((traffic) -> traffic.recordPeerUsage(totals, this.timer.nanoTime()));
	}

	/** Publishes the usage totals of this daemon to the peers. */
	void publishUsage() {
		this.node.publishUsage(this.dispatcher.withLock((traffic) -> traffic.nextUsageTotals(this.timer.nanoTime())));
	}

	PeerNode node() {
		return this.node;
	}

	@Override
	public void close() {
		this.subscriptions.dispose();
		this.node.close();
	}

}
