package org.celeryhill.state;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.UnaryOperator;
import java.util.stream.Collectors;

import org.celeryhill.base.AttemptId;
import org.celeryhill.base.BackendServerId;
import org.celeryhill.base.FencingToken;
import org.celeryhill.base.HostId;
import org.celeryhill.base.ModelId;
import org.celeryhill.port.Engine.CommandResult;
import org.celeryhill.port.EngineCommand;
import org.celeryhill.port.EngineReport;
import org.celeryhill.port.EngineReport.Resident;

/**
 * Command ledger of one engine, with the rules that prevent its memory from being
 * overcommitted. The assumption about the engine that each rule depends on is described
 * in {@code docs/decisions/command-ledger.md}. Immutable and thread-safe.
 *
 * @param engine the engine, not null
 * @param highestToken the highest fencing token of a recorded command, not null
 * @param incarnation the engine incarnation of the last report that changed the row,
 * empty before the first, not null
 * @param sequence the sequence number of that report
 * @param entries the recorded commands, oldest first, not null
 */
public record EngineLedger(BackendServerId engine, FencingToken highestToken, String incarnation, long sequence,
		List<LedgerEntry> entries) {

	/** Creates a ledger and copies the list. */
	public EngineLedger {
		Objects.requireNonNull(engine, "engine");
		Objects.requireNonNull(highestToken, "highestToken");
		Objects.requireNonNull(incarnation, "incarnation");
		entries = List.copyOf(entries);
	}

	/**
	 * Returns the ledger of an engine that has never been sent a command.
	 * @param engine the engine, not null
	 * @return the ledger, never null
	 */
	public static EngineLedger empty(BackendServerId engine) {
		return new EngineLedger(engine, FencingToken.ZERO, "", 0, List.of());
	}

	/**
	 * Returns the entry of a command.
	 * @param command the command, not null
	 * @return the entry, or empty if the command is not in the ledger
	 */
	public Optional<LedgerEntry> findEntry(AttemptId command) {
		return this.entries.stream().filter((entry) -> entry.id().equals(command)).findFirst();
	}

	/**
	 * Returns the memory that counts as taken: the bytes of the legacy system, the
	 * residents, and every recorded load that may still be executed and whose model is
	 * not resident. A load that the engine would refuse because it has seen a newer token
	 * does not count.
	 * @param report the engine's report, not older than this ledger, not null
	 * @return the memory, in bytes
	 */
	public long committedBytes(EngineReport report) {
		Map<ModelId, Long> byModel = reservedBytes((entry) -> !isFenced(entry, report));
		report.residents().forEach((resident) -> byModel.merge(resident.model(), resident.bytes(), Math::max));
		return report.legacyBytes() + sumBytes(byModel);
	}

	/**
	 * Returns the memory that could be taken if the engine restarted now and every
	 * recorded load still arrived. Loads with an older token count as well, because a
	 * restart may erase the highest token that the engine has seen.
	 * @param report the engine's report, not null
	 * @return the memory, in bytes
	 */
	public long committedBytesAfterRestart(EngineReport report) {
		return report.legacyBytes() + sumBytes(reservedBytes((entry) -> true));
	}

	/**
	 * Returns the models and adapters whose load is outstanding.
	 * @return the models, never null
	 */
	public Set<ModelId> outstandingLoads() {
		return models((entry) -> entry.isOutstanding() && entry.action().isLoad());
	}

	/**
	 * Returns the models and adapters that cannot be loaded now because an unload of them
	 * is outstanding or a duplicate of it may still arrive.
	 * @return the models, never null
	 */
	public Set<ModelId> pendingUnloads() {
		return models((entry) -> entry.action().isUnload());
	}

	/**
	 * Returns whether a report of the current incarnation is older than the last report
	 * that changed this ledger. Reports of other incarnations cannot be ordered by
	 * sequence number, so the method returns false for them.
	 * @param report the report, not null
	 * @return true if it is older
	 */
	public boolean isOlder(EngineReport report) {
		return report.incarnation().equals(this.incarnation) && report.sequence() < this.sequence;
	}

	/**
	 * Marks the commands as finished that the report shows to be finished. Removes the
	 * commands that were never sent and never will be, and the finished ones that reserve
	 * no memory and that the engine would refuse because of their token.
	 * @param report the report, not older than this ledger, not null
	 * @return the ledger, equal to this one if no entry changed
	 */
	public EngineLedger settled(EngineReport report) {
		List<LedgerEntry> next = this.entries.stream()
			.filter((entry) -> !entry.isNeverSent())
			.map((entry) -> (isFinished(entry, report)) ? entry.asFinished() : entry)
			.filter((entry) -> !isRemovable(entry, report))
			.toList();
		if (next.equals(this.entries)) {
			return this;
		}
		return new EngineLedger(this.engine, this.highestToken, report.incarnation(), report.sequence(), next);
	}

	/**
	 * Removes finished commands of which no duplicate can arrive any more.
	 * @param commands the ids of the commands, not null; commands that are outstanding or
	 * have an open sender are kept
	 * @param report the report from which the ledger takes its incarnation and sequence
	 * number, not older than this ledger, not null
	 * @return the ledger, never null
	 */
	public EngineLedger removeExpired(Set<AttemptId> commands, EngineReport report) {
		List<LedgerEntry> next = this.entries.stream()
			.filter((entry) -> entry.isOutstanding() || !entry.hasNoOpenSenders() || !commands.contains(entry.id()))
			.toList();
		if (next.size() == this.entries.size()) {
			return this;
		}
		return new EngineLedger(this.engine, this.highestToken, report.incarnation(), report.sequence(), next);
	}

	/**
	 * Records a command if the rules allow it.
	 * @param command the command, not null
	 * @param report the engine's report, not older than this ledger, not null
	 * @param sender the process that is about to send it, not null
	 * @return the ledger with the command, or the rule that forbids it
	 */
	public Admission admit(EngineCommand command, EngineReport report, SenderId sender) {
		if (command.token().compareTo(this.highestToken) < 0) {
			return new Denied(Reason.NEWER_HOLDER, "token " + this.highestToken.value() + " has already been used");
		}
		Optional<Denied> denied = switch (command.action()) {
			case LOAD_MODEL, LOAD_ADAPTER -> checkLoad(command, report);
			case UNLOAD_MODEL, UNLOAD_ADAPTER -> checkUnload(command, report);
			case CHANGE_ROLE -> checkRoleChange(command);
		};
		if (denied.isPresent()) {
			return denied.get();
		}
		List<LedgerEntry> next = new ArrayList<>(this.entries);
		next.add(LedgerEntry.createOutstanding(command, report.incarnation(), sender));
		EngineLedger ledger = new EngineLedger(this.engine, command.token(), report.incarnation(), report.sequence(),
				next);
		return (command.action().isUnload()) ? new Admitted(ledger) : ledger.checkMemory(report);
	}

	/**
	 * Records, in the ledger of a keeper, the token of an unload during which this engine
	 * has to keep a model ready: the unloaded model or its successor. Afterwards an
	 * unload of the kept model with an older token is denied.
	 * @param keptModel the model that has to stay ready on this engine, not null
	 * @param token the fencing token with which the unload is sent, not null
	 * @param report this engine's report, not older than this ledger, not null
	 * @return the ledger with the token as its highest one, or the rule that forbids the
	 * unload
	 */
	public Admission retainReplica(ModelId keptModel, FencingToken token, EngineReport report) {
		if (token.compareTo(this.highestToken) < 0) {
			return new Denied(Reason.NEWER_HOLDER, "token " + this.highestToken.value() + " has already been used");
		}
		if (!report.isReady(keptModel) || pendingUnloads().contains(keptModel)) {
			return new Denied(Reason.NO_KEEPER, this.engine.value());
		}
		return new Admitted(
				new EngineLedger(this.engine, token, report.incarnation(), report.sequence(), this.entries));
	}

	/**
	 * Records that an outstanding command is about to be sent again.
	 * @param command the command, not null
	 * @param token the fencing token with which it is sent, not null
	 * @param sender the process, not null
	 * @return the ledger with the sender, or the rule that forbids the resend
	 */
	public Admission resend(AttemptId command, FencingToken token, SenderId sender) {
		if (token.compareTo(this.highestToken) < 0) {
			return new Denied(Reason.NEWER_HOLDER, "token " + this.highestToken.value() + " has already been used");
		}
		Optional<LedgerEntry> entry = findEntry(command).filter(LedgerEntry::isOutstanding);
		if (entry.isEmpty()) {
			return new Denied(Reason.NOT_OUTSTANDING, command.value());
		}
		if (entry.get().openSenders().contains(sender)) {
			return new Denied(Reason.STILL_SENDING, command.value());
		}
		return new Admitted(new EngineLedger(this.engine, token, this.incarnation, this.sequence,
				updateEntry(command, (old) -> old.withResend(token, this.incarnation, sender))));
	}

	/**
	 * Records that a process has finished sending a command.
	 * @param command the command, not null; ignored if it is not in the ledger
	 * @param sender the process, not null
	 * @param result the outcome of the send as known to the process, not null
	 * @return the ledger, never null
	 */
	public EngineLedger closeSender(AttemptId command, SenderId sender, CommandResult result) {
		List<LedgerEntry> next = updateEntry(command, (entry) -> entry.withClosedSender(sender, result)).stream()
			.filter((entry) -> !entry.isNeverSent())
			.toList();
		return withEntries(next);
	}

	/**
	 * Records that all processes of a host except one have ended.
	 * @param host the host, not null
	 * @param runningProcess the process that is still running, not null
	 * @return the ledger, never null
	 */
	public EngineLedger closeSendersExcept(HostId host, SenderId runningProcess) {
		return withEntries(
				this.entries.stream().map((entry) -> entry.withClosedSendersExcept(host, runningProcess)).toList());
	}

	private EngineLedger withEntries(List<LedgerEntry> next) {
		return new EngineLedger(this.engine, this.highestToken, this.incarnation, this.sequence, next);
	}

	private List<LedgerEntry> updateEntry(AttemptId command, UnaryOperator<LedgerEntry> change) {
		return this.entries.stream()
			.map((entry) -> (entry.id().equals(command)) ? change.apply(entry) : entry)
			.toList();
	}

	private boolean isFinished(LedgerEntry entry, EngineReport report) {
		if (!entry.isOutstanding()) {
			return true;
		}
		boolean isSameIncarnation = report.incarnation().equals(entry.incarnation());
		boolean isListed = report.settled().contains(entry.id());
		boolean isLostByRestart = !isSameIncarnation && entry.hasNoOpenSenders();
		boolean isObserved = isSameIncarnation && isOnlyEntryOfModel(entry) && isEffectVisible(entry, report);
		return isListed || isFenced(entry, report) || isLostByRestart || isObserved;
	}

	private static boolean isFenced(LedgerEntry entry, EngineReport report) {
		return report.isTokenChecked() && report.highestToken().compareTo(entry.token()) > 0;
	}

	private boolean isOnlyEntryOfModel(LedgerEntry entry) {
		return this.entries.stream().filter((other) -> other.model().equals(entry.model())).count() == 1;
	}

	private static boolean isEffectVisible(LedgerEntry entry, EngineReport report) {
		return switch (entry.action()) {
			case LOAD_MODEL, LOAD_ADAPTER -> report.isReady(entry.model());
			case UNLOAD_MODEL, UNLOAD_ADAPTER -> findResident(report, entry.model()).isEmpty();
			case CHANGE_ROLE -> report.role().name().equals(entry.model().value());
		};
	}

	private static boolean isRemovable(LedgerEntry entry, EngineReport report) {
		return !entry.isOutstanding() && !entry.reservesMemory() && isFenced(entry, report);
	}

	private Optional<Denied> checkLoad(EngineCommand command, EngineReport report) {
		if (findResident(report, command.model()).isPresent()) {
			return Optional.of(new Denied(Reason.ALREADY_RESIDENT, command.model().value()));
		}
		for (LedgerEntry entry : this.entries) {
			boolean isBlocking = entry.isOutstanding() || entry.action().isUnload();
			if (isBlocking && entry.model().equals(command.model())) {
				return Optional.of(new Denied(Reason.COMMAND_PENDING, entry.id().value()));
			}
		}
		return Optional.empty();
	}

	private Optional<Denied> checkUnload(EngineCommand command, EngineReport report) {
		if (findResident(report, command.model()).isEmpty()) {
			return Optional.of(new Denied(Reason.NOT_RESIDENT, command.model().value()));
		}
		for (LedgerEntry entry : this.entries) {
			if (entry.isOutstanding() && entry.model().equals(command.model())) {
				return Optional.of(new Denied(Reason.COMMAND_PENDING, entry.id().value()));
			}
		}
		return Optional.empty();
	}

	private Optional<Denied> checkRoleChange(EngineCommand command) {
		return this.entries.stream()
			.filter((entry) -> entry.action() == command.action())
			.findFirst()
			.map((entry) -> new Denied(Reason.COMMAND_PENDING, entry.id().value()));
	}

	private Admission checkMemory(EngineReport report) {
		long bytes = Math.max(committedBytes(report), committedBytesAfterRestart(report));
		if (bytes > report.memoryBytes()) {
			return new Denied(Reason.NO_MEMORY, bytes + " of " + report.memoryBytes() + " bytes");
		}
		return new Admitted(this);
	}

	private Map<ModelId, Long> reservedBytes(java.util.function.Predicate<LedgerEntry> condition) {
		Map<ModelId, Long> byModel = new HashMap<>();
		this.entries.stream()
			.filter(LedgerEntry::reservesMemory)
			.filter(condition)
			.forEach((entry) -> byModel.merge(entry.model(), entry.bytes(), Math::max));
		return byModel;
	}

	private Set<ModelId> models(java.util.function.Predicate<LedgerEntry> condition) {
		return this.entries.stream().filter(condition).map(LedgerEntry::model).collect(Collectors.toUnmodifiableSet());
	}

	private static Optional<Resident> findResident(EngineReport report, ModelId model) {
		return report.residents().stream().filter((candidate) -> candidate.model().equals(model)).findFirst();
	}

	private static long sumBytes(Map<ModelId, Long> byModel) {
		return byModel.values().stream().mapToLong(Long::longValue).sum();
	}

	/** Result of recording a command. */
	public sealed interface Admission permits Admitted, Denied {

	}

	/**
	 * The rules allow the command.
	 *
	 * @param ledger the ledger with the command, not null
	 */
	public record Admitted(EngineLedger ledger) implements Admission {

	}

	/**
	 * A rule forbids the command in the current state.
	 *
	 * @param reason the rule, not null
	 * @param detail the value or command that the rule was applied to, for logs, not null
	 */
	public record Denied(Reason reason, String detail) implements Admission {

	}

	/** Why a command is not recorded. */
	public enum Reason {

		/** The committed bytes would exceed the memory of the engine. */
		NO_MEMORY,

		/** The model to load is already resident. */
		ALREADY_RESIDENT,

		/**
		 * The keeper, an engine on which a model has to stay ready during an unload, does
		 * not have it ready.
		 */
		NO_KEEPER,

		/** The model to unload is not resident, or only the legacy system holds it. */
		NOT_RESIDENT,

		/** A conflicting command is outstanding or a duplicate of it may still arrive. */
		COMMAND_PENDING,

		/** The command to send again is not outstanding. */
		NOT_OUTSTANDING,

		/** This process is still sending the command. */
		STILL_SENDING,

		/**
		 * The report is older than the ledger, or it is not known which of them is newer.
		 */
		STALE_REPORT,

		/** The lease is no longer usable. */
		LEASE_EXPIRED,

		/** A later holder of the lease has already recorded a command. */
		NEWER_HOLDER,

		/** Other writers changed the row in every round of the operation. */
		CONTENTION

	}

}
