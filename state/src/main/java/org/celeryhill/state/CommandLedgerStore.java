package org.celeryhill.state;

import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.UnaryOperator;

import org.celeryhill.base.AttemptId;
import org.celeryhill.base.BackendServerId;
import org.celeryhill.base.HostId;
import org.celeryhill.base.ModelId;
import org.celeryhill.base.TimerService;
import org.celeryhill.port.Engine.CommandResult;
import org.celeryhill.port.EngineCommand;
import org.celeryhill.port.EngineReport;
import org.celeryhill.port.Row;
import org.celeryhill.port.TableService;

/**
 * Store of the command ledgers, in the table {@code ledger} with one row per engine. A
 * command is sent in three steps: record it with {@link #record} or {@link #resend}, send
 * the returned command once, and then report the outcome with {@link #finishSend}, or
 * call {@link #abandon} if nothing was sent. Rows are changed by conditional writes, so
 * if two planners decide on the same state, only one of them records its command and the
 * other decides again on the changed row. Every operation blocks while the
 * {@link ConditionalWriter} makes its bounded tries, and does not throw an exception if
 * the store fails. Thread-safe.
 */
public final class CommandLedgerStore {

	/** Name of the table. */
	public static final String TABLE = "ledger";

	/**
	 * Default copy bound, which is how long after the end of a send a duplicate of a
	 * finished command may still arrive. Commands are sent over TCP with timeouts of a
	 * few seconds.
	 */
	public static final Duration DEFAULT_COPY_BOUND = Duration.ofSeconds(60);

	/**
	 * Maximum number of read and write rounds of an operation when other writers change
	 * the row.
	 */
	private static final int MAX_ROUNDS = 4;

	/** Writer of the rows. */
	private final ConditionalWriter writer;

	/** Monotonic clock of this process. */
	private final TimerService timer;

	/** This process. */
	private final SenderId sender;

	/** How long after the end of a send a duplicate of the command may still arrive. */
	private final Duration copyBound;

	/** Rows of the ledgers. */
	private final LedgerRows rows;

	private CommandLedgerStore(ConditionalWriter writer, TimerService timer, HostId host, Duration copyBound) {
		this.writer = Objects.requireNonNull(writer, "writer");
		this.timer = Objects.requireNonNull(timer, "timer");
		this.copyBound = Objects.requireNonNull(copyBound, "copyBound");
		this.sender = new SenderId(host, writer.nextAttemptId());
		this.rows = new LedgerRows(writer, timer, this.sender);
	}

	/**
	 * Returns the store for one process. At most one such process may run on a host at a
	 * time, because the first write of a row by this process closes the senders of
	 * earlier processes of the host.
	 * @param writer the writer of the rows, not null
	 * @param timer the monotonic clock of this process, not null
	 * @param host the host of this process, not null
	 * @param copyBound how long after the end of a send a duplicate of the command may
	 * still arrive, not null
	 * @return the store, never null
	 */
	public static CommandLedgerStore create(ConditionalWriter writer, TimerService timer, HostId host,
			Duration copyBound) {
		return new CommandLedgerStore(writer, timer, host, copyBound);
	}

	/**
	 * Records a command that the caller is about to send. The command may be sent only
	 * after {@link Recorded}, and only once. If the store is unavailable, the method
	 * returns {@link StoreUnavailable} and nothing may be sent; the command then counts
	 * as abandoned, even if its write takes effect late.
	 * @param lease the lease on the engine's group, not null
	 * @param command the command, with the token of the lease, not null
	 * @param report the report of the engine from which the command was decided, not null
	 * @param requestedNanos when the report was requested, on the monotonic clock of this
	 * process, in nanoseconds
	 * @return the result
	 * @throws IllegalArgumentException if the token is not that of the lease
	 */
	public RecordResult record(Lease lease, EngineCommand command, EngineReport report, long requestedNanos) {
		if (!command.token().equals(lease.token())) {
			throw new IllegalArgumentException(
					"command " + command.attempt() + " does not have the token of the lease");
		}
		return recordIfAdmitted(lease, command, (ledger) -> {
			if (!this.rows.isCurrent(ledger, report, requestedNanos)) {
				return new EngineLedger.Denied(EngineLedger.Reason.STALE_REPORT, report.incarnation());
			}
			return ledger.settled(report).admit(command, report, this.sender);
		});
	}

