package org.celeryhill.state;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.celeryhill.base.AttemptId;
import org.celeryhill.port.Engine.CommandResult;

/**
 * State that a process keeps in memory about the command ledger of one engine: the
 * outcomes of sends that are not yet written to the row, and when the process first saw
 * the incarnation and the finished commands in the row. Thread-safe.
 */
final class LocalLedgerState {

	/** Outcomes of sends that are not in the row yet, by command. Guarded by this. */
	private final Map<AttemptId, CommandResult> pendingOutcomes = new HashMap<>();

	/**
	 * When a command was first seen finished and without open senders. Guarded by this.
	 */
	private final Map<AttemptId, Long> firstSeenFinishedNanos = new HashMap<>();

	/** Engine incarnation in the row as last read. Guarded by this. */
	private String incarnation = "";

	/** When the row was first seen with this incarnation. Guarded by this. */
	private long incarnationFirstSeenNanos;

	/**
	 * Adds the outcome of a send. It is kept until it has been written to the row.
	 * @param command the command
	 * @param result the outcome of the send
	 */
	synchronized void addOutcome(AttemptId command, CommandResult result) {
		this.pendingOutcomes.put(command, result);
	}

	/**
	 * Discards the pending outcome of a command that is about to be sent again.
	 * @param command the command
	 */
	synchronized void discardOutcome(AttemptId command) {
		this.pendingOutcomes.remove(command);
	}

	/**
	 * Returns the outcomes that are not in the row yet.
	 * @return a copy of the outcomes by command
	 */
	synchronized Map<AttemptId, CommandResult> pendingOutcomes() {
		return Map.copyOf(this.pendingOutcomes);
	}

	/**
	 * Removes outcomes that have been written to the row.
	 * @param written the outcomes that were written
	 */
	synchronized void removeOutcomes(Map<AttemptId, CommandResult> written) {
		written.forEach(this.pendingOutcomes::remove);
	}

	/**
	 * Updates the times at which the incarnation and the finished commands of the row
	 * were first seen.
	 * @param ledger the ledger of the row
	 * @param nowNanos the monotonic time after the read, in nanoseconds
	 */
	synchronized void observe(EngineLedger ledger, long nowNanos) {
		if (!ledger.incarnation().equals(this.incarnation)) {
			this.incarnation = ledger.incarnation();
			this.incarnationFirstSeenNanos = nowNanos;
		}
		Set<AttemptId> finished = ledger.entries()
			.stream()
			.filter((entry) -> !entry.isOutstanding() && entry.hasNoOpenSenders())
			.map(LedgerEntry::id)
			.collect(Collectors.toSet());
		this.firstSeenFinishedNanos.keySet().retainAll(finished);
		finished.forEach((command) -> this.firstSeenFinishedNanos.putIfAbsent(command, nowNanos));
	}

	/**
	 * Returns whether a report was requested after this process had first read an
	 * incarnation from the row. The engine then ran that incarnation before the one of
	 * the report.
	 * @param rowIncarnation the engine incarnation in the row
	 * @param requestedNanos the monotonic time at which the report was requested, in
	 * nanoseconds
	 * @return true if the report is newer than the row
	 */
	synchronized boolean isAfterFirstRead(String rowIncarnation, long requestedNanos) {
		return rowIncarnation.equals(this.incarnation) && requestedNanos - this.incarnationFirstSeenNanos > 0;
	}

	/**
	 * Returns the finished commands of which no duplicate could arrive any more when a
	 * report was requested. An older report may lack a resident that a late duplicate has
	 * loaded since.
	 * @param requestedNanos the monotonic time at which the report was requested, in
	 * nanoseconds
	 * @param copyBound how long after the end of a send a duplicate of the command may
	 * still arrive
	 * @return the commands
	 */
	synchronized Set<AttemptId> findExpired(long requestedNanos, Duration copyBound) {
		return this.firstSeenFinishedNanos.entrySet()
			.stream()
			.filter((entry) -> requestedNanos - entry.getValue() >= copyBound.toNanos())
			.map(Map.Entry::getKey)
			.collect(Collectors.toSet());
	}

}
