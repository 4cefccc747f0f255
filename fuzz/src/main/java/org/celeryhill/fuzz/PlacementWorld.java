package org.celeryhill.fuzz;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.celeryhill.base.AttemptId;
import org.celeryhill.base.BackendServerId;
import org.celeryhill.base.DataCentre;
import org.celeryhill.base.HostId;
import org.celeryhill.base.ModelId;
import org.celeryhill.base.ServiceId;
import org.celeryhill.config.Revision;
import org.celeryhill.fake.FakeEngineMemory;
import org.celeryhill.placement.PlacementPlan;
import org.celeryhill.placement.PlacementPlanner;
import org.celeryhill.placement.PlanInput;
import org.celeryhill.placement.ReplicaPlacementPlanner;
import org.celeryhill.port.Engine.CommandResult;
import org.celeryhill.port.EngineCommand;
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
 * Promise: a model that is reachable stays reachable unless an engine that has it
 * restarts, whatever the planners do; and every model becomes reachable once the faults
 * have ended. A model is reachable if any of its versions is ready on an engine.
 */
class PlacementWorld extends World {

	/** Engines. */
	private static final int ENGINES = 4;

	/** Rounds without faults after which every model must be reachable. */
	private static final int MAX_REST_ROUNDS = 80;

	/** Lease of the engines. */
	private static final LeaseName GROUP = LeaseName.of("group");

	/** Service of the engines. */
	private static final ServiceId SERVICE = PlacementCatalogue.SERVICE;

	/** Ids of all processes. */
	private final java.util.function.Supplier<AttemptId> ids = AttemptIds.sequential("id");

	/** Engines. */
	private final List<FakeEngineMemory> engines = new ArrayList<>();

	/** Engines that are to be emptied. */
	private final Set<Integer> leaving = new HashSet<>();

	/** Planners. */
	private final List<Planner> planners = new ArrayList<>();

	/** Demand by model. */
	private final Map<ModelId, PlanInput.ModelDemand> demand = new HashMap<>();

	/** Version of the first model in the configuration. */
	private int version = 1;

	/** Reads ledgers for the oracle. */
	private final CommandLedgerStore oracle = CommandLedgerStore.create(
			ConditionalWriter.create(new PeekTable(this.table), this.ids, RetryPolicy.immediate()), this.timer,
			HostId.of("oracle"), CommandLedgerStore.DEFAULT_COPY_BOUND);

	/** Models whose keeper restarted while their removal was not settled. */
	private final Set<Integer> excused = new HashSet<>();

	/** Report of the keeper by removal. */
	private final Map<AttemptId, EngineReport> keepers = new HashMap<>();

	/** Models that were reachable after the last step. */
	private Set<Integer> reachable = Set.of();

	PlacementWorld() {
		for (int i = 0; i < ENGINES; i++) {
			FakeEngineMemory.Settings settings = FakeEngineMemory.Settings.ofMemory(100).withTokenChecked(i == 0);
			addTarget("engine-" + i);
			this.engines.add(FakeEngineMemory.create(BackendServerId.of("engine-" + i), settings, this.timer,
					this.faults, this.timer::advance));
		}
		for (int i = 0; i < PROCESSES; i++) {
			this.planners.add(new Planner(HostId.of("planner-" + i)));
		}
	}

	@Override
	Map<String, Integer> actions() {
		return Map.of("round", 40, "send", 20, "sendall", 30, "adopt", 4, "version", 1, "demand", 8, "restart", 1,
				"leave", 2, "crash", 2);
	}

	@Override
	void run(Step step) {
		Planner planner = this.planners.get(step.a() % PROCESSES);
		int engine = step.b() % ENGINES;
		switch (step.action()) {
			case "round" -> planner.round(step.c() % 4 == 0);
			case "send" -> planner.send(step.b());
			case "sendall" -> planner.sendAll();
			case "adopt" -> planner.adopt();
			case "version" -> changeVersion();
			case "demand" -> setDemand(step.b(), step.c());
			case "restart" -> restart(engine);
			case "leave" -> leave(engine);
			case "crash" -> planner.restart();
			default -> throw new IllegalArgumentException("unknown action " + step.action());
		}
	}

	private void changeVersion() {
		this.version = 3 - this.version;
	}

	private void restart(int engine) {
		this.engines.get(engine).restart();
		this.reachable = reachableNow();
	}

	private void leave(int engine) {
		if (!this.leaving.remove(engine) && this.leaving.isEmpty()) {
			this.leaving.add(engine);
		}
	}

	private void setDemand(int model, int level) {
		double tokens = (level % 5) * 400.0;
		PlanInput.ModelDemand one = new PlanInput.ModelDemand(tokens, level % 5, level % 3);
		this.demand.put(PlacementCatalogue.model(model % PlacementCatalogue.MODELS, this.version), one);
	}

