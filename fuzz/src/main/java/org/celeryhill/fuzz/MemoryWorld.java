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
 * Promise: the memory of an engine is never overcommitted. Three planners record and send
 * commands to three engines from reports of any age. A planner may act under a lease that
 * it does not have, since memory safety must not depend on the lease.
 */
class MemoryWorld extends World {

	/** Sizes of the models. */
	private static final long[] BYTES = { 30, 45, 60, 25, 40, 10 };

	/** Memory of an engine. */
	private static final long MEMORY = 100;

	/** Rounds without faults after which no command may be left. */
	private static final int MAX_REST_ROUNDS = 60;

	/** Lease of the engines. */
	private static final LeaseName GROUP = LeaseName.of("group");

	/** Duration of the lease. */
	private static final Duration LEASE = Duration.ofSeconds(15);

	/** Ids of all processes. */
	private final java.util.function.Supplier<AttemptId> ids = AttemptIds.sequential("id");

	/** Engines. */
	protected final List<FakeEngineMemory> engines = new ArrayList<>();

	/** Planners. */
	protected final List<Planner> planners = new ArrayList<>();

	/** Highest token that any planner has used. */
	private FencingToken highestToken = FencingToken.ZERO;

	MemoryWorld() {
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
		addTarget(id.value());
		this.engines.add(FakeEngineMemory.create(id, settings, this.timer, this.faults, this.timer::advance));
	}

	@Override
	Map<String, Integer> actions() {
		return Map.ofEntries(Map.entry("round", 60), Map.entry("look", 20), Map.entry("load", 24),
				Map.entry("unload", 10), Map.entry("role", 1), Map.entry("send", 20), Map.entry("close", 8),
				Map.entry("resend", 6), Map.entry("settle", 12), Map.entry("abandon", 1), Map.entry("lease", 4),
				Map.entry("forge", 6), Map.entry("crash", 2), Map.entry("start", 2), Map.entry("restart", 2),
				Map.entry("gone", 1));
	}

	@Override
	void run(Step step) {
		Planner planner = this.planners.get(step.a() % this.planners.size());
		int engine = step.b() % this.engines.size();
		switch (step.action()) {
			case "round" -> planner.round(engine, step.c() % BYTES.length);
			case "look" -> planner.look(engine);
			case "load" -> planner.record(engine, Action.LOAD_MODEL, step.c() % BYTES.length);
			case "unload" -> planner.record(engine, Action.UNLOAD_MODEL, step.c() % BYTES.length);
			case "role" -> planner.record(engine, Action.CHANGE_ROLE, step.c() % 3);
			case "send" -> planner.send(step.b(), step.c() % 2 == 0);
			case "close" -> planner.close();
			case "resend" -> planner.resend(engine);
			case "settle" -> planner.settle(engine);
			case "abandon" -> planner.abandon();
			case "lease" -> planner.acquire();
			case "forge" -> planner.forge(step.c() % 2);
			case "crash" -> planner.restart();
			case "start" -> planner.ledger.closeSendersOfEarlierProcesses();
			case "restart" -> this.engines.get(engine).restart();
			case "gone" -> closeGone(planner, engine, step.c());
			default -> throw new IllegalArgumentException("unknown action " + step.action());
		}
	}

	private void closeGone(Planner planner, int engine, int other) {
		Planner gone = this.planners.get(other % this.planners.size());
		if (gone != planner) {
			gone.restart();
			planner.ledger.closeSenders(this.engines.get(engine).report().engine(), gone.host);
		}
	}

	@Override
	void check() {
		for (FakeEngineMemory engine : this.engines) {
			long bytes = engine.overcommittedBytes();
			require(bytes == 0, bytes + " bytes overcommitted on " + engine.report().engine());
		}
	}

	@Override
	void finish() {
		heal();
		for (int round = 0; round < MAX_REST_ROUNDS && !isAtRest(); round++) {
			rest();
			check();
		}
		require(isAtRest(), "commands are left in a ledger although all faults have ended");
	}

	private void rest() {
		Planner last = this.planners.get(0);
		for (Planner planner : this.planners) {
			planner.sendAll();
			planner.ledger.closeSendersOfEarlierProcesses();
		}
		last.forge(1);
		for (int engine = 0; engine < this.engines.size(); engine++) {
			last.look(engine);
			last.settle(engine);
			last.resend(engine);
			last.sendAll();
		}
		this.timer.advance(Duration.ofSeconds(5));
	}

	private boolean isAtRest() {
		CommandLedgerStore.LoadAllResult result = this.planners.get(0).ledger.loadAll();
		return result instanceof CommandLedgerStore.LoadedAll all
				&& all.ledgers().values().stream().allMatch((ledger) -> ledger.entries().isEmpty());
	}

	/**
	 * Records a command before it is sent. Broken variants replace this.
	 * @param planner the planner
	 * @param command the command
	 * @param report the report the planner decided on
	 * @param requestedNanos when it asked for the report
	 * @return whether the command may be sent
	 */
	protected boolean record(Planner planner, EngineCommand command, EngineReport report, long requestedNanos) {
		return planner.ledger.record(planner.lease, command, report,
				requestedNanos) instanceof CommandLedgerStore.Recorded;
	}

	/**
	 * Returns how long copies are expected. Broken variants replace this.
	 * @return the copy bound of the ledger
	 */
	protected Duration copyBound() {
		return CommandLedgerStore.DEFAULT_COPY_BOUND;
	}