	/**
	 * Records an unload of a model that has to stay reachable through a keeper, an engine
	 * on which the same model, or its successor after a version change, stays ready. The
	 * rows of both engines are written in one transaction. A planner that was paused past
	 * the expiry of its lease therefore cannot unload the model from the keeper, because
	 * its write finds the row of the keeper changed. Otherwise this method works as
	 * {@link #record}, which is used for unloads of models that need not stay reachable.
	 * @param lease the lease on the engine's group, not null
	 * @param command the unload, with the token of the lease, not null
	 * @param report the report of the engine that unloads the model, not null
	 * @param keptModel the model that stays ready, which may be the unloaded one only if
	 * the keeper is another engine, not null
	 * @param keeperReport the report of the keeper, not null
	 * @param requestedNanos when the earlier of the two reports was requested, on the
	 * monotonic clock of this process, in nanoseconds
	 * @return the result
	 * @throws IllegalArgumentException if the token is not that of the lease, the command
	 * is not an unload, or it would unload the kept model from the keeper
	 */
	public RecordResult recordReplicaRemoval(Lease lease, EngineCommand command, EngineReport report, ModelId keptModel,
			EngineReport keeperReport, long requestedNanos) {
		boolean isSameEngine = keeperReport.engine().equals(command.engine());
		boolean isKeeperUnloaded = isSameEngine && keptModel.equals(command.model());
		if (!command.token().equals(lease.token()) || !command.action().isUnload() || isKeeperUnloaded) {
			throw new IllegalArgumentException(
					"removal must be an unload that has the token of the lease and leaves the kept model loaded: "
							+ command);
		}
		boolean mayBeWritten = false;
		for (int round = 0; round < MAX_ROUNDS; round++) {
			if (!lease.isUsable(this.timer.nanoTime())) {
				return refused(command, EngineLedger.Reason.LEASE_EXPIRED, lease.name().value(), mayBeWritten);
			}
			LedgerRows.RowSnapshot removalSnapshot = this.rows.read(command.engine());
			LedgerRows.RowSnapshot keeperSnapshot = this.rows.read(keeperReport.engine());
			Optional<StoreUnavailable> readFailure = removalSnapshot.failure().or(keeperSnapshot::failure);
			if (readFailure.isPresent()) {
				return failed(command, readFailure.get().withPossibleWrite(mayBeWritten));
			}
			if (round > 0 && isRecordedByThisProcess(removalSnapshot.storedLedger(), command)) {
				this.rows.localState(command.engine()).discardOutcome(command.attempt());
				return new Recorded(command);
			}
			boolean isCurrent = this.rows.isCurrent(removalSnapshot.currentLedger(), report, requestedNanos)
					&& this.rows.isCurrent(keeperSnapshot.currentLedger(), keeperReport, requestedNanos);
			if (!isCurrent) {
				return new Refused(EngineLedger.Reason.STALE_REPORT, report.incarnation());
			}
			EngineLedger.Admission keeperAdmission = keeperSnapshot.currentLedger()
				.settled(keeperReport)
				.retainReplica(keptModel, command.token(), keeperReport);
			EngineLedger.Admission admission = removalSnapshot.currentLedger()
				.settled(report)
				.admit(command, report, this.sender);
			if (keeperAdmission instanceof EngineLedger.Denied denied) {
				return new Refused(denied.reason(), denied.detail());
			}
			if (admission instanceof EngineLedger.Denied denied) {
				return new Refused(denied.reason(), denied.detail());
			}
			LedgerRows.Change removalChange = new LedgerRows.Change(removalSnapshot,
					((EngineLedger.Admitted) admission).ledger());
			LedgerRows.Change keeperChange = new LedgerRows.Change(keeperSnapshot,
					((EngineLedger.Admitted) keeperAdmission).ledger());
			ConditionalWriter.Outcome outcome = (isSameEngine) ? this.rows.write(removalChange)
					: this.rows.write(removalChange, keeperChange);
			Optional<RecordResult> result = toResult(command, outcome);
			if (result.isPresent()) {
				return result.get();
			}
			mayBeWritten |= StoreUnavailable.mayBeWritten(outcome);
		}
		return refused(command, EngineLedger.Reason.CONTENTION, command.engine().value(), mayBeWritten);
	}