	@Override
	void check() {
		for (FakeEngineMemory engine : this.engines) {
			require(engine.overcommittedBytes() == 0, "memory is overcommitted");
		}
		Set<Integer> now = reachableNow();
		Set<Integer> withoutKeeper = modelsWithoutKeeper();
		this.excused.addAll(withoutKeeper);
		for (int model = 0; model < PlacementCatalogue.MODELS; model++) {
			boolean isLost = this.reachable.contains(model) && !now.contains(model);
			require(!isLost || this.excused.contains(model), "model " + model + " is no longer reachable");
		}
		this.excused.removeIf((model) -> now.contains(model) && !withoutKeeper.contains(model));
		this.reachable = now;
	}

	private Set<Integer> reachableNow() {
		Set<Integer> models = new HashSet<>();
		this.engines.forEach((engine) -> models.addAll(readyOn(engine)));
		return models;
	}

	private static Set<Integer> readyOn(FakeEngineMemory engine) {
		Set<Integer> models = new HashSet<>();
		for (EngineReport.Resident resident : engine.report().residents()) {
			if (resident.state() == EngineReport.ResidentState.READY) {
				models.add(PlacementCatalogue.number(resident.model()));
			}
		}
		return models;
	}

	// A keeper that restarts after its report, while the removal is not settled, takes
	// the
	// last replica with it. No planner can prevent that.
	private Set<Integer> modelsWithoutKeeper() {
		Set<Integer> models = new HashSet<>();
		if (this.keepers.values().stream().noneMatch(this::isRestarted)) {
			return models;
		}
		for (FakeEngineMemory engine : this.engines) {
			if (this.oracle.load(engine.report().engine()) instanceof CommandLedgerStore.Loaded loaded) {
				loaded.ledger()
					.entries()
					.stream()
					.filter((entry) -> entry.isOutstanding() && this.keepers.containsKey(entry.id()))
					.filter((entry) -> isRestarted(this.keepers.get(entry.id())))
					.forEach((entry) -> models.add(PlacementCatalogue.number(entry.model())));
			}
		}
		return models;
	}

	private boolean isRestarted(EngineReport report) {
		return this.engines.stream()
			.map(FakeEngineMemory::report)
			.noneMatch((now) -> now.incarnation().equals(report.incarnation()));
	}

	@Override
	void finish() {
		heal();
		this.leaving.clear();
		for (int round = 0; round < MAX_REST_ROUNDS && this.reachable.size() < PlacementCatalogue.MODELS; round++) {
			for (Planner planner : this.planners) {
				planner.adopt();
				planner.ledger.closeSendersOfEarlierProcesses();
				planner.round(false);
				planner.sendAll();
			}
			this.timer.advance(Duration.ofSeconds(5));
			check();
		}
		require(this.reachable.size() == PlacementCatalogue.MODELS,
				"only models " + this.reachable + " are reachable although all faults have ended");
	}

	/**
	 * Records an unload of a model that has to stay reachable. Broken variants replace
	 * this.
	 * @param ledger the ledgers of the planner
	 * @param lease the lease of the planner
	 * @param command the unload
	 * @param report the report of the engine
	 * @param kept the model that stays
	 * @param keeper the report of the engine that keeps it
	 * @param requestedNanos when the reports were asked for
	 * @return the result
	 */
	protected CommandLedgerStore.RecordResult recordRemoval(CommandLedgerStore ledger, Lease lease,
			EngineCommand command, EngineReport report, ModelId kept, EngineReport keeper, long requestedNanos) {
		return ledger.recordReplicaRemoval(lease, command, report, kept, keeper, requestedNanos);
	}

	/**
	 * Plans a round. Broken variants replace this.
	 * @param planner the planner
	 * @param input what it knows
	 * @return the plan
	 */
	protected PlacementPlan plan(PlacementPlanner planner, PlanInput input) {
		return planner.plan(input);
	}

	/**
	 * Returns how long copies are expected. Broken variants replace this.
	 * @return the copy bound of the ledger
	 */
	protected Duration copyBound() {
		return CommandLedgerStore.DEFAULT_COPY_BOUND;
	}

	/** A planner process. */
	private final class Planner {

		/** Host. */
		private final HostId host;

		/** Identity of the running process. */
		private Object life;

		/** Leases of the process. */
		private LeaseStore leases;

		/** Ledgers of the process. */
		private CommandLedgerStore ledger;

		/** Planner of the process. */
		private PlacementPlanner planner;

		/** Configuration that the process has applied. */
		private Revision revision;

		/** Latest reports that the process has. */
		private final EngineReport[] reports = new EngineReport[ENGINES];

		/** When the reports of this round were asked for. */
		private long requestedNanos;

		/** Commands that may be sent. */
		private final List<EngineCommand> toSend = new ArrayList<>();

