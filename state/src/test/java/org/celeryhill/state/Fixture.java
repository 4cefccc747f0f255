package org.celeryhill.state;

import java.time.Duration;
import java.time.Instant;
import java.util.function.Supplier;

import org.celeryhill.base.AttemptId;
import org.celeryhill.base.BackendServerId;
import org.celeryhill.base.FencingToken;
import org.celeryhill.base.HostId;
import org.celeryhill.base.ModelId;
import org.celeryhill.base.VirtualTimerService;
import org.celeryhill.fake.FakeEngineMemory;
import org.celeryhill.fake.FakeObjectService;
import org.celeryhill.fake.FakeTableService;
import org.celeryhill.fake.FaultSwitchboard;
import org.celeryhill.port.EngineCommand;
import org.celeryhill.port.EngineCommand.Action;

/** Fakes and short forms shared by the tests of this module. */
final class Fixture {

	/** Engine of the tests, with 100 bytes. */
	static final BackendServerId ENGINE = BackendServerId.of("engine-1");

	/** Name of the fault target of the table. */
	static final String TABLE = FakeTableService.TARGET;

	/** Time. */
	final VirtualTimerService timer = VirtualTimerService.startingAt(Instant.parse("2030-01-01T00:00:00Z"));

	/** Faults. */
	final FaultSwitchboard faults = FaultSwitchboard.ofSeed(1);

	/** Table service. */
	final FakeTableService table = FakeTableService.create(this.timer, this.faults);

	/** Object service. */
	final FakeObjectService objects = FakeObjectService.create(this.timer, this.faults);

	/** Ids. */
	final Supplier<AttemptId> ids = AttemptIds.sequential("id");

	/** Writer with three immediate tries. */
	final ConditionalWriter writer = ConditionalWriter.create(this.table, this.ids, RetryPolicy.immediate());

	/**
	 * Returns an engine.
	 * @param isTokenChecked whether it refuses older tokens
	 * @return the engine
	 */
	FakeEngineMemory engine(boolean isTokenChecked) {
		return FakeEngineMemory.create(ENGINE, FakeEngineMemory.Settings.ofMemory(100).withTokenChecked(isTokenChecked),
				this.timer, this.faults);
	}

	/**
	 * Returns the ledgers of a planner process.
	 * @param host the host
	 * @return the ledgers
	 */
	CommandLedgerStore ledger(String host) {
		return CommandLedgerStore.create(this.writer, this.timer, HostId.of(host), CommandLedgerStore.DEFAULT_COPY_BOUND);
	}

	/**
	 * Returns a lease that was renewed just now.
	 * @param token the token
	 * @return the lease
	 */
	Lease lease(long token) {
		return new Lease(LeaseName.of("group"), HostId.of("any"), AttemptId.of("session"), new FencingToken(token),
				Duration.ofSeconds(15), this.timer.nanoTime());
	}

	/**
	 * Returns a command.
	 * @param action the action
	 * @param model the model
	 * @param bytes its bytes
	 * @param token the token
	 * @return the command with a new id
	 */
	EngineCommand command(Action action, String model, long bytes, long token) {
		return new EngineCommand(this.ids.get(), ENGINE, action, ModelId.of(model), bytes, new FencingToken(token));
	}

	/**
	 * Advances the time.
	 * @param seconds the seconds
	 */
	void advance(long seconds) {
		this.timer.advance(Duration.ofSeconds(seconds));
	}

}