	/**
	 * Records that the caller is about to send an outstanding command again, with the
	 * same id and the token of its own lease. The returned command may be sent only after
	 * {@link Recorded}, and only once. If the store is unavailable, nothing may be sent
	 * and the resend counts as abandoned.
	 * @param lease the lease on the engine's group, not null
	 * @param engine the engine, not null
	 * @param entry the entry of the outstanding command, not null
	 * @return the result
	 */
	public RecordResult resend(Lease lease, BackendServerId engine, LedgerEntry entry) {
		EngineCommand command = new EngineCommand(entry.id(), engine, entry.action(), entry.model(), entry.bytes(),
				lease.token());
		return recordIfAdmitted(lease, command,
				(ledger) -> ledger.resend(command.attempt(), lease.token(), this.sender));
	}

	/**
	 * Records that the send of a recorded command has ended and that this process will
	 * send nothing more of it. If the store is unavailable, the outcome is kept in memory
	 * and written with the next operation on the row of the engine.
	 * @param engine the engine, not null
	 * @param command the id of the command, not null
	 * @param result the outcome of the send, not null
	 * @return the result
	 */
	public ChangeResult finishSend(BackendServerId engine, AttemptId command, CommandResult result) {
		this.rows.localState(engine).addOutcome(command, result);
		return update(engine, UnaryOperator.identity());
	}

	/**
	 * Records that this process will not send a recorded command. If the store is
	 * unavailable, this is kept in memory as for {@link #finishSend}.
	 * @param engine the engine, not null
	 * @param command the id of the command, not null
	 * @return the result
	 */
	public ChangeResult abandon(BackendServerId engine, AttemptId command) {
		return finishSend(engine, command, CommandResult.NOT_SENT);
	}

	/**
	 * Marks commands as finished, and removes those of which no duplicate can arrive any
	 * more, according to a report of the engine. Any planner may call this method. A
	 * report that is older than the ledger, or that cannot be ordered with it yet,
	 * changes nothing. If the store is unavailable, nothing is changed and no memory is
	 * freed.
	 * @param report the report of the engine, not null
	 * @param requestedNanos when the report was requested, on the monotonic clock of this
	 * process, in nanoseconds
	 * @return the result
	 */
	public ChangeResult settle(EngineReport report, long requestedNanos) {
		LocalLedgerState localState = this.rows.localState(report.engine());
		return update(report.engine(), (ledger) -> {
			if (!this.rows.isCurrent(ledger, report, requestedNanos)) {
				return ledger;
			}
			Set<AttemptId> expired = localState.findExpired(requestedNanos, this.copyBound);
			return ledger.settled(report).removeExpired(expired, report);
		});
	}

	/**
	 * Records that all processes on a host have ended and will send nothing more, for
	 * example because the platform has removed the host. Their open sends are closed.
	 * @param engine the engine, not null
	 * @param host the host, not null; for the host of this process, only the earlier
	 * processes of the host are closed
	 * @return the result
	 */
	public ChangeResult closeSenders(BackendServerId engine, HostId host) {
		return update(engine, (ledger) -> ledger.closeSendersExcept(host, this.sender));
	}

