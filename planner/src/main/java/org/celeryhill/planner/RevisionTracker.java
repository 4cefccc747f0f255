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
 * Tracks the configuration revision in effect in this process, which comes from the
 * stores or from peers. The revision number never decreases. Thread-safe.
 */
final class RevisionTracker {

	private static final EventLog LOG = EventLog.of(RevisionTracker.class);

	/** Store of accepted revisions. */
	private final ConfigurationStore store;

	/** Revision in effect. */
	private final AtomicReference<Revision> revision = new AtomicReference<>(Revision.EMPTY);

	/** Number of the revision in effect and highest number known. */
	private AppliedRevision state = AppliedRevision.NONE;

	RevisionTracker(ConfigurationStore store) {
		this.store = Objects.requireNonNull(store, "store");
	}

	Revision revision() {
		return this.revision.get();
	}

	/**
	 * Reads the configuration head and, if it is newer than the revision in effect,
	 * fetches and applies that revision. Blocks.
	 * @return the fetched revision, or empty if there is no newer one or the store did
	 * not respond
	 */
	Optional<RevisionDocument> fetchAndApplyNewer() {
		if (!(this.store.readHead() instanceof ConfigurationStore.Head read)) {
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
	 * Applies an accepted revision unless it is older than the highest known one. An
	 * invalid revision is logged and not applied.
	 * @param document the revision document with its number, not null
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
