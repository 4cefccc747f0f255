package org.celeryhill.fuzz;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.celeryhill.base.AttemptId;
import org.celeryhill.base.BackendServerId;
import org.celeryhill.base.FencingToken;
import org.celeryhill.base.HostId;
import org.celeryhill.base.ModelId;
import org.celeryhill.fake.FakeEngineMemory;
import org.celeryhill.port.Engine.CommandResult;
import org.celeryhill.port.EngineCommand;
import org.celeryhill.port.EngineCommand.Action;
import org.celeryhill.port.EngineReport;
import org.celeryhill.state.AttemptIds;
import org.celeryhill.state.CommandLedgerStore;
import org.celeryhill.state.ConditionalWriter;
import org.celeryhill.state.EngineLedger;
import org.celeryhill.state.Lease;
import org.celeryhill.state.LeaseName;
import org.celeryhill.state.LeaseStore;
import org.celeryhill.state.LedgerEntry;
import org.celeryhill.state.RetryPolicy;

/**
 * Simulates three planners that record and send commands to three engines, based on
 * reports of any age. Promise: the memory of an engine is never overcommitted. A planner
 * may act under a lease that it was not granted, since memory safety must not depend on
 * the lease.
 */
class MemorySimulation extends Simulation {

	/** Sizes of the models in bytes. */
	private static final long[] MODEL_BYTES = { 30, 45, 60, 25, 40, 10 };

	/** Memory of an engine in bytes. */
	private static final long MEMORY = 100;

	/** Number of rounds without faults after which all ledgers must be empty. */
	private static final int MAX_RECOVERY_ROUNDS = 60;

	/** Name of the lease of the group of engines. */
	private static final LeaseName LEASE_NAME = LeaseName.of("group");

	/** Duration of the lease. */
	private static final Duration LEASE = Duration.ofSeconds(15);

	/** Generates the attempt ids of all processes. */
	private final java.util.function.Supplier<AttemptId> attemptIds = AttemptIds.sequential("id");

	/** Engines that receive the commands. */
	protected final List<FakeEngineMemory> engines = new ArrayList<>();

	/** Planners that send the commands. */
	protected final List<Planner> planners = new ArrayList<>();

	/** Highest fencing token that any planner has used. */
	private FencingToken highestToken = FencingToken.ZERO;

	MemorySimulation() {
		FakeEngineMemory.Settings settings = FakeEngineMemory.Settings.ofMemory(MEMORY).withLegacyBytes(10);
		addEngine(settings);
		addEngine(settings.withMaxSettledIds(2));
		addEngine(settings.withTokenChecked(true).withMaxSettledIds(4));
		for (int i = 0; i < 3; i++) {
			this.planners.add(new Planner(HostId.of("planner-" + i)));
		}
	}

	private void addEngine(FakeEngineMemory.Settings settings) {
		BackendServerId id = BackendServerId.of("engine-" + this.engines.size());
		addFaultTarget(id.value());
		this.engines.add(FakeEngineMemory.create(id, settings, this.timer, this.faults, this.timer::advance));
	}

	@Override
	Map<String, Integer> actionWeights() {
		return Map.ofEntries(Map.entry("round", 60), Map.entry("look", 20), Map.entry("load", 24),
				Map.entry("unload", 10), Map.entry("role", 1), Map.entry("send", 20), Map.entry("close", 8),
				Map.entry("resend", 6), Map.entry("settle", 12), Map.entry("abandon", 1), Map.entry("lease", 4),
				Map.entry("forge", 6), Map.entry("crash", 2), Map.entry("start", 2), Map.entry("restart", 2),
				Map.entry("gone", 1));
	}

	@Override
	void runStep(Step step) {
		Planner planner = this.planners.get(step.a() % this.planners.size());
		int engine = step.b() % this.engines.size();
		switch (step.action()) {
			case "round" -> planner.runRound(engine, step.c() % MODEL_BYTES.length);
			case "look" -> planner.readReport(engine);
			case "load" -> planner.createAndRecordCommand(engine, Action.LOAD_MODEL, step.c() % MODEL_BYTES.length);
			case "unload" -> planner.createAndRecordCommand(engine, Action.UNLOAD_MODEL, step.c() % MODEL_BYTES.length);
			case "role" -> planner.createAndRecordCommand(engine, Action.CHANGE_ROLE, step.c() % 3);
			case "send" -> planner.sendCommand(step.b(), step.c() % 2 == 0);
			case "close" -> planner.closeOldestSend();
			case "resend" -> planner.resendOutstanding(engine);
			case "settle" -> planner.settleLedger(engine);
			case "abandon" -> planner.abandonCommand();
			case "lease" -> planner.acquireLease();
			case "forge" -> planner.useForgedLease(step.c() % 2);
			case "crash" -> planner.restart();
			case "start" -> planner.ledgerStore.closeSendersOfEarlierProcesses();
			case "restart" -> this.engines.get(engine).restart();
			case "gone" -> closeSendsOfStoppedPlanner(planner, engine, step.c());
			default -> throw new IllegalArgumentException("unknown action " + step.action());
		}
	}

