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
 * Rows of the command ledgers as one process reads and writes them, with what it has to
 * add to each row. Thread-safe.
 */
final class LedgerRows {

	/** Writer of the rows. */
	private final ConditionalWriter writer;

	/** Time of this process. */
	private final TimerService timer;

	/** This process. */
	private final SenderId sender;

	/** What this process has seen and not yet written, by engine. */
	private final Map<BackendServerId, LedgerMemory> memories = new ConcurrentHashMap<>();

	LedgerRows(ConditionalWriter writer, TimerService timer, SenderId sender) {
		this.writer = writer;
		this.timer = timer;
		this.sender = sender;
	}

	/**
	 * Reads a row.
	 * @param engine the engine
	 * @return the row, or why it could not be read
	 */
	Loading read(BackendServerId engine) {
		TableService.ReadResult result = this.writer.read(RowKey.of(CommandLedgerStore.TABLE, engine.value()));
		if (result instanceof TableService.ReadFailed failed) {
			return Loading.failed(engine, failed.reason());
		}
		Optional<Row> row = (result instanceof TableService.Found found) ? Optional.of(found.row()) : Optional.empty();
		Optional<EngineLedger> stored = row.map(Row::value)
			.map((text) -> StateJson.read(text, EngineLedger.class))
			.orElse(Optional.of(EngineLedger.empty(engine)));
		if (stored.isEmpty()) {
			return Loading.failed(engine, "malformed row of ledger " + engine);
		}
		LedgerMemory memory = memory(engine);
		memory.observe(stored.get(), this.timer.nanoTime());
		Map<AttemptId, CommandResult> closures = memory.closures();
		return new Loading(row, stored.get(), prepared(stored.get(), closures), closures, Optional.empty());
	}

	private EngineLedger prepared(EngineLedger stored, Map<AttemptId, CommandResult> closures) {
		EngineLedger ledger = stored.closeSendersExcept(this.sender.host(), this.sender);
		for (Map.Entry<AttemptId, CommandResult> closure : closures.entrySet()) {
			ledger = ledger.closeSender(closure.getKey(), this.sender, closure.getValue());
		}
		return ledger;
	}

	/**
	 * Writes changed ledgers in one transaction.
	 * @param changes the ledgers, the first is read back if there is no answer
	 * @return the outcome
	 */
	ConditionalWriter.Outcome write(Change... changes) {
		List<RowWrite> writes = new ArrayList<>();
		for (Change change : changes) {
			String json = StateJson.write(change.next());
			RowKey key = RowKey.of(CommandLedgerStore.TABLE, change.next().engine().value());
			writes.add(change.loading()
				.row()
				.map((row) -> RowWrite.replace(row, json))
				.orElseGet(() -> RowWrite.create(key, json)));
		}
		ConditionalWriter.Outcome outcome = this.writer.writeAll(writes);
		if (outcome instanceof ConditionalWriter.Applied) {
			for (Change change : changes) {
				memory(change.next().engine()).forget(change.loading().closures());
			}
		}
		return outcome;
	}

	/**
	 * Returns whether a report is not older than the ledger. Of two incarnations the one
	 * of the report is newer if it was asked for after this process had seen the other
	 * one in the row.
	 * @param ledger the ledger of the row
	 * @param report the report
	 * @param requestedNanos when the report was asked for, in nanoseconds
	 * @return true if the report can be used
	 */
	boolean isNewer(EngineLedger ledger, EngineReport report, long requestedNanos) {
		if (ledger.incarnation().isEmpty() || report.incarnation().equals(ledger.incarnation())) {
			return !ledger.isOlder(report);
		}
		return memory(ledger.engine()).isAfterFirstSight(ledger.incarnation(), requestedNanos);
	}

	/**
	 * Returns what this process remembers of an engine.
	 * @param engine the engine
	 * @return the memory
	 */
	LedgerMemory memory(BackendServerId engine) {
		return this.memories.computeIfAbsent(engine, (key) -> new LedgerMemory());
	}

	/**
	 * Returns the failure of a write.
	 * @param outcome the outcome
	 * @return the failure, or empty if the write applied or was overtaken
	 */
	static Optional<StoreUnavailable> failure(ConditionalWriter.Outcome outcome) {
		if (outcome instanceof ConditionalWriter.NotApplied failed) {
			return Optional.of(StoreUnavailable.unchanged(failed.reason()));
		}
		if (outcome instanceof ConditionalWriter.Unresolved failed) {
			return Optional.of(StoreUnavailable.unknown(failed.reason()));
		}
		return Optional.empty();
	}

	/**
	 * A row as read, and as this process would write it before the rule is applied.
	 *
	 * @param row the row, empty if it does not exist
	 * @param ledger the ledger of the row
	 * @param prepared the ledger with what this process has to add
	 * @param closures the outcomes that are added
	 * @param failure the failure of the read, empty if it succeeded
	 */
	record Loading(Optional<Row> row, EngineLedger ledger, EngineLedger prepared,
			Map<AttemptId, CommandResult> closures, Optional<StoreUnavailable> failure) {

		private static Loading failed(BackendServerId engine, String reason) {
			EngineLedger empty = EngineLedger.empty(engine);
			return new Loading(Optional.empty(), empty, empty, Map.of(),
					Optional.of(StoreUnavailable.unchanged(reason)));
		}

	}

	/**
	 * A ledger to write.
	 *
	 * @param loading the row as read
	 * @param next the ledger to write
	 */
	record Change(Loading loading, EngineLedger next) {

	}

}
