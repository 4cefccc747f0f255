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

class CommandLedgerTests {

	private final Fixture fixture = new Fixture();

	private final FakeEngineMemory engine = this.fixture.engine(false);

	private final CommandLedgerStore first = this.fixture.ledger("host-1");

	private final CommandLedgerStore second = this.fixture.ledger("host-2");

	/** Guards against two planners that both fill the same free memory. */
	@Test
	void secondPlannerWithSameBeliefIsRefused() {
		EngineReport report = this.engine.report();
		assertThat(record(this.first, report, load("a", 60, 1))).isInstanceOf(CommandLedgerStore.Recorded.class);
		assertRefused(record(this.second, report, load("b", 60, 1)), EngineLedger.Reason.NO_MEMORY);
	}

	/** Guards against a paused planner whose load arrives after its memory was reused. */
	@Test
	void pausedSenderKeepsMemoryReserved() {
		EngineCommand paused = load("a", 60, 1);
		record(this.first, this.engine.report(), paused);
		LedgerEntry entry = settle(this.second).entries().get(0);
		run(this.second,
				((CommandLedgerStore.Recorded) this.second.resend(this.fixture.lease(2), Fixture.ENGINE, entry)).command());
		this.fixture.advance(5);
		settle(this.second);
		run(this.second, recorded(this.second, new EngineCommand(this.fixture.ids.get(), Fixture.ENGINE,
				Action.UNLOAD_MODEL, paused.model(), 60, this.fixture.lease(2).token())));
		this.fixture.advance(200);
		assertThat(settle(this.second).entries()).extracting(LedgerEntry::id).contains(paused.attempt());
		assertRefused(record(this.second, this.engine.report(), load("b", 60, 2)), EngineLedger.Reason.NO_MEMORY);
		run(this.first, paused);
		this.fixture.advance(200);
		settle(this.second);
		this.fixture.advance(61);
		assertThat(settle(this.second).entries()).isEmpty();
	}

	/** Guards against a copy of a finished load that arrives after an unload. */
	@Test
	void copyOfFinishedLoadIsCountedUntilBound() {
		EngineCommand load = load("a", 60, 1);
		run(this.first, recorded(this.first, load));
		this.fixture.advance(5);
		settle(this.first);
		run(this.first, recorded(this.first, command(Action.UNLOAD_MODEL, "a", 60, 1)));
		this.fixture.advance(1);
		settle(this.first);
		assertRefused(record(this.first, this.engine.report(), load("b", 60, 1)), EngineLedger.Reason.NO_MEMORY);
		this.fixture.advance(61);
		settle(this.first);
		recorded(this.first, load("b", 60, 1));
	}

	/**
	 * Regression of fuzzing seed 404: a report from before the sending dropped a load.
	 */
	@Test
	void reportFromBeforeSendingDropsNothing() {
		EngineCommand load = load("a", 60, 1);
		recorded(this.first, load);
		settle(this.first);
		this.engine.restart();
		this.fixture.advance(1);
		EngineReport old = this.engine.report();
		long asked = this.fixture.timer.nanoTime();
		run(this.first, load);
		this.first.settle(old, asked);
		this.first.settle(old, asked);
		this.fixture.advance(61);
		this.first.settle(old, asked);
		assertRefused(this.first.record(this.fixture.lease(1), load("b", 60, 1), old, asked),
				EngineLedger.Reason.NO_MEMORY);
	}

	/** Guards against a load and an unload of one model that overtake each other. */
	@Test
	void loadAndUnloadOfOneModelExcludeEachOther() {
		run(this.first, recorded(this.first, load("a", 60, 1)));
		assertRefused(record(this.first, this.engine.report(), command(Action.UNLOAD_MODEL, "a", 60, 1)),
				EngineLedger.Reason.COMMAND_PENDING);
		this.fixture.advance(5);
		run(this.first, recorded(this.first, command(Action.UNLOAD_MODEL, "a", 60, 1)));
		this.fixture.advance(1);
		settle(this.first);
		assertRefused(record(this.first, this.engine.report(), load("a", 60, 1)), EngineLedger.Reason.COMMAND_PENDING);
	}

	/**
	 * Guards against a decision on a report from before a restart that others have seen.
	 */
	@Test
	void reportOfEarlierIncarnationIsRefused() {
		EngineReport old = this.engine.report();
		long asked = this.fixture.timer.nanoTime();
		this.engine.restart();
		this.fixture.advance(1);
		recorded(this.second, load("a", 60, 1));
		assertRefused(this.first.record(this.fixture.lease(1), load("b", 10, 1), old, asked),
				EngineLedger.Reason.STALE_REPORT);
	}