		private Planner(HostId host) {
			this.host = host;
			restart();
		}

		private void restart() {
			Object started = new Object();
			this.life = started;
			ConditionalWriter writer = ConditionalWriter.create(processTable(() -> this.life == started),
					PlacementWorld.this.ids, RetryPolicy.immediate());
			this.leases = LeaseStore.create(writer, PlacementWorld.this.timer, this.host, Duration.ofSeconds(15));
			this.ledger = CommandLedgerStore.create(writer, PlacementWorld.this.timer, this.host, copyBound());
			this.planner = ReplicaPlacementPlanner.create();
			this.revision = PlacementCatalogue.revision(PlacementWorld.this.version);
			this.toSend.clear();
		}

		private void round(boolean isWithOldReports) {
			if (!(this.leases.acquire(GROUP) instanceof LeaseStore.Granted granted)) {
				return;
			}
			boolean isKept = isWithOldReports && this.reports[0] != null;
			if (!isKept) {
				look();
			}
			List<PlanInput.EngineState> states = new ArrayList<>();
			for (int engine = 0; engine < ENGINES; engine++) {
				state(engine).ifPresent(states::add);
			}
			if (states.size() < ENGINES) {
				return;
			}
			resendOutstanding(granted.lease());
			PlanInput input = new PlanInput(SERVICE, this.revision, states, PlacementWorld.this.demand,
					PlacementWorld.this.timer.nanoTime(), 1);
			for (PlacementPlan.Step step : plan(this.planner, input).steps()) {
				record(granted.lease(), step);
			}
		}

		private void adopt() {
			this.revision = PlacementCatalogue.revision(PlacementWorld.this.version);
		}

		private void look() {
			this.requestedNanos = PlacementWorld.this.timer.nanoTime();
			for (int engine = 0; engine < ENGINES; engine++) {
				this.reports[engine] = PlacementWorld.this.engines.get(engine).report();
			}
		}

		private Optional<PlanInput.EngineState> state(int engine) {
			EngineReport report = this.reports[engine];
			if (!(this.ledger.settle(report, this.requestedNanos) instanceof CommandLedgerStore.Changed changed)) {
				return Optional.empty();
			}
			EngineLedger current = changed.ledger();
			DataCentre dataCentre = DataCentre.of("dc-" + engine % 2);
			return Optional.of(new PlanInput.EngineState(report.engine(), dataCentre, report,
					current.committedBytes(report), current.outstandingLoads(), current.pendingUnloads(),
					PlacementWorld.this.leaving.contains(engine), false));
		}

		private void resendOutstanding(Lease lease) {
			for (EngineReport report : this.reports) {
				if (!(this.ledger.load(report.engine()) instanceof CommandLedgerStore.Loaded loaded)) {
					continue;
				}
				for (LedgerEntry entry : loaded.ledger().entries()) {
					boolean isDue = entry.isOutstanding();
					if (isDue && this.ledger.resend(lease, report.engine(),
							entry) instanceof CommandLedgerStore.Recorded recorded) {
						this.toSend.add(recorded.command());
					}
				}
			}
		}

		private void record(Lease lease, PlacementPlan.Step step) {
			EngineCommand command = new EngineCommand(PlacementWorld.this.ids.get(), step.engine(), step.action(),
					step.model(), step.bytes(), lease.token());
			EngineReport report = this.reports[index(step.engine())];
			CommandLedgerStore.RecordResult result = null;
			if (step.action().isUnload()) {
				ModelId kept = PlacementCatalogue.successor(step.model(), this.revision);
				EngineReport keeper = keeper(step, kept);
				if (keeper != null) {
					PlacementWorld.this.keepers.put(command.attempt(), keeper);
					result = recordRemoval(this.ledger, lease, command, report, kept, keeper, this.requestedNanos);
				}
			}
			else {
				result = this.ledger.record(lease, command, report, this.requestedNanos);
			}
			if (result instanceof CommandLedgerStore.Recorded) {
				this.toSend.add(command);
			}
		}

		private EngineReport keeper(PlacementPlan.Step step, ModelId kept) {
			for (EngineReport report : this.reports) {
				boolean isItself = report.engine().equals(step.engine()) && kept.equals(step.model());
				if (!isItself && report.isReady(kept)) {
					return report;
				}
			}
			return null;
		}

		private void send(int index) {
			if (!this.toSend.isEmpty()) {
				EngineCommand command = this.toSend.remove(index % this.toSend.size());
				CommandResult result = PlacementWorld.this.engines.get(index(command.engine())).send(command);
				this.ledger.finishSend(command.engine(), command.attempt(), result);
			}
		}

		private void sendAll() {
			while (!this.toSend.isEmpty()) {
				send(0);
			}
		}

		private static int index(BackendServerId engine) {
			return Integer.parseInt(engine.value().substring("engine-".length()));
		}

	}

}