	/**
	 * Closes the open sends of earlier processes of this host in all rows. To be called
	 * after the start of a process until it succeeds; every other write of a row does the
	 * same for that row.
	 * @return {@link LoadedAll} with the ledgers after the change, or a failure after
	 * which the call can be repeated
	 */
	public LoadAllResult closeSendersOfEarlierProcesses() {
		LoadAllResult result = loadAll();
		if (!(result instanceof LoadedAll all)) {
			return result;
		}
		Map<BackendServerId, EngineLedger> ledgers = new TreeMap<>();
		for (BackendServerId engine : all.ledgers().keySet()) {
			ChangeResult changed = closeSenders(engine, this.sender.host());
			if (changed instanceof StoreUnavailable failed) {
				return failed;
			}
			ledgers.put(engine, ((Changed) changed).ledger());
		}
		return new LoadedAll(ledgers);
	}

	/**
	 * Reads the ledger of an engine.
	 * @param engine the engine, not null
	 * @return the ledger, without entries if the engine was never sent a command
	 */
	public LoadResult load(BackendServerId engine) {
		LedgerRows.RowSnapshot snapshot = this.rows.read(engine);
		return (snapshot.failure().isPresent()) ? snapshot.failure().get() : new Loaded(snapshot.storedLedger());
	}

	/**
	 * Reads all ledgers with one scan, for planning and after the start of a process.
	 * @return the ledgers of all engines that were ever sent a command
	 */
	public LoadAllResult loadAll() {
		TableService.ScanResult result = this.writer.scan(TABLE, "");
		if (result instanceof TableService.ReadFailed failed) {
			return StoreUnavailable.nothingWritten(failed.reason());
		}
		Map<BackendServerId, EngineLedger> ledgers = new TreeMap<>();
		for (Row row : ((TableService.Rows) result).rows()) {
			Optional<EngineLedger> ledger = StateJson.read(row.value(), EngineLedger.class);
			if (ledger.isEmpty()) {
				return StoreUnavailable.nothingWritten("malformed row of ledger " + row.key().key());
			}
			this.rows.localState(ledger.get().engine()).observe(ledger.get(), this.timer.nanoTime());
			ledgers.put(ledger.get().engine(), ledger.get());
		}
		return new LoadedAll(ledgers);
	}

	private RecordResult recordIfAdmitted(Lease lease, EngineCommand command,
			Function<EngineLedger, EngineLedger.Admission> rule) {
		boolean mayBeWritten = false;
		for (int round = 0; round < MAX_ROUNDS; round++) {
			if (!lease.isUsable(this.timer.nanoTime())) {
				return refused(command, EngineLedger.Reason.LEASE_EXPIRED, lease.name().value(), mayBeWritten);
			}
			LedgerRows.RowSnapshot snapshot = this.rows.read(command.engine());
			if (snapshot.failure().isPresent()) {
				return failed(command, snapshot.failure().get().withPossibleWrite(mayBeWritten));
			}
			if (round > 0 && isRecordedByThisProcess(snapshot.storedLedger(), command)) {
				this.rows.localState(command.engine()).discardOutcome(command.attempt());
				return new Recorded(command);
			}
			EngineLedger.Admission admission = rule.apply(snapshot.currentLedger());
			if (admission instanceof EngineLedger.Denied denied) {
				return new Refused(denied.reason(), denied.detail());
			}
			ConditionalWriter.Outcome outcome = this.rows
				.write(new LedgerRows.Change(snapshot, ((EngineLedger.Admitted) admission).ledger()));
			Optional<RecordResult> result = toResult(command, outcome);
			if (result.isPresent()) {
				return result.get();
			}
			mayBeWritten |= StoreUnavailable.mayBeWritten(outcome);
		}
		return refused(command, EngineLedger.Reason.CONTENTION, command.engine().value(), mayBeWritten);
	}

	private Optional<RecordResult> toResult(EngineCommand command, ConditionalWriter.Outcome outcome) {
		Optional<StoreUnavailable> failure = LedgerRows.toFailure(outcome);
		if (failure.isPresent()) {
			return Optional.of(failed(command, failure.get()));
		}
		return (outcome instanceof ConditionalWriter.Applied) ? Optional.of(new Recorded(command)) : Optional.empty();
	}

