package org.celeryhill.entry;

import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;

import org.celeryhill.base.EventLog;
import org.celeryhill.base.RevisionDocument;

/**
 * Follows the configuration head and fetches newer revisions, which it also offers to the
 * peers. While the platform's services are away, revisions come from the peers.
 * Thread-safe.
 */
final class ConfigurationFollower {

	/** Log of this class. */
	private static final EventLog LOG = EventLog.of(ConfigurationFollower.class);

	/** Accepted configurations. */
	private final ConfigurationSource source;

	/** Configuration in force. */
	private final RevisionHolder holder;

	/** Spreads a fetched revision. */
	private final Consumer<RevisionDocument> spread;

	ConfigurationFollower(ConfigurationSource source, RevisionHolder holder, Consumer<RevisionDocument> spread) {
		this.source = Objects.requireNonNull(source, "source");
		this.holder = Objects.requireNonNull(holder, "holder");
		this.spread = Objects.requireNonNull(spread, "spread");
	}

	/** Reads the head and fetches its revision if it is newer. Blocks. */
	void follow() {
		OptionalLong head = this.source.head();
		if (head.isEmpty() || head.getAsLong() == 0) {
			return;
		}
		this.holder.hear(head.getAsLong());
		if (this.holder.number() >= head.getAsLong()) {
			return;
		}
		Optional<RevisionDocument> document = this.source.fetch(head.getAsLong());
		if (document.isEmpty()) {
			LOG.info("revision_not_fetched", "number", head.getAsLong());
			return;
		}
		if (this.holder.apply(document.get())) {
			this.spread.accept(document.get());
		}
	}

}
