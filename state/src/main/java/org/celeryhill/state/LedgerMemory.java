package org.celeryhill.state;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.celeryhill.base.AttemptId;
import org.celeryhill.port.Engine.CommandResult;

/**
 * What one process has seen of one engine's ledger and has not yet written. Thread-safe.
 */
final class LedgerMemory {

	/** Outcomes of sendings that are not in the row yet. Guarded by this. */
	private final Map<AttemptId, CommandResult> closures = new HashMap<>();

	/** When commands were first seen finished and closed. Guarded by this. */
	private final Map<AttemptId, Long> finishedNanos = new HashMap<>();

	/** Incarnation of the row when it was last read. Guarded by this. */
	private String incarnation = "";

	/** When the row was first seen with this incarnation. Guarded by this. */
	private long incarnationNanos;

	/**
	 * Keeps the outcome of a sending until it is written.
	 * @param command the command
	 * @param result the outcome
	 */
	synchronized void close(AttemptId command, CommandResult result) {
		this.closures.put(command, result);
	}

	/**
	 * Forgets the outcome of a sending since the command is about to be sent again.
	 * @param command the command
	 */
	synchronized void reopen(AttemptId command) {
		this.closures.remove(command);
	}

	/**
	 * Returns the outcomes that are not written yet.
	 * @return a copy
	 */
	synchronized Map<AttemptId, CommandResult> closures() {
		return Map.copyOf(this.closures);
	}

	/**
	 * Forgets outcomes that were written.
	 * @param written the outcomes
	 */
	synchronized void forget(Map<AttemptId, CommandResult> written) {
		written.forEach(this.closures::remove);
	}

	/**
	 * Takes note of the row as read.
	 * @param ledger the ledger of the row
	 * @param nowNanos the time after the read, in nanoseconds
	 */
	synchronized void observe(EngineLedger ledger, long nowNanos) {
		if (!ledger.incarnation().equals(this.incarnation)) {
			this.incarnation = ledger.incarnation();
			this.incarnationNanos = nowNanos;
		}
		Set<AttemptId> finished = ledger.entries()
			.stream()
			.filter((entry) -> !entry.isOutstanding() && entry.hasNoOpenSenders())
			.map(LedgerEntry::id)
			.collect(Collectors.toSet());
		this.finishedNanos.keySet().retainAll(finished);
		finished.forEach((command) -> this.finishedNanos.putIfAbsent(command, nowNanos));
	}

	/**
	 * Returns whether a report was asked for after this process had seen the row rest on
	 * an incarnation. The engine then ran that incarnation earlier than the one of the
	 * report.
	 * @param rowIncarnation the incarnation of the row
	 * @param requestedNanos when the report was asked for, in nanoseconds
	 * @return true if the report is newer than the row
	 */
	synchronized boolean isAfterFirstSight(String rowIncarnation, long requestedNanos) {
		return rowIncarnation.equals(this.incarnation) && requestedNanos - this.incarnationNanos > 0;
	}

	/**
	 * Returns the finished commands of which every copy had arrived when a report was
	 * asked for. An older report may lack a resident that a copy has loaded since.
	 * @param requestedNanos when the report was asked for, in nanoseconds
	 * @param copyBound how long copies may travel after the end of a sending
	 * @return the commands
	 */
	synchronized Set<AttemptId> expired(long requestedNanos, Duration copyBound) {
		return this.finishedNanos.entrySet()
			.stream()
			.filter((entry) -> requestedNanos - entry.getValue() >= copyBound.toNanos())
			.map(Map.Entry::getKey)
			.collect(Collectors.toSet());
	}

}
