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
import org.celeryhill.fake.FaultInjector;
import org.celeryhill.port.EngineCommand;
import org.celeryhill.port.EngineCommand.Action;

/** Fake services and factory methods shared by the tests of this module. */
final class StateFixture {

	/** Engine used by the tests, with 100 bytes of memory. */
	static final BackendServerId ENGINE = BackendServerId.of("engine-1");

	/** Fault target of the fake table service. */
	static final String TABLE = FakeTableService.TARGET;

	/** Virtual time of all fakes. */
	final VirtualTimerService timer = VirtualTimerService.startingAt(Instant.parse("2030-01-01T00:00:00Z"));

	/** Faults injected into the fakes. */
	final FaultInjector faults = FaultInjector.ofSeed(1);

	/** Fake table service. */
	final FakeTableService table = FakeTableService.create(this.timer, this.faults);

	/** Fake object service. */
	final FakeObjectService objects = FakeObjectService.create(this.timer, this.faults);

	/** Generator of ids. */
	final Supplier<AttemptId> ids = AttemptIds.sequential("id");

	/** Writer that tries three times without delay. */
	final ConditionalWriter writer = ConditionalWriter.create(this.table, this.ids, RetryPolicy.immediate());

	/**
	 * Returns a fake of the engine {@link #ENGINE}.
	 * @param isTokenChecked whether the engine refuses commands with an older token
	 * @return the engine
	 */
	FakeEngineMemory engine(boolean isTokenChecked) {
		return FakeEngineMemory.create(ENGINE, FakeEngineMemory.Settings.ofMemory(100).withTokenChecked(isTokenChecked),
				this.timer, this.faults);
	}

	/**
	 * Returns a command ledger store for a new planner process.
	 * @param host the host of the process
	 * @return the store
	 */
	CommandLedgerStore ledgerStore(String host) {
		return CommandLedgerStore.create(this.writer, this.timer, HostId.of(host),
				CommandLedgerStore.DEFAULT_COPY_BOUND);
	}

	/**
	 * Returns a lease that was renewed at the current time.
	 * @param token the fencing token
	 * @return the lease
	 */
	Lease lease(long token) {
		return new Lease(LeaseName.of("group"), HostId.of("any"), AttemptId.of("session"), new FencingToken(token),
				Duration.ofSeconds(15), this.timer.nanoTime());
	}

	/**
	 * Returns a command for the engine {@link #ENGINE}, with a new id.
	 * @param action the action
	 * @param model the model
	 * @param bytes the memory that the command takes or frees, in bytes
	 * @param token the fencing token
	 * @return the command
	 */
	EngineCommand command(Action action, String model, long bytes, long token) {
		return new EngineCommand(this.ids.get(), ENGINE, action, ModelId.of(model), bytes, new FencingToken(token));
	}

	/**
	 * Advances the virtual time.
	 * @param seconds the duration in seconds
	 */
	void advanceSeconds(long seconds) {
		this.timer.advance(Duration.ofSeconds(seconds));
	}

}
