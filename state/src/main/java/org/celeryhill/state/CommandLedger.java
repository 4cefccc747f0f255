package org.celeryhill.state;

import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import java.util.function.UnaryOperator;

import org.celeryhill.base.AttemptId;
import org.celeryhill.base.BackendServerId;
import org.celeryhill.base.HostId;
import org.celeryhill.base.TimerService;
import org.celeryhill.port.Engine.CommandResult;
import org.celeryhill.port.EngineCommand;
import org.celeryhill.port.EngineReport;
import org.celeryhill.port.Row;
import org.celeryhill.port.RowKey;
import org.celeryhill.port.RowWrite;
import org.celeryhill.port.TableService;

/**
 * Command ledgers in the table {@code ledger}, one row per engine. The order of use is:
 * {@link #record} or {@link #resend}, then send the returned command once, then
 * {@link #sent} with the outcome, or {@link #abandon} if nothing is sent. Rows are
 * changed by conditional writes, so that of two planners with the same belief only one
 * records its command and the other decides again on the changed row. Every operation
 * blocks for the bounded tries of the {@link ConditionalWriter} and never throws for a
 * failure of the store. Thread-safe.
 */
public final class CommandLedger {

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

	/** What this process has seen and not yet written, by engine. */
	private final Map<BackendServerId, LedgerMemory> memories = new ConcurrentHashMap<>();

	private CommandLedger(ConditionalWriter writer, TimerService timer, HostId host, Duration copyBound) {
		this.writer = Objects.requireNonNull(writer, "writer");
		this.timer = Objects.requireNonNull(timer, "timer");
		this.copyBound = Objects.requireNonNull(copyBound, "copyBound");
		this.sender = new SenderId(host, writer.nextAttempt());
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
	public static CommandLedger create(ConditionalWriter writer, TimerService timer, HostId host, Duration copyBound) {
		return new CommandLedger(writer, timer, host, copyBound);
	}

	/**
	 * Records a command that the caller is about to send. Only after {@link Recorded} may
	 * it be sent, once. With the store absent it returns {@link StoreUnavailable} and
	 * nothing may be sent; if the outcome is unknown, the caller abandons the command.
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
			if (!isNewer(ledger, report, requestedNanos)) {
				return new EngineLedger.Denied(EngineLedger.Reason.STALE_REPORT, report.incarnation());
			}
			return ledger.settled(report).admit(command, report, this.sender);
		});
	}

	/**
	 * Records that the caller is about to send an outstanding command again, with the
	 * same id and the token of its own lease. Only after {@link Recorded} may the
	 * returned command be sent, once. With the store absent nothing may be sent.
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
	public ChangeResult sent(BackendServerId engine, AttemptId command, CommandResult result) {
		memory(engine).close(command, result);
		return change(engine, UnaryOperator.identity());
	}

	/**
	 * Tells that a command will not be sent by this process, also when the outcome of
	 * recording it is unknown. With the store absent as for {@link #sent}.
	 * @param engine the engine, not null
	 * @param command the command, not null
	 * @return the result
	 */
	public ChangeResult abandon(BackendServerId engine, AttemptId command) {
		return sent(engine, command, CommandResult.NOT_SENT);
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
		LedgerMemory memory = memory(report.engine());
		return change(report.engine(), (ledger) -> {
			if (!isNewer(ledger, report, requestedNanos)) {
				return ledger;
			}
			Set<AttemptId> expired = memory.expired(this.timer.nanoTime(), this.copyBound);
			return ledger.settled(report).without(expired, report);
		});
	}

	/**
	 * Tells that all processes on a host have ended and send nothing more, for example
	 * since the platform has removed the host. Their unfinished sendings are closed.
	 * @param engine the engine, not null
	 * @param host the host, not null, not the one of this process
	 * @return the result
	 */
	public ChangeResult closeSenders(BackendServerId engine, HostId host) {
		return change(engine, (ledger) -> ledger.closedExcept(host, this.sender));
	}

	/**
	 * Reads the ledger of an engine.
	 * @param engine the engine, not null
	 * @return the ledger, empty if the engine never got a command
	 */
	public LoadResult load(BackendServerId engine) {
		Loading loading = read(engine);
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
			memory(ledger.get().engine()).observe(ledger.get(), this.timer.nanoTime());
			ledgers.put(ledger.get().engine(), ledger.get());
		}
		return new LoadedAll(ledgers);
	}

