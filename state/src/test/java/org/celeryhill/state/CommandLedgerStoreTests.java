package org.celeryhill.state;

import org.celeryhill.base.BackendServerId;
import org.celeryhill.fake.FakeEngineMemory;
import org.celeryhill.fake.Fault;
import org.celeryhill.port.Engine.CommandResult;
import org.celeryhill.port.EngineCommand;
import org.celeryhill.port.EngineCommand.Action;
import org.celeryhill.port.EngineReport;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class CommandLedgerStoreTests {

	private final StateFixture fixture = new StateFixture();

	private final FakeEngineMemory engine = this.fixture.engine(false);

	private final CommandLedgerStore firstPlanner = this.fixture.ledgerStore("host-1");

	private final CommandLedgerStore secondPlanner = this.fixture.ledgerStore("host-2");

	/**
	 * Guards against two planners that assign the same free memory because they decide on
	 * the same report.
	 */
	@Test
	void secondPlannerWithSameReportIsRefused() {
		EngineReport report = this.engine.report();
		assertThat(record(this.firstPlanner, report, load("a", 60, 1))).isInstanceOf(CommandLedgerStore.Recorded.class);
		assertRefused(record(this.secondPlanner, report, load("b", 60, 1)), EngineLedger.Reason.NO_MEMORY);
	}

	/**
	 * Guards against an overcommitted engine when a planner pauses before it sends a
	 * recorded load. Another planner resends the load and unloads the model; the memory
	 * stays reserved until the paused planner has finished its send and the copy bound
	 * has passed.
	 */
	@Test
	void pausedSenderKeepsMemoryReserved() {
		EngineCommand pausedLoad = load("a", 60, 1);
		record(this.firstPlanner, this.engine.report(), pausedLoad);
		LedgerEntry entry = settle(this.secondPlanner).entries().get(0);
		sendCommand(this.secondPlanner, ((CommandLedgerStore.Recorded) this.secondPlanner.resend(this.fixture.lease(2),
				StateFixture.ENGINE, entry))
			.command());
		this.fixture.advanceSeconds(5);
		settle(this.secondPlanner);
		sendCommand(this.secondPlanner, assertRecorded(this.secondPlanner, new EngineCommand(this.fixture.ids.get(),
				StateFixture.ENGINE, Action.UNLOAD_MODEL, pausedLoad.model(), 60, this.fixture.lease(2).token())));
		this.fixture.advanceSeconds(200);
		assertThat(settle(this.secondPlanner).entries()).extracting(LedgerEntry::id).contains(pausedLoad.attempt());
		assertRefused(record(this.secondPlanner, this.engine.report(), load("b", 60, 2)),
				EngineLedger.Reason.NO_MEMORY);
		sendCommand(this.firstPlanner, pausedLoad);
		this.fixture.advanceSeconds(200);
		settle(this.secondPlanner);
		this.fixture.advanceSeconds(61);
		assertThat(settle(this.secondPlanner).entries()).isEmpty();
	}

	/**
	 * Guards against an overcommitted engine when a duplicate of a finished load arrives
	 * after the model was unloaded. The memory stays reserved until the copy bound has
	 * passed.
	 */
	@Test
	void finishedLoadReservesMemoryUntilCopyBound() {
		EngineCommand load = load("a", 60, 1);
		sendCommand(this.firstPlanner, assertRecorded(this.firstPlanner, load));
		this.fixture.advanceSeconds(5);
		settle(this.firstPlanner);
		sendCommand(this.firstPlanner, assertRecorded(this.firstPlanner, command(Action.UNLOAD_MODEL, "a", 60, 1)));
		this.fixture.advanceSeconds(1);
		settle(this.firstPlanner);
		assertRefused(record(this.firstPlanner, this.engine.report(), load("b", 60, 1)), EngineLedger.Reason.NO_MEMORY);
		this.fixture.advanceSeconds(61);
		settle(this.firstPlanner);
		assertRecorded(this.firstPlanner, load("b", 60, 1));
	}

	/**
	 * Guards against a load that a report from before its send removes from the ledger,
	 * which freed its memory too early (found by fuzzing, seed 404).
	 */
	@Test
	void reportFromBeforeSendRemovesNothing() {
		EngineCommand load = load("a", 60, 1);
		assertRecorded(this.firstPlanner, load);
		settle(this.firstPlanner);
		this.engine.restart();
		this.fixture.advanceSeconds(1);
		EngineReport staleReport = this.engine.report();
		long requestedNanos = this.fixture.timer.nanoTime();
		sendCommand(this.firstPlanner, load);
		this.firstPlanner.settle(staleReport, requestedNanos);
		this.firstPlanner.settle(staleReport, requestedNanos);
		this.fixture.advanceSeconds(61);
		this.firstPlanner.settle(staleReport, requestedNanos);
		assertRefused(this.firstPlanner.record(this.fixture.lease(1), load("b", 60, 1), staleReport, requestedNanos),
				EngineLedger.Reason.NO_MEMORY);
	}

	/**
	 * Guards against a load and an unload of the same model that the engine executes in
	 * the wrong order. Each is refused while the other is outstanding, and a load also
	 * while a duplicate of the unload may still arrive.
	 */
	@Test
	void loadAndUnloadOfOneModelExcludeEachOther() {
		sendCommand(this.firstPlanner, assertRecorded(this.firstPlanner, load("a", 60, 1)));
		assertRefused(record(this.firstPlanner, this.engine.report(), command(Action.UNLOAD_MODEL, "a", 60, 1)),
				EngineLedger.Reason.COMMAND_PENDING);
		this.fixture.advanceSeconds(5);
		sendCommand(this.firstPlanner, assertRecorded(this.firstPlanner, command(Action.UNLOAD_MODEL, "a", 60, 1)));
		this.fixture.advanceSeconds(1);
		settle(this.firstPlanner);
		assertRefused(record(this.firstPlanner, this.engine.report(), load("a", 60, 1)),
				EngineLedger.Reason.COMMAND_PENDING);
	}

	/**
	 * Guards against a command that is decided on a report from before a restart of the
	 * engine, when another planner has already recorded the new incarnation.
	 */
	@Test
	void reportOfEarlierIncarnationIsRefused() {
		EngineReport staleReport = this.engine.report();
		long requestedNanos = this.fixture.timer.nanoTime();
		this.engine.restart();
		this.fixture.advanceSeconds(1);
		assertRecorded(this.secondPlanner, load("a", 60, 1));
		assertRefused(this.firstPlanner.record(this.fixture.lease(1), load("b", 10, 1), staleReport, requestedNanos),
				EngineLedger.Reason.STALE_REPORT);
	}

	/**
	 * Guards against an overcommitted engine when a restart erases the highest token that
	 * it has seen. A load that is fenced by a newer token frees its memory, but stays
	 * counted for the case that it arrives after a restart.
	 */
	@Test
	void fencedLoadIsCountedForRestart() {
		FakeEngineMemory tokenCheckingEngine = this.fixture.engine(true);
		EngineCommand fencedLoad = load("a", 60, 1);
		record(this.firstPlanner, tokenCheckingEngine.report(), fencedLoad);
		EngineCommand newerLoad = load("b", 30, 2);
		assertThat(record(this.secondPlanner, tokenCheckingEngine.report(), newerLoad))
			.isInstanceOf(CommandLedgerStore.Recorded.class);
		this.secondPlanner.finishSend(StateFixture.ENGINE, newerLoad.attempt(), tokenCheckingEngine.send(newerLoad));
		this.fixture.advanceSeconds(5);
		assertThat(tokenCheckingEngine.execute(fencedLoad)).isEqualTo(CommandResult.REFUSED_TOKEN);
		EngineLedger ledger = ((CommandLedgerStore.Changed) this.secondPlanner.settle(tokenCheckingEngine.report(),
				this.fixture.timer.nanoTime()))
			.ledger();
		assertThat(ledger.committedBytes(tokenCheckingEngine.report())).isEqualTo(30);
		assertRefused(record(this.secondPlanner, tokenCheckingEngine.report(), load("c", 20, 2)),
				EngineLedger.Reason.NO_MEMORY);
	}

	/**
	 * Guards against an entry that can never be resent after the write of a resend got no
	 * response (found by fuzzing, seed 2).
	 */
	@Test
	void resendWithoutResponseCanBeRepeated() {
		EngineCommand load = load("a", 60, 1);
		record(this.secondPlanner, this.engine.report(), load);
		LedgerEntry entry = settle(this.firstPlanner).entries().get(0);
		this.fixture.faults.script(StateFixture.TABLE, Fault.NONE, Fault.LOST_ANSWER, Fault.DOWN, Fault.DOWN,
				Fault.DOWN, Fault.DOWN, Fault.DOWN);
		assertThat(this.firstPlanner.resend(this.fixture.lease(2), StateFixture.ENGINE, entry))
			.isInstanceOf(StoreUnavailable.class);
		assertThat(this.firstPlanner.resend(this.fixture.lease(2), StateFixture.ENGINE, entry))
			.isInstanceOf(CommandLedgerStore.Recorded.class);
	}

	/**
	 * Guards against the removal of both replicas of a model. A planner with an older
	 * token must not unload the replica that a newer removal relies on.
	 */
	@Test
	void removalPreventsUnloadFromKeeper() {
		FakeEngineMemory otherEngine = FakeEngineMemory.create(BackendServerId.of("engine-2"),
				FakeEngineMemory.Settings.ofMemory(100), this.fixture.timer, this.fixture.faults);
		EngineCommand load = load("a", 60, 1);
		sendCommand(this.firstPlanner, assertRecorded(this.firstPlanner, load));
		otherEngine.execute(load);
		this.fixture.advanceSeconds(5);
		EngineCommand newerRemoval = command(Action.UNLOAD_MODEL, "a", 60, 2);
		EngineCommand olderRemoval = new EngineCommand(this.fixture.ids.get(), otherEngine.report().engine(),
				Action.UNLOAD_MODEL, load.model(), 60, this.fixture.lease(1).token());
		long now = this.fixture.timer.nanoTime();
		assertThat(this.secondPlanner.recordReplicaRemoval(this.fixture.lease(2), newerRemoval, this.engine.report(),
				load.model(), otherEngine.report(), now))
			.isEqualTo(new CommandLedgerStore.Recorded(newerRemoval));
		assertRefused(this.firstPlanner.recordReplicaRemoval(this.fixture.lease(1), olderRemoval, otherEngine.report(),
				load.model(), this.engine.report(), now), EngineLedger.Reason.NEWER_HOLDER);
		assertRefused(this.firstPlanner.record(this.fixture.lease(1), olderRemoval, otherEngine.report(), now),
				EngineLedger.Reason.NEWER_HOLDER);
	}

	/**
	 * Guards against memory that stays reserved forever because of sends that a planner
	 * had open before its restart.
	 */
	@Test
	void restartedPlannerClosesSendsOfEarlierProcess() {
		record(this.firstPlanner, this.engine.report(), load("a", 60, 1));
		CommandLedgerStore restarted = this.fixture.ledgerStore("host-1");
		restarted.closeSendersOfEarlierProcesses();
		LedgerEntry entry = settle(this.secondPlanner).entries().get(0);
		assertThat(entry.hasNoOpenSenders()).isTrue();
		assertThat(entry.isOutstanding()).isTrue();
	}

	private EngineCommand load(String model, long bytes, long token) {
		return command(Action.LOAD_MODEL, model, bytes, token);
	}

	private EngineCommand command(Action action, String model, long bytes, long token) {
		return this.fixture.command(action, model, bytes, token);
	}

	private CommandLedgerStore.RecordResult record(CommandLedgerStore ledger, EngineReport report,
			EngineCommand command) {
		return ledger.record(this.fixture.lease(command.token().value()), command, report,
				this.fixture.timer.nanoTime());
	}

	private EngineCommand assertRecorded(CommandLedgerStore ledger, EngineCommand command) {
		assertThat(record(ledger, this.engine.report(), command)).isEqualTo(new CommandLedgerStore.Recorded(command));
		return command;
	}

	private void sendCommand(CommandLedgerStore ledger, EngineCommand command) {
		ledger.finishSend(StateFixture.ENGINE, command.attempt(), this.engine.send(command));
	}

	private EngineLedger settle(CommandLedgerStore ledger) {
		return ((CommandLedgerStore.Changed) ledger.settle(this.engine.report(), this.fixture.timer.nanoTime()))
			.ledger();
	}

	private static void assertRefused(CommandLedgerStore.RecordResult result, EngineLedger.Reason reason) {
		assertThat(result).isInstanceOfSatisfying(CommandLedgerStore.Refused.class,
				(refused) -> assertThat(refused.reason()).isEqualTo(reason));
	}

}
