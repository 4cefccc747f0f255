package org.celeryhill.entry;

import java.util.Objects;
import java.util.function.Consumer;

import org.celeryhill.base.EventLog;
import org.celeryhill.base.RevisionDocument;
import org.celeryhill.state.ConfigurationStore;

/**
 * Polls the number of the latest accepted configuration revision, fetches newer revisions
 * and offers them to the peers. While the platform's services are unavailable, revisions
 * are only received from the peers. Thread-safe.
 */
final class ConfigurationFollower {

	/** Log of this class. */
	private static final EventLog LOG = EventLog.of(ConfigurationFollower.class);

	/** Store of accepted revisions. */
	private final ConfigurationStore store;

	/** Holds the configuration in force. */
	private final RevisionHolder holder;

	/** Offers a fetched revision to the peers. */
	private final Consumer<RevisionDocument> offerToPeers;

	ConfigurationFollower(ConfigurationStore store, RevisionHolder holder, Consumer<RevisionDocument> offerToPeers) {
		this.store = Objects.requireNonNull(store, "store");
		this.holder = Objects.requireNonNull(holder, "holder");
		this.offerToPeers = Objects.requireNonNull(offerToPeers, "offerToPeers");
	}

	/** Fetches and applies the latest accepted revision if it is newer. Blocks. */
	void refresh() {
		if (!(this.store.readHead() instanceof ConfigurationStore.Head read)) {
			return;
		}
		long head = read.head().number();
		this.holder.recordKnown(head);
		if (this.holder.number() >= head) {
			return;
		}
		if (this.store.fetch(head) instanceof ConfigurationStore.Fetched fetched) {
			if (this.holder.apply(fetched.document())) {
				this.offerToPeers.accept(fetched.document());
			}
			return;
		}
		LOG.info("revision_not_fetched", "number", head);
	}

}
