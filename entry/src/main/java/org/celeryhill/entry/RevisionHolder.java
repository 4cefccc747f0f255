package org.celeryhill.entry;

import java.util.Objects;

import org.celeryhill.base.EventLog;
import org.celeryhill.base.RevisionDocument;
import org.celeryhill.base.TimerService;
import org.celeryhill.config.ParsedRevision;
import org.celeryhill.config.Revision;
import org.celeryhill.config.RevisionParser;
import org.celeryhill.state.AppliedRevision;

/**
 * Holds the configuration revision in force. A revision is applied only if its number is
 * higher than that of the revision in force and not lower than the highest number known
 * to be accepted. Thread-safe.
 */
final class RevisionHolder {

	/** Log of this class. */
	private static final EventLog LOG = EventLog.of(RevisionHolder.class);

	/** Traffic controller, which uses the configuration for admission and routing. */
	private final TrafficDispatcher dispatcher;

	/** Clock. */
	private final TimerService timer;

	/** Metric of the revision number in force. */
	private final EntryMetrics metrics;

	/** Index of the configuration in force. */
	private volatile CallerIndex index = CallerIndex.of(Revision.EMPTY);

	/** Number of the revision in force and highest known number. */
	private volatile AppliedRevision state = AppliedRevision.NONE;

	RevisionHolder(TrafficDispatcher dispatcher, TimerService timer, EntryMetrics metrics) {
		this.dispatcher = Objects.requireNonNull(dispatcher, "dispatcher");
		this.timer = Objects.requireNonNull(timer, "timer");
		this.metrics = Objects.requireNonNull(metrics, "metrics");
	}

	CallerIndex index() {
		return this.index;
	}

	long number() {
		return this.state.applied();
	}

	long highestKnownNumber() {
		return this.state.known();
	}

	/**
	 * Records that a revision was accepted by the system.
	 * @param number the number of the revision
	 */
	synchronized void recordKnown(long number) {
		this.state = this.state.withKnown(number);
	}

	/**
	 * Applies an accepted revision unless a newer one is known.
	 * @param document the revision with its number, not null
	 * @return true if the revision was applied, false if it is outdated or invalid
	 */
	synchronized boolean apply(RevisionDocument document) {
		recordKnown(document.number());
		if (!this.state.canApply(document.number())) {
			return false;
		}
		ParsedRevision parsed = RevisionParser.parse(document);
		if (!parsed.isValid()) {
			LOG.warn("revision_invalid", "number", document.number(), "findings", parsed.findings());
			return false;
		}
		Revision revision = parsed.revision().orElseThrow();
		this.dispatcher.update((traffic) -> traffic.apply(revision, this.timer.nanoTime()));
		this.index = CallerIndex.of(revision);
		this.state = this.state.withApplied(revision.number());
		this.metrics.setRevision(revision.number());
		LOG.info("revision_applied", "number", revision.number());
		this.dispatcher.requestDispatch();
		return true;
	}

}
