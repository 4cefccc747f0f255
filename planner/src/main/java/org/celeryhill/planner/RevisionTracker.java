package org.celeryhill.planner;

import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;

import org.celeryhill.base.EventLog;
import org.celeryhill.base.RevisionDocument;
import org.celeryhill.config.ParsedRevision;
import org.celeryhill.config.Revision;
import org.celeryhill.config.RevisionParser;
import org.celeryhill.state.AppliedRevision;
import org.celeryhill.state.ConfigurationStore;

/**
 * The configuration in effect in this process, from the stores or from peers. Numbers
 * never fall. Thread-safe.
 */
final class RevisionTracker {

	/** Log of this class. */
	private static final EventLog LOG = EventLog.of(RevisionTracker.class);

	/** Accepted configurations. */
	private final ConfigurationStore store;

	/** Configuration in effect. */
	private final AtomicReference<Revision> revision = new AtomicReference<>(Revision.EMPTY);

	/** Number in effect and highest number heard of. */
	private AppliedRevision state = AppliedRevision.NONE;

	RevisionTracker(ConfigurationStore store) {
		this.store = Objects.requireNonNull(store, "store");
	}

	Revision revision() {
		return this.revision.get();
	}

	/**
	 * Reads the head and fetches its revision if it is newer. Blocks.
	 * @return the revision that was fetched, empty if there is none or no answer
	 */
	Optional<RevisionDocument> fetchAndApplyNewer() {
		if (!(this.store.head() instanceof ConfigurationStore.Head read)) {
			return Optional.empty();
		}
		long head = read.head().number();
		if (head > revision().number() && this.store.fetch(head) instanceof ConfigurationStore.Fetched fetched) {
			apply(fetched.document());
			return Optional.of(fetched.document());
		}
		return Optional.empty();
	}

	/**
	 * Applies an accepted revision unless it is older than what is known.
	 * @param document the revision with its number, not null
	 */
	synchronized void apply(RevisionDocument document) {
		this.state = this.state.withKnown(document.number());
		if (!this.state.canApply(document.number())) {
			return;
		}
		ParsedRevision parsed = RevisionParser.parse(document);
		if (!parsed.isValid()) {
			LOG.warn("revision_invalid", "number", document.number(), "findings", parsed.findings());
			return;
		}
		this.revision.set(parsed.revision().orElseThrow());
		this.state = this.state.withApplied(document.number());
		LOG.info("revision_applied", "number", document.number());
	}

}
