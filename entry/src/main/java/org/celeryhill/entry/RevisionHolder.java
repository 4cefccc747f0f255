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
 * The configuration in force. A revision is applied only if its number is higher than the
 * one in force and no lower than the highest number heard of. Thread-safe.
 */
final class RevisionHolder {

	/** Log of this class. */
	private static final EventLog LOG = EventLog.of(RevisionHolder.class);

	/** Takes the configuration for admission and routing. */
	private final TrafficGate gate;

	/** Time. */
	private final TimerService timer;

	/** Shows the number in force. */
	private final EntryMetrics metrics;

	/** Configuration in force. */
	private volatile CallerIndex index = CallerIndex.of(Revision.EMPTY);

	/** Number in force and highest number heard of. */
	private volatile AppliedRevision state = AppliedRevision.NONE;

	RevisionHolder(TrafficGate gate, TimerService timer, EntryMetrics metrics) {
		this.gate = Objects.requireNonNull(gate, "gate");
		this.timer = Objects.requireNonNull(timer, "timer");
		this.metrics = Objects.requireNonNull(metrics, "metrics");
	}

	CallerIndex index() {
		return this.index;
	}

	long number() {
		return this.state.applied();
	}

	long highest() {
		return this.state.known();
	}

	/**
	 * Takes note that a number was accepted.
	 * @param number the number
	 */
	synchronized void hear(long number) {
		this.state = this.state.withKnown(number);
	}

	/**
	 * Applies an accepted revision unless it is older than what is known.
	 * @param document the revision with its number, not null
	 * @return whether it was applied
	 */
	synchronized boolean apply(RevisionDocument document) {
		hear(document.number());
		if (!this.state.canApply(document.number())) {
			return false;
		}
		ParsedRevision parsed = RevisionParser.parse(document);
		if (!parsed.isValid()) {
			LOG.warn("revision_invalid", "number", document.number(), "findings", parsed.findings());
			return false;
		}
		Revision revision = parsed.revision().orElseThrow();
		this.gate.update((inner) -> inner.apply(revision, this.timer.nanoTime()));
		this.index = CallerIndex.of(revision);
		this.state = this.state.withApplied(revision.number());
		this.metrics.revision(revision.number());
		LOG.info("revision_applied", "number", revision.number());
		this.gate.wake();
		return true;
	}

}