	private void closeSendsOfStoppedPlanner(Planner planner, int engine, int stoppedIndex) {
		Planner stoppedPlanner = this.planners.get(stoppedIndex % this.planners.size());
		if (stoppedPlanner != planner) {
			stoppedPlanner.restart();
			planner.ledgerStore.closeSenders(this.engines.get(engine).report().engine(), stoppedPlanner.host);
		}
	}

	@Override
	void checkPromise() {
		for (FakeEngineMemory engine : this.engines) {
			long bytes = engine.overcommittedBytes();
			require(bytes == 0, bytes + " bytes overcommitted on " + engine.report().engine());
		}
	}

	@Override
	void checkRecovery() {
		endFaults();
		for (int round = 0; round < MAX_RECOVERY_ROUNDS && !areLedgersEmpty(); round++) {
			runRecoveryRound();
			checkPromise();
		}
		require(areLedgersEmpty(), "a ledger still has commands although all faults have ended");
	}

	private void runRecoveryRound() {
		Planner recoveringPlanner = this.planners.get(0);
		for (Planner planner : this.planners) {
			planner.sendAndCloseAll();
			planner.ledgerStore.closeSendersOfEarlierProcesses();
		}
		recoveringPlanner.useForgedLease(1);
		for (int engine = 0; engine < this.engines.size(); engine++) {
			recoveringPlanner.readReport(engine);
			recoveringPlanner.settleLedger(engine);
			recoveringPlanner.resendOutstanding(engine);
			recoveringPlanner.sendAndCloseAll();
		}
		this.timer.advance(Duration.ofSeconds(5));
	}

	private boolean areLedgersEmpty() {
		CommandLedgerStore.LoadAllResult result = this.planners.get(0).ledgerStore.loadAll();
		return result instanceof CommandLedgerStore.LoadedAll all
				&& all.ledgers().values().stream().allMatch((ledger) -> ledger.entries().isEmpty());
	}

	/**
	 * Records a command in the ledger before it is sent. Broken variants override this.
	 * @param planner the planner that sends the command
	 * @param command the command to record
	 * @param report the report on which the planner based the command
	 * @param requestedNanos when the planner requested the report, in nanoseconds of
	 * virtual time
	 * @return true if the command may be sent
	 */
	protected boolean recordCommand(Planner planner, EngineCommand command, EngineReport report, long requestedNanos) {
		return planner.ledgerStore.record(planner.lease, command, report,
				requestedNanos) instanceof CommandLedgerStore.Recorded;
	}

	/**
	 * Returns how long after the end of a send a duplicate of the command may still
	 * arrive. Broken variants override this.
	 * @return the copy bound of the ledgers
	 */
	protected Duration copyBound() {
		return CommandLedgerStore.DEFAULT_COPY_BOUND;
	}

	/** A planner process that can be restarted. */
	protected final class Planner {

		/** Host of the process. */
		private final HostId host;

		/** Identity of the running process; a crash replaces it. */
		private Object incarnation;

		/** Lease store of the running process. */
		private LeaseStore leaseStore;

		/** Command ledgers as the running process accesses them. */
		private CommandLedgerStore ledgerStore;

		/** Latest granted or forged lease, null if the planner has none. */
		private Lease lease;

		/** Latest report of each engine, null before the first. */
		private final EngineReport[] reports = new EngineReport[3];

		/** When each report was requested, in nanoseconds of virtual time. */
		private final long[] requestedNanos = new long[3];

		/** Recorded commands that have not been sent. */
		private final List<EngineCommand> commandsToSend = new ArrayList<>();

		/** Sent commands whose outcome is not yet recorded in the ledger. */
		private final List<SentCommand> sentCommands = new ArrayList<>();

		private Planner(HostId host) {
			this.host = host;
			restart();
		}

		private void restart() {
			Object newIncarnation = new Object();
			this.incarnation = newIncarnation;
			ConditionalWriter writer = ConditionalWriter.create(processTable(() -> this.incarnation == newIncarnation),
					MemorySimulation.this.attemptIds, RetryPolicy.immediate());
			this.leaseStore = LeaseStore.create(writer, MemorySimulation.this.timer, this.host, LEASE);
			this.ledgerStore = CommandLedgerStore.create(writer, MemorySimulation.this.timer, this.host, copyBound());
			this.lease = null;
			this.commandsToSend.clear();
			this.sentCommands.clear();
			java.util.Arrays.fill(this.reports, null);
		}

