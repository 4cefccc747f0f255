package org.celeryhill.entry;

import java.util.Objects;
import java.util.function.Consumer;

import org.celeryhill.base.EventLog;
import org.celeryhill.base.RevisionDocument;
import org.celeryhill.state.ConfigurationStore;

/**
 * Follows the configuration head and fetches newer revisions, which it also offers to the
 * peers. While the platform's services are away, revisions come from the peers.
 * Thread-safe.
 */
final class ConfigurationFollower {

	/** Log of this class. */
	private static final EventLog LOG = EventLog.of(ConfigurationFollower.class);

	/** Accepted configurations. */
	private final ConfigurationStore store;

	/** Configuration in force. */
	private final RevisionHolder holder;

	/** Spreads a fetched revision. */
	private final Consumer<RevisionDocument> spread;

	ConfigurationFollower(ConfigurationStore store, RevisionHolder holder, Consumer<RevisionDocument> spread) {
		this.store = Objects.requireNonNull(store, "store");
		this.holder = Objects.requireNonNull(holder, "holder");
		this.spread = Objects.requireNonNull(spread, "spread");
	}

	/** Reads the head and fetches its revision if it is newer. Blocks. */
	void follow() {
		if (!(this.store.readHead() instanceof ConfigurationStore.Head read)) {
			return;
		}
		long head = read.head().number();
		this.holder.hear(head);
		if (this.holder.number() >= head) {
			return;
		}
		if (this.store.fetch(head) instanceof ConfigurationStore.Fetched fetched) {
			if (this.holder.apply(fetched.document())) {
				this.spread.accept(fetched.document());
			}
			return;
		}
		LOG.info("revision_not_fetched", "number", head);
	}

}