	private Refused refused(EngineCommand command, EngineLedger.Reason reason, String detail, boolean mayBeWritten) {
		if (mayBeWritten) {
			this.rows.localState(command.engine()).addOutcome(command.attempt(), CommandResult.NOT_SENT);
		}
		return new Refused(reason, detail);
	}

	private StoreUnavailable failed(EngineCommand command, StoreUnavailable failure) {
		if (failure.isOutcomeUnknown()) {
			this.rows.localState(command.engine()).addOutcome(command.attempt(), CommandResult.NOT_SENT);
		}
		return failure;
	}

	private boolean isRecordedByThisProcess(EngineLedger ledger, EngineCommand command) {
		return ledger.findEntry(command.attempt())
			.filter((entry) -> entry.openSenders().contains(this.sender))
			.isPresent();
	}

	private ChangeResult update(BackendServerId engine, UnaryOperator<EngineLedger> rule) {
		boolean mayBeWritten = false;
		for (int round = 0; round < MAX_ROUNDS; round++) {
			LedgerRows.RowSnapshot snapshot = this.rows.read(engine);
			if (snapshot.failure().isPresent()) {
				return snapshot.failure().get();
			}
			EngineLedger next = rule.apply(snapshot.currentLedger());
			if (snapshot.pendingOutcomes().isEmpty() && next.equals(snapshot.storedLedger())) {
				return new Changed(next);
			}
			ConditionalWriter.Outcome outcome = this.rows.write(new LedgerRows.Change(snapshot, next));
			Optional<StoreUnavailable> failure = LedgerRows.toFailure(outcome);
			if (failure.isPresent()) {
				return failure.get();
			}
			if (outcome instanceof ConditionalWriter.Applied) {
				return new Changed(next);
			}
		}
		return StoreUnavailable.nothingWritten("too many concurrent changes of ledger " + engine);
	}

	/**
	 * Result of {@link CommandLedgerStore#record},
	 * {@link CommandLedgerStore#recordReplicaRemoval} and
	 * {@link CommandLedgerStore#resend}.
	 */
	public sealed interface RecordResult permits Recorded, Refused, StoreUnavailable {

	}

	/**
	 * The command is recorded and may be sent once.
	 *
	 * @param command the command to send, not null
	 */
	public record Recorded(EngineCommand command) implements RecordResult {

	}

	/**
	 * A rule forbids the command in the current state. The command is not recorded and
	 * must not be sent.
	 *
	 * @param reason the rule, not null
	 * @param detail the value or command that the rule was applied to, for logs, not null
	 */
	public record Refused(EngineLedger.Reason reason, String detail) implements RecordResult {

	}

	/** Result of an operation that changes a ledger. */
	public sealed interface ChangeResult permits Changed, StoreUnavailable {

	}

	/**
	 * The ledger after the operation, whether or not the row had to be written.
	 *
	 * @param ledger the ledger, not null
	 */
	public record Changed(EngineLedger ledger) implements ChangeResult {

	}

	/** Result of {@link CommandLedgerStore#load}. */
	public sealed interface LoadResult permits Loaded, StoreUnavailable {

	}

	/**
	 * The ledger of an engine.
	 *
	 * @param ledger the ledger, not null
	 */
	public record Loaded(EngineLedger ledger) implements LoadResult {

	}

	/** Result of {@link CommandLedgerStore#loadAll}. */
	public sealed interface LoadAllResult permits LoadedAll, StoreUnavailable {

	}

	/**
	 * The ledgers of all engines that were ever sent a command.
	 *
	 * @param ledgers the ledgers by engine, not null
	 */
	public record LoadedAll(Map<BackendServerId, EngineLedger> ledgers) implements LoadAllResult {

		/** Copies the map. */
		public LoadedAll {
			ledgers = Map.copyOf(ledgers);
		}

	}

}
