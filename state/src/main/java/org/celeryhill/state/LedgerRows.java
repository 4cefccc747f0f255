package org.celeryhill.state;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

import org.celeryhill.base.AttemptId;
import org.celeryhill.base.BackendServerId;
import org.celeryhill.base.TimerService;
import org.celeryhill.port.Engine.CommandResult;
import org.celeryhill.port.EngineReport;
import org.celeryhill.port.Row;
import org.celeryhill.port.RowKey;
import org.celeryhill.port.RowWrite;
import org.celeryhill.port.TableService;

/**
 * Reads and writes the rows of the command ledgers for one process, and adds the pending
 * send outcomes of the process to each row that it writes. Thread-safe.
 */
final class LedgerRows {

	/** Writer of the rows. */
	private final ConditionalWriter writer;

	/** Monotonic clock of this process. */
	private final TimerService timer;

	/** This process. */
	private final SenderId sender;

	/** In-memory state of this process, by engine. */
	private final Map<BackendServerId, LocalLedgerState> localStates = new ConcurrentHashMap<>();

	LedgerRows(ConditionalWriter writer, TimerService timer, SenderId sender) {
		this.writer = writer;
		this.timer = timer;
		this.sender = sender;
	}

	/**
	 * Reads a row.
	 * @param engine the engine
	 * @return the row, or the reason why it could not be read
	 */
	RowSnapshot read(BackendServerId engine) {
		TableService.ReadResult result = this.writer.read(RowKey.of(CommandLedgerStore.TABLE, engine.value()));
		if (result instanceof TableService.ReadFailed failed) {
			return RowSnapshot.failed(engine, failed.reason());
		}
		Optional<Row> row = (result instanceof TableService.Found found) ? Optional.of(found.row()) : Optional.empty();
		Optional<EngineLedger> stored = row.map(Row::value)
			.map((text) -> StateJson.read(text, EngineLedger.class))
			.orElse(Optional.of(EngineLedger.empty(engine)));
		if (stored.isEmpty()) {
			return RowSnapshot.failed(engine, "malformed row of ledger " + engine);
		}
		LocalLedgerState localState = localState(engine);
		localState.observe(stored.get(), this.timer.nanoTime());
		Map<AttemptId, CommandResult> pendingOutcomes = localState.pendingOutcomes();
		return new RowSnapshot(row, stored.get(), applyOutcomes(stored.get(), pendingOutcomes), pendingOutcomes,
				Optional.empty());
	}

	private EngineLedger applyOutcomes(EngineLedger stored, Map<AttemptId, CommandResult> pendingOutcomes) {
		EngineLedger ledger = stored.closeSendersExcept(this.sender.host(), this.sender);
		for (Map.Entry<AttemptId, CommandResult> pendingOutcome : pendingOutcomes.entrySet()) {
			ledger = ledger.closeSender(pendingOutcome.getKey(), this.sender, pendingOutcome.getValue());
		}
		return ledger;
	}

	/**
	 * Writes changed ledgers in one transaction.
	 * @param changes the ledgers; the row of the first one is read back if the write gets
	 * no response
	 * @return the outcome
	 */
	ConditionalWriter.Outcome write(Change... changes) {
		List<RowWrite> writes = new ArrayList<>();
		for (Change change : changes) {
			String json = StateJson.write(change.newLedger());
			RowKey key = RowKey.of(CommandLedgerStore.TABLE, change.newLedger().engine().value());
			writes.add(change.snapshot()
				.row()
				.map((row) -> RowWrite.replace(row, json))
				.orElseGet(() -> RowWrite.create(key, json)));
		}
		ConditionalWriter.Outcome outcome = this.writer.writeAll(writes);
		if (outcome instanceof ConditionalWriter.Applied) {
			for (Change change : changes) {
				localState(change.newLedger().engine()).removeOutcomes(change.snapshot().pendingOutcomes());
			}
		}
		return outcome;
	}

	/**
	 * Returns whether a report is not older than a ledger. If the incarnations differ,
	 * the report counts as newer if it was requested after this process had first read
	 * the incarnation of the ledger from the row.
	 * @param ledger the ledger in the row
	 * @param report the report of the engine
	 * @param requestedNanos the monotonic time at which the report was requested, in
	 * nanoseconds
	 * @return true if the report can be used
	 */
	boolean isCurrent(EngineLedger ledger, EngineReport report, long requestedNanos) {
		if (ledger.incarnation().isEmpty() || report.incarnation().equals(ledger.incarnation())) {
			return !ledger.isOlder(report);
		}
		return localState(ledger.engine()).isAfterFirstRead(ledger.incarnation(), requestedNanos);
	}

	/**
	 * Returns the in-memory state for an engine.
	 * @param engine the engine
	 * @return the state, created on the first call
	 */
	LocalLedgerState localState(BackendServerId engine) {
		return this.localStates.computeIfAbsent(engine, (key) -> new LocalLedgerState());
	}

	/**
	 * Returns the failure of a write, if any.
	 * @param outcome the outcome
	 * @return the failure, or empty if the write took effect or met a version conflict
	 */
	static Optional<StoreUnavailable> toFailure(ConditionalWriter.Outcome outcome) {
		if (outcome instanceof ConditionalWriter.NotApplied failed) {
			return Optional.of(StoreUnavailable.nothingWritten(failed.reason()));
		}
		if (outcome instanceof ConditionalWriter.Unresolved failed) {
			return Optional.of(StoreUnavailable.outcomeUnknown(failed.reason()));
		}
		return Optional.empty();
	}

	/**
	 * A row as read, or the reason why it could not be read, with the pending changes of
	 * this process.
	 *
	 * @param row the row, empty if it does not exist
	 * @param storedLedger the ledger in the row
	 * @param currentLedger the ledger in the row with the pending outcomes applied and
	 * the senders of earlier processes of this host closed
	 * @param pendingOutcomes the pending outcomes that were applied, by command
	 * @param failure the failure of the read, empty if it succeeded
	 */
	record RowSnapshot(Optional<Row> row, EngineLedger storedLedger, EngineLedger currentLedger,
			Map<AttemptId, CommandResult> pendingOutcomes, Optional<StoreUnavailable> failure) {

		private static RowSnapshot failed(BackendServerId engine, String reason) {
			EngineLedger empty = EngineLedger.empty(engine);
			return new RowSnapshot(Optional.empty(), empty, empty, Map.of(),
					Optional.of(StoreUnavailable.nothingWritten(reason)));
		}

	}

	/**
	 * A ledger to write over a row that was read.
	 *
	 * @param snapshot the row as read
	 * @param newLedger the ledger to write
	 */
	record Change(RowSnapshot snapshot, EngineLedger newLedger) {

	}

}
