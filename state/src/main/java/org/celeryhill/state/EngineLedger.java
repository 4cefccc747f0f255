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
 * Command ledger of one engine: the rules that keep its memory from being overcommitted.
 * See {@code docs/decisions/command-ledger.md} for the assumption on the engine that each
 * rule rests on. Immutable and thread-safe.
 *
 * @param engine the engine, not null
 * @param highestToken the highest fencing token of a recorded command, not null
 * @param incarnation the incarnation of the last report that changed the row, empty
 * before the first, not null
 * @param sequence the sequence of that report
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
	 * Returns the ledger of an engine that never got a command.
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
	 * Returns the bytes that count as taken: legacy bytes, residents, and every recorded
	 * load whose model is not resident and that may still be run. A load that the engine
	 * would refuse because of a newer token does not count.
	 * @param report the engine's report, not older than this ledger, not null
	 * @return the bytes
	 */
	public long committedBytes(EngineReport report) {
		Map<ModelId, Long> byModel = takingBytes((entry) -> !isFenced(entry, report));
		report.residents().forEach((resident) -> byModel.merge(resident.model(), resident.bytes(), Math::max));
		return report.legacyBytes() + sum(byModel);
	}

	/**
	 * Returns the bytes that could be taken if the engine restarted now and every
	 * recorded load still arrived. A restart may erase what the engine knows of tokens.
	 * @param report the engine's report, not null
	 * @return the bytes
	 */
	public long committedBytesAfterRestart(EngineReport report) {
		return report.legacyBytes() + sum(takingBytes((entry) -> true));
	}

	/**
	 * Returns the models and adapters whose load is outstanding.
	 * @return the models, never null
	 */
	public Set<ModelId> outstandingLoads() {
		return models((entry) -> entry.isOutstanding() && entry.action().isLoad());
	}

	/**
	 * Returns the models and adapters that cannot be loaded now since an unload of them
	 * is outstanding or a copy of it may still arrive.
	 * @return the models, never null
	 */
	public Set<ModelId> pendingUnloads() {
		return models((entry) -> entry.action().isUnload());
	}

	/**
	 * Returns whether a report of the current incarnation is older than what this ledger
	 * rests on. Reports of other incarnations have no order with this ledger.
	 * @param report the report, not null
	 * @return true if it is older
	 */
	public boolean isOlder(EngineReport report) {
		return report.incarnation().equals(this.incarnation) && report.sequence() < this.sequence;
	}

	/**
	 * Marks the commands as finished that the report shows to be, and removes those that
	 * were never sent and never will be.
	 * @param report the report, not older than this ledger, not null
	 * @return the ledger, equal to this one if no entry changed
	 */
	public EngineLedger settled(EngineReport report) {
		List<LedgerEntry> next = this.entries.stream()
			.filter((entry) -> !entry.isNeverSent())
			.map((entry) -> (isFinished(entry, report)) ? entry.asFinished() : entry)
			.filter((entry) -> !isHarmless(entry, report))
			.toList();
		if (next.equals(this.entries)) {
			return this;
		}
		return new EngineLedger(this.engine, this.highestToken, report.incarnation(), report.sequence(), next);
	}

	/**
	 * Removes finished commands of which no copy can arrive any more.
	 * @param commands the commands, not null; those that are outstanding or have an open
	 * sender are kept
	 * @param report the report on which the ledger rests from now on, not older than this
	 * ledger, not null
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
	 * @return the ledger with the command, or the refusal
	 */
	public Admission admit(EngineCommand command, EngineReport report, SenderId sender) {
		if (command.token().compareTo(this.highestToken) < 0) {
			return new Denied(Reason.NEWER_HOLDER, "token " + this.highestToken.value() + " has been used");
		}
		Optional<Denied> denied = switch (command.action()) {
			case LOAD_MODEL, LOAD_ADAPTER -> denyLoad(command, report);
			case UNLOAD_MODEL, UNLOAD_ADAPTER -> denyUnload(command, report);
			case CHANGE_ROLE -> denyRole(command);
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
	 * Records that this engine keeps a model ready while a replica of it, or of its
	 * predecessor, is unloaded.
	 * @param kept the model, not null
	 * @param token the token under which the unload is sent, not null
	 * @param report this engine's report, not older than this ledger, not null
	 * @return the ledger, changed by the caller's token, or the refusal
	 */
	public Admission retainReplica(ModelId kept, FencingToken token, EngineReport report) {
		if (token.compareTo(this.highestToken) < 0) {
			return new Denied(Reason.NEWER_HOLDER, "token " + this.highestToken.value() + " has been used");
		}
		if (!report.isReady(kept) || pendingUnloads().contains(kept)) {
			return new Denied(Reason.NO_KEEPER, this.engine.value());
		}
		return new Admitted(
				new EngineLedger(this.engine, token, report.incarnation(), report.sequence(), this.entries));
	}

	/**
	 * Records that an outstanding command is about to be sent again.
	 * @param command the command, not null
	 * @param token the token under which it is sent, not null
	 * @param sender the process, not null
	 * @return the ledger, or the refusal
	 */
	public Admission resend(AttemptId command, FencingToken token, SenderId sender) {
		if (token.compareTo(this.highestToken) < 0) {
			return new Denied(Reason.NEWER_HOLDER, "token " + this.highestToken.value() + " has been used");
		}
		Optional<LedgerEntry> entry = findEntry(command).filter(LedgerEntry::isOutstanding);
		if (entry.isEmpty()) {
			return new Denied(Reason.NOT_OUTSTANDING, command.value());
		}
		if (entry.get().openSenders().contains(sender)) {
			return new Denied(Reason.STILL_SENDING, command.value());
		}
		return new Admitted(new EngineLedger(this.engine, token, this.incarnation, this.sequence,
				mapped(command, (old) -> old.withResend(token, this.incarnation, sender))));
	}

	/**
	 * Records that a process has finished sending a command.
	 * @param command the command, not null; ignored if it is not in the ledger
	 * @param sender the process, not null
	 * @param result what it knows of the sending, not null
	 * @return the ledger, never null
	 */
	public EngineLedger closeSender(AttemptId command, SenderId sender, CommandResult result) {
		List<LedgerEntry> next = mapped(command, (entry) -> entry.withClosedSender(sender, result)).stream()
			.filter((entry) -> !entry.isNeverSent())
			.toList();
		return withEntries(next);
	}

	/**
	 * Records that the processes of a host have ended, except for one.
	 * @param host the host, not null
	 * @param alive the process that runs, not null
	 * @return the ledger, never null
	 */
	public EngineLedger closeSendersExcept(HostId host, SenderId alive) {
		return withEntries(this.entries.stream().map((entry) -> entry.withClosedSendersExcept(host, alive)).toList());
	}

	private EngineLedger withEntries(List<LedgerEntry> next) {
		return new EngineLedger(this.engine, this.highestToken, this.incarnation, this.sequence, next);
	}

	private List<LedgerEntry> mapped(AttemptId command, UnaryOperator<LedgerEntry> change) {
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
		boolean isObserved = isSameIncarnation && isOnlyEntry(entry) && isEffectVisible(entry, report);
		return isListed || isFenced(entry, report) || isLostByRestart || isObserved;
	}

	private static boolean isFenced(LedgerEntry entry, EngineReport report) {
		return report.isTokenChecked() && report.highestToken().compareTo(entry.token()) > 0;
	}

	private boolean isOnlyEntry(LedgerEntry entry) {
		return this.entries.stream().filter((one) -> one.model().equals(entry.model())).count() == 1;
	}

	private static boolean isEffectVisible(LedgerEntry entry, EngineReport report) {
		return switch (entry.action()) {
			case LOAD_MODEL, LOAD_ADAPTER -> report.isReady(entry.model());
			case UNLOAD_MODEL, UNLOAD_ADAPTER -> resident(report, entry.model()).isEmpty();
			case CHANGE_ROLE -> report.role().name().equals(entry.model().value());
		};
	}

	private static boolean isHarmless(LedgerEntry entry, EngineReport report) {
		return !entry.isOutstanding() && !entry.reservesMemory() && isFenced(entry, report);
	}

	private Optional<Denied> denyLoad(EngineCommand command, EngineReport report) {
		if (resident(report, command.model()).isPresent()) {
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

	private Optional<Denied> denyUnload(EngineCommand command, EngineReport report) {
		if (resident(report, command.model()).isEmpty()) {
			return Optional.of(new Denied(Reason.NOT_RESIDENT, command.model().value()));
		}
		for (LedgerEntry entry : this.entries) {
			if (entry.isOutstanding() && entry.model().equals(command.model())) {
				return Optional.of(new Denied(Reason.COMMAND_PENDING, entry.id().value()));
			}
		}
		return Optional.empty();
	}

	private Optional<Denied> denyRole(EngineCommand command) {
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

	private Map<ModelId, Long> takingBytes(java.util.function.Predicate<LedgerEntry> condition) {
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

	private static Optional<Resident> resident(EngineReport report, ModelId model) {
		return report.residents().stream().filter((one) -> one.model().equals(model)).findFirst();
	}

	private static long sum(Map<ModelId, Long> byModel) {
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
	 * A rule forbids the command now.
	 *
	 * @param reason the rule, not null
	 * @param detail the figure or command that decided, for logs, not null
	 */
	public record Denied(Reason reason, String detail) implements Admission {

	}

	/** Why a command is not recorded. */
	public enum Reason {

		/** The sum of the counted bytes would exceed the memory. */
		NO_MEMORY,

		/** The model is resident. */
		ALREADY_RESIDENT,

		/** The other engine does not keep the model ready. */
		NO_KEEPER,

		/** The model is not resident, or only the legacy system holds it. */
		NOT_RESIDENT,

		/** A command that would conflict is outstanding or a copy may still arrive. */
		COMMAND_PENDING,

		/** The command to send again is not outstanding. */
		NOT_OUTSTANDING,

		/** This process is still sending the command. */
		STILL_SENDING,

		/** The report is older than the ledger, or its order is not known. */
		STALE_REPORT,

		/** The lease is no longer usable. */
		LEASE_EXPIRED,

		/** A later holder of the lease has recorded a command. */
		NEWER_HOLDER,

		/** Other writers changed the row in every turn. */
		CONTENTION

	}

}