	/** Guards against a newer token that settles a load which a restart lets in again. */
	@Test
	void newerTokenFreesMemoryOnlyUpToRestart() {
		FakeEngineMemory checking = this.fixture.engine(true);
		EngineCommand lost = load("a", 60, 1);
		record(this.first, checking.report(), lost);
		EngineCommand newer = load("b", 30, 2);
		assertThat(record(this.second, checking.report(), newer)).isInstanceOf(CommandLedgerStore.Recorded.class);
		this.second.finishSend(Fixture.ENGINE, newer.attempt(), checking.send(newer));
		this.fixture.advance(5);
		assertThat(checking.receive(lost)).isEqualTo(CommandResult.REFUSED_TOKEN);
		EngineLedger ledger = ((CommandLedgerStore.Changed) this.second.settle(checking.report(),
				this.fixture.timer.nanoTime()))
			.ledger();
		assertThat(ledger.committedBytes(checking.report())).isEqualTo(30);
		assertRefused(record(this.second, checking.report(), load("c", 20, 2)), EngineLedger.Reason.NO_MEMORY);
	}

	/** Regression of fuzzing seed 2: a resend without an answer blocked its entry. */
	@Test
	void resendWithoutAnswerCanBeRepeated() {
		EngineCommand load = load("a", 60, 1);
		record(this.second, this.engine.report(), load);
		LedgerEntry entry = settle(this.first).entries().get(0);
		this.fixture.faults.script(Fixture.TABLE, Fault.NONE, Fault.LOST_ANSWER, Fault.DOWN, Fault.DOWN, Fault.DOWN,
				Fault.DOWN, Fault.DOWN);
		assertThat(this.first.resend(this.fixture.lease(2), Fixture.ENGINE, entry))
			.isInstanceOf(StoreUnavailable.class);
		assertThat(this.first.resend(this.fixture.lease(2), Fixture.ENGINE, entry))
			.isInstanceOf(CommandLedgerStore.Recorded.class);
	}

	/** Guards against a paused planner that unloads the replica another removal keeps. */
	@Test
	void removalFencesItsKeeper() {
		FakeEngineMemory other = FakeEngineMemory.create(BackendServerId.of("engine-2"),
				FakeEngineMemory.Settings.ofMemory(100), this.fixture.timer, this.fixture.faults);
		EngineCommand load = load("a", 60, 1);
		run(this.first, recorded(this.first, load));
		other.receive(load);
		this.fixture.advance(5);
		EngineCommand here = command(Action.UNLOAD_MODEL, "a", 60, 2);
		EngineCommand there = new EngineCommand(this.fixture.ids.get(), other.report().engine(), Action.UNLOAD_MODEL,
				load.model(), 60, this.fixture.lease(1).token());
		long now = this.fixture.timer.nanoTime();
		assertThat(this.second.recordReplicaRemoval(this.fixture.lease(2), here, this.engine.report(), load.model(),
				other.report(), now))
			.isEqualTo(new CommandLedgerStore.Recorded(here));
		assertRefused(this.first.recordReplicaRemoval(this.fixture.lease(1), there, other.report(), load.model(),
				this.engine.report(), now), EngineLedger.Reason.NEWER_HOLDER);
		assertRefused(this.first.record(this.fixture.lease(1), there, other.report(), now),
				EngineLedger.Reason.NEWER_HOLDER);
	}

	/**
	 * Guards against a restarted planner whose earlier sendings reserve memory for good.
	 */
	@Test
	void restartedPlannerClosesItsEarlierSendings() {
		record(this.first, this.engine.report(), load("a", 60, 1));
		CommandLedgerStore restarted = this.fixture.ledger("host-1");
		restarted.closeSendersOfEarlierProcesses();
		LedgerEntry entry = settle(this.second).entries().get(0);
		assertThat(entry.hasNoOpenSenders()).isTrue();
		assertThat(entry.isOutstanding()).isTrue();
	}

	private EngineCommand load(String model, long bytes, long token) {
		return command(Action.LOAD_MODEL, model, bytes, token);
	}

	private EngineCommand command(Action action, String model, long bytes, long token) {
		return this.fixture.command(action, model, bytes, token);
	}

	private CommandLedgerStore.RecordResult record(CommandLedgerStore ledger, EngineReport report, EngineCommand command) {
		return ledger.record(this.fixture.lease(command.token().value()), command, report,
				this.fixture.timer.nanoTime());
	}

	private EngineCommand recorded(CommandLedgerStore ledger, EngineCommand command) {
		assertThat(record(ledger, this.engine.report(), command)).isEqualTo(new CommandLedgerStore.Recorded(command));
		return command;
	}

	private void run(CommandLedgerStore ledger, EngineCommand command) {
		ledger.finishSend(Fixture.ENGINE, command.attempt(), this.engine.send(command));
	}

	private EngineLedger settle(CommandLedgerStore ledger) {
		return ((CommandLedgerStore.Changed) ledger.settle(this.engine.report(), this.fixture.timer.nanoTime())).ledger();
	}

	private static void assertRefused(CommandLedgerStore.RecordResult result, EngineLedger.Reason reason) {
		assertThat(result).isInstanceOfSatisfying(CommandLedgerStore.Refused.class,
				(refused) -> assertThat(refused.reason()).isEqualTo(reason));
	}

}