		private void runRound(int engine, int model) {
			if (this.lease == null || !this.lease.isUsable(MemorySimulation.this.timer.nanoTime())) {
				useForgedLease(0);
			}
			readReport(engine);
			settleLedger(engine);
			ModelId id = ModelId.of("model-" + model);
			boolean isResident = this.reports[engine].residents()
				.stream()
				.anyMatch((resident) -> resident.model().equals(id));
			createAndRecordCommand(engine, (isResident) ? Action.UNLOAD_MODEL : Action.LOAD_MODEL, model);
			sendCommand(this.commandsToSend.size() - 1, true);
		}

		private void readReport(int engine) {
			this.requestedNanos[engine] = MemorySimulation.this.timer.nanoTime();
			this.reports[engine] = MemorySimulation.this.engines.get(engine).report();
		}

		private void createAndRecordCommand(int engine, Action action, int model) {
			EngineReport report = this.reports[engine];
			if (this.lease == null || report == null) {
				return;
			}
			boolean isRoleChange = action == Action.CHANGE_ROLE;
			ModelId target = ModelId.of((isRoleChange) ? EngineReport.Role.values()[model].name() : "model-" + model);
			EngineCommand command = new EngineCommand(MemorySimulation.this.attemptIds.get(), report.engine(), action,
					target, (isRoleChange) ? 0 : MODEL_BYTES[model], this.lease.token());
			if (MemorySimulation.this.recordCommand(this, command, report, this.requestedNanos[engine])) {
				this.commandsToSend.add(command);
			}
		}

		private void sendCommand(int index, boolean isClosedImmediately) {
			if (this.commandsToSend.isEmpty()) {
				return;
			}
			EngineCommand command = this.commandsToSend.remove(index % this.commandsToSend.size());
			int engine = Integer.parseInt(command.engine().value().substring("engine-".length()));
			CommandResult result = MemorySimulation.this.engines.get(engine).send(command);
			this.sentCommands.add(new SentCommand(command, result));
			if (isClosedImmediately) {
				closeOldestSend();
			}
		}

		private void closeOldestSend() {
			if (!this.sentCommands.isEmpty()) {
				SentCommand sent = this.sentCommands.remove(0);
				this.ledgerStore.finishSend(sent.command().engine(), sent.command().attempt(), sent.result());
			}
		}

		private void sendAndCloseAll() {
			while (!this.commandsToSend.isEmpty()) {
				sendCommand(0, false);
			}
			while (!this.sentCommands.isEmpty()) {
				closeOldestSend();
			}
		}

		private void resendOutstanding(int engine) {
			BackendServerId id = BackendServerId.of("engine-" + engine);
			if (this.lease == null || !(this.ledgerStore.load(id) instanceof CommandLedgerStore.Loaded loaded)) {
				return;
			}
			EngineLedger current = loaded.ledger();
			for (LedgerEntry entry : current.entries()) {
				if (entry.isOutstanding() && this.ledgerStore.resend(this.lease, id,
						entry) instanceof CommandLedgerStore.Recorded recorded) {
					this.commandsToSend.add(recorded.command());
				}
			}
		}

		private void settleLedger(int engine) {
			if (this.reports[engine] != null) {
				this.ledgerStore.settle(this.reports[engine], this.requestedNanos[engine]);
			}
		}

		private void abandonCommand() {
			if (!this.commandsToSend.isEmpty()) {
				EngineCommand command = this.commandsToSend.remove(0);
				this.ledgerStore.abandon(command.engine(), command.attempt());
			}
		}

		private void acquireLease() {
			if (this.leaseStore.acquire(LEASE_NAME) instanceof LeaseStore.Granted granted) {
				useLease(granted.lease());
			}
		}

		private void useForgedLease(int tokenIncrement) {
			FencingToken token = new FencingToken(MemorySimulation.this.highestToken.value() + tokenIncrement);
			useLease(new Lease(LEASE_NAME, this.host, AttemptId.of("forged"), token, LEASE,
					MemorySimulation.this.timer.nanoTime()));
		}

		private void useLease(Lease newLease) {
			this.lease = newLease;
			if (newLease.token().compareTo(MemorySimulation.this.highestToken) > 0) {
				MemorySimulation.this.highestToken = newLease.token();
			}
		}

	}

	/**
	 * A command that was sent.
	 *
	 * @param command the command that was sent
	 * @param result the outcome that the planner observed
	 */
	private record SentCommand(EngineCommand command, CommandResult result) {

	}

}