	/** A planner process. */
	protected final class Planner {

		/** Host. */
		private final HostId host;

		/** Identity of the running process. */
		private Object life;

		/** Leases of the process. */
		private LeaseStore leases;

		/** Ledgers of the process. */
		private CommandLedgerStore ledger;

		/** Lease, null if the planner has none. */
		private Lease lease;

		/** Latest report of each engine that the planner has, null before the first. */
		private final EngineReport[] reports = new EngineReport[3];

		/** When the reports were asked for. */
		private final long[] requestedNanos = new long[3];

		/** Commands that may be sent. */
		private final List<EngineCommand> toSend = new ArrayList<>();

		/** Commands whose sending has ended. */
		private final List<Sent> toClose = new ArrayList<>();

		private Planner(HostId host) {
			this.host = host;
			restart();
		}

		private void restart() {
			Object started = new Object();
			this.life = started;
			ConditionalWriter writer = ConditionalWriter.create(processTable(() -> this.life == started),
					MemoryWorld.this.ids, RetryPolicy.immediate());
			this.leases = LeaseStore.create(writer, MemoryWorld.this.timer, this.host, LEASE);
			this.ledger = CommandLedgerStore.create(writer, MemoryWorld.this.timer, this.host, copyBound());
			this.lease = null;
			this.toSend.clear();
			this.toClose.clear();
			java.util.Arrays.fill(this.reports, null);
		}

		private void round(int engine, int model) {
			if (this.lease == null || !this.lease.isUsable(MemoryWorld.this.timer.nanoTime())) {
				forge(0);
			}
			look(engine);
			settle(engine);
			ModelId id = ModelId.of("model-" + model);
			boolean isResident = this.reports[engine].residents().stream().anyMatch((one) -> one.model().equals(id));
			record(engine, (isResident) ? Action.UNLOAD_MODEL : Action.LOAD_MODEL, model);
			send(this.toSend.size() - 1, true);
		}

		private void look(int engine) {
			this.requestedNanos[engine] = MemoryWorld.this.timer.nanoTime();
			this.reports[engine] = MemoryWorld.this.engines.get(engine).report();
		}

		private void record(int engine, Action action, int model) {
			EngineReport report = this.reports[engine];
			if (this.lease == null || report == null) {
				return;
			}
			boolean isRole = action == Action.CHANGE_ROLE;
			ModelId target = ModelId.of((isRole) ? EngineReport.Role.values()[model].name() : "model-" + model);
			EngineCommand command = new EngineCommand(MemoryWorld.this.ids.get(), report.engine(), action, target,
					(isRole) ? 0 : BYTES[model], this.lease.token());
			if (MemoryWorld.this.record(this, command, report, this.requestedNanos[engine])) {
				this.toSend.add(command);
			}
		}

		private void send(int index, boolean isClosedAtOnce) {
			if (this.toSend.isEmpty()) {
				return;
			}
			EngineCommand command = this.toSend.remove(index % this.toSend.size());
			int engine = Integer.parseInt(command.engine().value().substring("engine-".length()));
			CommandResult result = MemoryWorld.this.engines.get(engine).send(command);
			this.toClose.add(new Sent(command, result));
			if (isClosedAtOnce) {
				close();
			}
		}

		private void close() {
			if (!this.toClose.isEmpty()) {
				Sent sent = this.toClose.remove(0);
				this.ledger.finishSend(sent.command().engine(), sent.command().attempt(), sent.result());
			}
		}

		private void sendAll() {
			while (!this.toSend.isEmpty()) {
				send(0, false);
			}
			while (!this.toClose.isEmpty()) {
				close();
			}
		}

		private void resend(int engine) {
			BackendServerId id = BackendServerId.of("engine-" + engine);
			if (this.lease == null || !(this.ledger.load(id) instanceof CommandLedgerStore.Loaded loaded)) {
				return;
			}
			EngineLedger current = loaded.ledger();
			for (LedgerEntry entry : current.entries()) {
				if (entry.isOutstanding()
						&& this.ledger.resend(this.lease, id, entry) instanceof CommandLedgerStore.Recorded recorded) {
					this.toSend.add(recorded.command());
				}
			}
		}

		private void settle(int engine) {
			if (this.reports[engine] != null) {
				this.ledger.settle(this.reports[engine], this.requestedNanos[engine]);
			}
		}

		private void abandon() {
			if (!this.toSend.isEmpty()) {
				EngineCommand command = this.toSend.remove(0);
				this.ledger.abandon(command.engine(), command.attempt());
			}
		}

		private void acquire() {
			if (this.leases.acquire(GROUP) instanceof LeaseStore.Granted granted) {
				use(granted.lease());
			}
		}

		private void forge(int increment) {
			FencingToken token = new FencingToken(MemoryWorld.this.highestToken.value() + increment);
			use(new Lease(GROUP, this.host, AttemptId.of("forged"), token, LEASE, MemoryWorld.this.timer.nanoTime()));
		}

		private void use(Lease newLease) {
			this.lease = newLease;
			if (newLease.token().compareTo(MemoryWorld.this.highestToken) > 0) {
				MemoryWorld.this.highestToken = newLease.token();
			}
		}

	}

	/**
	 * A command whose sending has ended.
	 *
	 * @param command the command
	 * @param result the outcome that the planner saw
	 */
	private record Sent(EngineCommand command, CommandResult result) {

	}

}