	private RecordResult admit(Lease lease, EngineCommand command,
			Function<EngineLedger, EngineLedger.Admission> rule) {
		for (int turn = 0; turn < MAX_TURNS; turn++) {
			if (!lease.isUsable(this.timer.nanoTime())) {
				return new Refused(EngineLedger.Reason.LEASE_EXPIRED, lease.name().value());
			}
			Loading loading = read(command.engine());
			if (loading.failure().isPresent()) {
				return loading.failure().get();
			}
			if (turn > 0 && isRecorded(loading.ledger(), command)) {
				return new Recorded(command);
			}
			EngineLedger.Admission admission = rule.apply(loading.prepared());
			if (admission instanceof EngineLedger.Denied denied) {
				return new Refused(denied.reason(), denied.detail());
			}
			ConditionalWriter.Outcome outcome = write(loading, ((EngineLedger.Admitted) admission).ledger());
			Optional<StoreUnavailable> failure = failure(outcome);
			if (failure.isPresent()) {
				return failure.get();
			}
			if (outcome instanceof ConditionalWriter.Applied) {
				return new Recorded(command);
			}
		}
		return new Refused(EngineLedger.Reason.CONTENTION, command.engine().value());
	}

	private boolean isRecorded(EngineLedger ledger, EngineCommand command) {
		return ledger.entry(command.attempt()).filter((entry) -> entry.openSenders().contains(this.sender)).isPresent();
	}

	private ChangeResult change(BackendServerId engine, UnaryOperator<EngineLedger> rule) {
		for (int turn = 0; turn < MAX_TURNS; turn++) {
			Loading loading = read(engine);
			if (loading.failure().isPresent()) {
				return loading.failure().get();
			}
			EngineLedger next = rule.apply(loading.prepared());
			if (loading.closures().isEmpty() && next.equals(loading.ledger())) {
				return new Changed(next);
			}
			ConditionalWriter.Outcome outcome = write(loading, next);
			Optional<StoreUnavailable> failure = failure(outcome);
			if (failure.isPresent()) {
				return failure.get();
			}
			if (outcome instanceof ConditionalWriter.Applied) {
				return new Changed(next);
			}
		}
		return StoreUnavailable.unchanged("other writers interfere with ledger " + engine);
	}

	private Loading read(BackendServerId engine) {
		TableService.ReadResult result = this.writer.read(RowKey.of(TABLE, engine.value()));
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
		EngineLedger ledger = stored.closedExcept(this.sender.host(), this.sender);
		for (Map.Entry<AttemptId, CommandResult> closure : closures.entrySet()) {
			ledger = ledger.closed(closure.getKey(), this.sender, closure.getValue());
		}
		return ledger;
	}

	private ConditionalWriter.Outcome write(Loading loading, EngineLedger next) {
		String json = StateJson.write(next);
		RowKey key = RowKey.of(TABLE, next.engine().value());
		RowWrite write = loading.row()
			.map((row) -> RowWrite.replace(row, json))
			.orElseGet(() -> RowWrite.create(key, json));
		ConditionalWriter.Outcome outcome = this.writer.write(write);
		if (outcome instanceof ConditionalWriter.Applied) {
			memory(next.engine()).forget(loading.closures());
		}
		return outcome;
	}

	private boolean isNewer(EngineLedger ledger, EngineReport report, long requestedNanos) {
		if (ledger.incarnation().isEmpty() || report.incarnation().equals(ledger.incarnation())) {
			return !ledger.isOlder(report);
		}
		return memory(ledger.engine()).isAfterFirstSight(ledger.incarnation(), requestedNanos);
	}

	private LedgerMemory memory(BackendServerId engine) {
		return this.memories.computeIfAbsent(engine, (key) -> new LedgerMemory());
	}

	private static Optional<StoreUnavailable> failure(ConditionalWriter.Outcome outcome) {
		if (outcome instanceof ConditionalWriter.NotApplied failed) {
			return Optional.of(StoreUnavailable.unchanged(failed.reason()));
		}
		if (outcome instanceof ConditionalWriter.Unresolved failed) {
			return Optional.of(StoreUnavailable.unknown(failed.reason()));
		}
		return Optional.empty();
	}

	/** Result of {@link CommandLedger#record} and {@link CommandLedger#resend}. */
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

	/** Result of {@link CommandLedger#load}. */
	public sealed interface LoadResult permits Loaded, StoreUnavailable {

	}

	/**
	 * The ledger of an engine.
	 *
	 * @param ledger the ledger, not null
	 */
	public record Loaded(EngineLedger ledger) implements LoadResult {

	}

	/** Result of {@link CommandLedger#loadAll}. */
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

	/**
	 * A row as read, and as this process would write it before the rule is applied.
	 *
	 * @param row the row, empty if it does not exist
	 * @param ledger the ledger of the row
	 * @param prepared the ledger with what this process has to add
	 * @param closures the outcomes that are added
	 * @param failure the failure of the read, empty if it succeeded
	 */
	private record Loading(Optional<Row> row, EngineLedger ledger, EngineLedger prepared,
			Map<AttemptId, CommandResult> closures, Optional<StoreUnavailable> failure) {

		private static Loading failed(BackendServerId engine, String reason) {
			EngineLedger empty = EngineLedger.empty(engine);
			return new Loading(Optional.empty(), empty, empty, Map.of(),
					Optional.of(StoreUnavailable.unchanged(reason)));
		}

	}

}
