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
 * Command ledgers in the table {@code ledger}, one row per engine. The order of use is:
 * {@link #record} or {@link #resend}, then send the returned command once, then
 * {@link #finishSend} with the outcome, or {@link #abandon} if nothing is sent. Rows are
 * changed by conditional writes, so that of two planners with the same belief only one
 * records its command and the other decides again on the changed row. Every operation
 * blocks for the bounded tries of the {@link ConditionalWriter} and never throws for a
 * failure of the store. Thread-safe.
 */
public final class CommandLedgerStore {

	/** Table of the ledgers. */
	public static final String TABLE = "ledger";

	/**
	 * Default of the copy bound: how long after the end of a sending a copy of a finished
	 * command may still arrive. Commands are sent over TCP with timeouts of a few
	 * seconds.
	 */
	public static final Duration DEFAULT_COPY_BOUND = Duration.ofSeconds(60);

	/** Turns of read and write in one operation when other writers interfere. */
	private static final int MAX_TURNS = 4;

	/** Writer of the rows. */
	private final ConditionalWriter writer;

	/** Time of this process. */
	private final TimerService timer;

	/** This process. */
	private final SenderId sender;

	/** How long copies of a command may travel. */
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
	 * Returns the ledgers as used by one process. At most one such process may run on a
	 * host: the first write of this process closes the senders of earlier processes of
	 * the host.
	 * @param writer the writer of the rows, not null
	 * @param timer the time, not null
	 * @param host the host of this process, not null
	 * @param copyBound how long after the end of a sending a copy may still arrive, not
	 * null
	 * @return the ledgers, never null
	 */
	public static CommandLedgerStore create(ConditionalWriter writer, TimerService timer, HostId host, Duration copyBound) {
		return new CommandLedgerStore(writer, timer, host, copyBound);
	}

	/**
	 * Records a command that the caller is about to send. Only after {@link Recorded} may
	 * it be sent, once. With the store absent it returns {@link StoreUnavailable} and
	 * nothing may be sent; the command then counts as abandoned, also if its write
	 * arrives late.
	 * @param lease the lease of the engine's group, not null
	 * @param command the command with the token of the lease, not null
	 * @param report the engine's report on which the decision rests, not null
	 * @param requestedNanos when the report was asked for, on the monotonic clock of this
	 * process, in nanoseconds
	 * @return the result
	 * @throws IllegalArgumentException if the token is not that of the lease
	 */
	public RecordResult record(Lease lease, EngineCommand command, EngineReport report, long requestedNanos) {
		if (!command.token().equals(lease.token())) {
			throw new IllegalArgumentException("command " + command.attempt() + " has another token than the lease");
		}
		return admit(lease, command, (ledger) -> {
			if (!this.rows.isNewer(ledger, report, requestedNanos)) {
				return new EngineLedger.Denied(EngineLedger.Reason.STALE_REPORT, report.incarnation());
			}
			return ledger.settled(report).admit(command, report, this.sender);
		});
	}

	/**
	 * Records an unload of a model that stays reachable through a keeper: the same model
	 * on another engine, or its successor after a version change. The rows of both
	 * engines are written in one transaction, so that a planner that is paused past its
	 * lease cannot unload what the keeper has: its own write finds the row changed.
	 * Otherwise as for {@link #record}; an unload of a model that need not stay reachable
	 * is recorded with that method.
	 * @param lease the lease of the engine's group, not null
	 * @param command the unload with the token of the lease, not null
	 * @param report the report of the engine that unloads, not null
	 * @param kept the model that stays ready, which may be the unloaded one only if the
	 * keeper is another engine, not null
	 * @param keeper the report of the engine on which it is ready, not null
	 * @param requestedNanos when the earlier of the two reports was asked for, on the
	 * monotonic clock of this process, in nanoseconds
	 * @return the result
	 * @throws IllegalArgumentException if the token is not that of the lease, the command
	 * is not an unload, or it would unload the keeper
	 */
	public RecordResult recordReplicaRemoval(Lease lease, EngineCommand command, EngineReport report, ModelId kept,
			EngineReport keeper, long requestedNanos) {
		boolean isSameEngine = keeper.engine().equals(command.engine());
		boolean isKeeperUnloaded = isSameEngine && kept.equals(command.model());
		if (!command.token().equals(lease.token()) || !command.action().isUnload() || isKeeperUnloaded) {
			throw new IllegalArgumentException("not a removal that the keeper can replace: " + command);
		}
		boolean mayBeWritten = false;
		for (int turn = 0; turn < MAX_TURNS; turn++) {
			if (!lease.isUsable(this.timer.nanoTime())) {
				return refused(command, EngineLedger.Reason.LEASE_EXPIRED, lease.name().value(), mayBeWritten);
			}
			LedgerRows.Loading removing = this.rows.read(command.engine());
			LedgerRows.Loading keeping = this.rows.read(keeper.engine());
			Optional<StoreUnavailable> unread = removing.failure().or(keeping::failure);
			if (unread.isPresent()) {
				return failed(command, unread.get().after(mayBeWritten));
			}
			if (turn > 0 && isRecorded(removing.ledger(), command)) {
				this.rows.memory(command.engine()).reopen(command.attempt());
				return new Recorded(command);
			}
			boolean isNewer = this.rows.isNewer(removing.prepared(), report, requestedNanos)
					&& this.rows.isNewer(keeping.prepared(), keeper, requestedNanos);
			if (!isNewer) {
				return new Refused(EngineLedger.Reason.STALE_REPORT, report.incarnation());
			}
			EngineLedger.Admission fenced = keeping.prepared().settled(keeper).retainReplica(kept, command.token(), keeper);
			EngineLedger.Admission admission = removing.prepared().settled(report).admit(command, report, this.sender);
			if (fenced instanceof EngineLedger.Denied denied) {
				return new Refused(denied.reason(), denied.detail());
			}
			if (admission instanceof EngineLedger.Denied denied) {
				return new Refused(denied.reason(), denied.detail());
			}
			LedgerRows.Change removal = new LedgerRows.Change(removing, ((EngineLedger.Admitted) admission).ledger());
			LedgerRows.Change fence = new LedgerRows.Change(keeping, ((EngineLedger.Admitted) fenced).ledger());
			ConditionalWriter.Outcome outcome = (isSameEngine) ? this.rows.write(removal)
					: this.rows.write(removal, fence);
			Optional<RecordResult> result = result(command, outcome);
			if (result.isPresent()) {
				return result.get();
			}
			mayBeWritten |= StoreUnavailable.mayBeWritten(outcome);
		}
		return refused(command, EngineLedger.Reason.CONTENTION, command.engine().value(), mayBeWritten);
	}

	/**
	 * Records that the caller is about to send an outstanding command again, with the
	 * same id and the token of its own lease. Only after {@link Recorded} may the
	 * returned command be sent, once. With the store absent nothing may be sent and the
	 * resending counts as abandoned.
	 * @param lease the lease of the engine's group, not null
	 * @param engine the engine, not null
	 * @param entry the outstanding entry, not null
	 * @return the result
	 */
	public RecordResult resend(Lease lease, BackendServerId engine, LedgerEntry entry) {
		EngineCommand command = new EngineCommand(entry.id(), engine, entry.action(), entry.model(), entry.bytes(),
				lease.token());
		return admit(lease, command, (ledger) -> ledger.resend(command.attempt(), lease.token(), this.sender));
	}

	/**
	 * Tells that the sending of a recorded command has ended and that this process sends
	 * nothing more of it. With the store absent the outcome is kept in memory and written
	 * with the next operation on the engine's row.
	 * @param engine the engine, not null
	 * @param command the command, not null
	 * @param result the outcome of the sending, not null
	 * @return the result
	 */
	public ChangeResult finishSend(BackendServerId engine, AttemptId command, CommandResult result) {
		this.rows.memory(engine).close(command, result);
		return change(engine, UnaryOperator.identity());
	}

	/**
	 * Tells that a recorded command will not be sent by this process. With the store
	 * absent as for {@link #finishSend}.
	 * @param engine the engine, not null
	 * @param command the command, not null
	 * @return the result
	 */
	public ChangeResult abandon(BackendServerId engine, AttemptId command) {
		return finishSend(engine, command, CommandResult.NOT_SENT);
	}

	/**
	 * Settles commands from a report of the engine. Any planner may call this. A report
	 * that is older than the ledger, or whose order is not known yet, settles nothing.
	 * With the store absent nothing is settled and no memory is freed.
	 * @param report the report, not null
	 * @param requestedNanos when the report was asked for, on the monotonic clock of this
	 * process, in nanoseconds
	 * @return the result
	 */
	public ChangeResult settle(EngineReport report, long requestedNanos) {
		LedgerMemory memory = this.rows.memory(report.engine());
		return change(report.engine(), (ledger) -> {
			if (!this.rows.isNewer(ledger, report, requestedNanos)) {
				return ledger;
			}
			Set<AttemptId> expired = memory.expired(requestedNanos, this.copyBound);
			return ledger.settled(report).removeExpired(expired, report);
		});
	}

	/**
	 * Tells that all processes on a host have ended and send nothing more, for example
	 * since the platform has removed the host. Their unfinished sendings are closed.
	 * @param engine the engine, not null
	 * @param host the host, not null; for the host of this process its earlier processes
	 * are meant
	 * @return the result
	 */
	public ChangeResult closeSenders(BackendServerId engine, HostId host) {
		return change(engine, (ledger) -> ledger.closeSendersExcept(host, this.sender));
	}

	/**
	 * Closes the unfinished sendings of earlier processes of this host in all rows. To be
	 * called after the start of a process until it succeeds; each other write of a row
	 * does the same for that row.
	 * @return {@link LoadedAll} with the ledgers as they are now, or a failure after
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
	 * @return the ledger, empty if the engine never got a command
	 */
	public LoadResult load(BackendServerId engine) {
		LedgerRows.Loading loading = this.rows.read(engine);
		return (loading.failure().isPresent()) ? loading.failure().get() : new Loaded(loading.ledger());
	}

	/**
	 * Reads all ledgers with one scan, for planning and after a start.
	 * @return the ledgers of all engines that ever got a command
	 */
	public LoadAllResult loadAll() {
		TableService.ScanResult result = this.writer.scan(TABLE, "");
		if (result instanceof TableService.ReadFailed failed) {
			return StoreUnavailable.unchanged(failed.reason());
		}
		Map<BackendServerId, EngineLedger> ledgers = new TreeMap<>();
		for (Row row : ((TableService.Rows) result).rows()) {
			Optional<EngineLedger> ledger = StateJson.read(row.value(), EngineLedger.class);
			if (ledger.isEmpty()) {
				return StoreUnavailable.unchanged("malformed row of ledger " + row.key().key());
			}
			this.rows.memory(ledger.get().engine()).observe(ledger.get(), this.timer.nanoTime());
			ledgers.put(ledger.get().engine(), ledger.get());
		}
		return new LoadedAll(ledgers);
	}

	private RecordResult admit(Lease lease, EngineCommand command,
			Function<EngineLedger, EngineLedger.Admission> rule) {
		boolean mayBeWritten = false;
		for (int turn = 0; turn < MAX_TURNS; turn++) {
			if (!lease.isUsable(this.timer.nanoTime())) {
				return refused(command, EngineLedger.Reason.LEASE_EXPIRED, lease.name().value(), mayBeWritten);
			}
			LedgerRows.Loading loading = this.rows.read(command.engine());
			if (loading.failure().isPresent()) {
				return failed(command, loading.failure().get().after(mayBeWritten));
			}
			if (turn > 0 && isRecorded(loading.ledger(), command)) {
				this.rows.memory(command.engine()).reopen(command.attempt());
				return new Recorded(command);
			}
			EngineLedger.Admission admission = rule.apply(loading.prepared());
			if (admission instanceof EngineLedger.Denied denied) {
				return new Refused(denied.reason(), denied.detail());
			}
			ConditionalWriter.Outcome outcome = this.rows
				.write(new LedgerRows.Change(loading, ((EngineLedger.Admitted) admission).ledger()));
			Optional<RecordResult> result = result(command, outcome);
			if (result.isPresent()) {
				return result.get();
			}
			mayBeWritten |= StoreUnavailable.mayBeWritten(outcome);
		}
		return refused(command, EngineLedger.Reason.CONTENTION, command.engine().value(), mayBeWritten);
	}

	private Optional<RecordResult> result(EngineCommand command, ConditionalWriter.Outcome outcome) {
		Optional<StoreUnavailable> failure = LedgerRows.failure(outcome);
		if (failure.isPresent()) {
			return Optional.of(failed(command, failure.get()));
		}
		return (outcome instanceof ConditionalWriter.Applied) ? Optional.of(new Recorded(command)) : Optional.empty();
	}

	private Refused refused(EngineCommand command, EngineLedger.Reason reason, String detail, boolean mayBeWritten) {
		if (mayBeWritten) {
			this.rows.memory(command.engine()).close(command.attempt(), CommandResult.NOT_SENT);
		}
		return new Refused(reason, detail);
	}

	private StoreUnavailable failed(EngineCommand command, StoreUnavailable failure) {
		if (failure.isOutcomeUnknown()) {
			this.rows.memory(command.engine()).close(command.attempt(), CommandResult.NOT_SENT);
		}
		return failure;
	}

	private boolean isRecorded(EngineLedger ledger, EngineCommand command) {
		return ledger.findEntry(command.attempt()).filter((entry) -> entry.openSenders().contains(this.sender)).isPresent();
	}

	private ChangeResult change(BackendServerId engine, UnaryOperator<EngineLedger> rule) {
		boolean mayBeWritten = false;
		for (int turn = 0; turn < MAX_TURNS; turn++) {
			LedgerRows.Loading loading = this.rows.read(engine);
			if (loading.failure().isPresent()) {
				return loading.failure().get();
			}
			EngineLedger next = rule.apply(loading.prepared());
			if (loading.closures().isEmpty() && next.equals(loading.ledger())) {
				return new Changed(next);
			}
			ConditionalWriter.Outcome outcome = this.rows.write(new LedgerRows.Change(loading, next));
			Optional<StoreUnavailable> failure = LedgerRows.failure(outcome);
			if (failure.isPresent()) {
				return failure.get();
			}
			if (outcome instanceof ConditionalWriter.Applied) {
				return new Changed(next);
			}
		}
		return StoreUnavailable.unchanged("other writers interfere with ledger " + engine);
	}

	/** Result of {@link CommandLedgerStore#record} and {@link CommandLedgerStore#resend}. */
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
	 * A rule forbids the command now; nothing was recorded.
	 *
	 * @param reason the rule, not null
	 * @param detail the figure or command that decided, for logs, not null
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
	 * The ledgers of all engines that ever got a command.
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
