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
 * Simulates planners that place models on engines. Promise: a reachable model stays
 * reachable, whatever the planners do, unless an engine that has it restarts; and every
 * model becomes reachable once all faults have ended. A model is reachable if any of its
 * versions is ready on an engine.
 */
class PlacementSimulation extends Simulation {

	/** Number of engines. */
	private static final int ENGINE_COUNT = 4;

	/** Number of rounds without faults after which every model must be reachable. */
	private static final int MAX_RECOVERY_ROUNDS = 80;

	/** Name of the lease of the group of engines. */
	private static final LeaseName LEASE_NAME = LeaseName.of("group");

	/** Service of the engines. */
	private static final ServiceId SERVICE = PlacementConfiguration.SERVICE;

	/** Generates the attempt ids of all processes. */
	private final java.util.function.Supplier<AttemptId> attemptIds = AttemptIds.sequential("id");

	/** Engines on which models are placed. */
	private final List<FakeEngineMemory> engines = new ArrayList<>();

	/** Indexes of the engines that are leaving and must be emptied. */
	private final Set<Integer> leaving = new HashSet<>();

	/** Planners that compete for the lease. */
	private final List<Planner> planners = new ArrayList<>();

	/** Demand by model, the same for all planners. */
	private final Map<ModelId, PlanInput.ModelDemand> demandByModel = new HashMap<>();

	/** Version of the first model in the latest configuration. */
	private int version = 1;

	/** Reads the ledgers for the oracle, without faults. */
	private final CommandLedgerStore oracleLedgerStore = CommandLedgerStore.create(
			ConditionalWriter.create(new OracleTableService(this.table), this.attemptIds, RetryPolicy.immediate()),
			this.timer, HostId.of("oracle"), CommandLedgerStore.DEFAULT_COPY_BOUND);

	/**
	 * Models that may become unreachable, since their keeper restarted while a removal
	 * was outstanding.
	 */
	private final Set<Integer> excusedModels = new HashSet<>();

	/** Report of the keeper by attempt id of the removal. */
	private final Map<AttemptId, EngineReport> keeperReports = new HashMap<>();

	/** Models that were reachable after the latest step. */
	private Set<Integer> reachableModels = Set.of();

	PlacementSimulation() {
		for (int i = 0; i < ENGINE_COUNT; i++) {
			FakeEngineMemory.Settings settings = FakeEngineMemory.Settings.ofMemory(100).withTokenChecked(i == 0);
			addFaultTarget("engine-" + i);
			this.engines.add(FakeEngineMemory.create(BackendServerId.of("engine-" + i), settings, this.timer,
					this.faults, this.timer::advance));
		}
		for (int i = 0; i < PROCESS_COUNT; i++) {
			this.planners.add(new Planner(HostId.of("planner-" + i)));
		}
	}

	@Override
	Map<String, Integer> actionWeights() {
		return Map.of("round", 40, "send", 20, "sendall", 30, "adopt", 4, "version", 1, "demand", 8, "restart", 1,
				"leave", 2, "crash", 2);
	}

	@Override
	void runStep(Step step) {
		Planner planner = this.planners.get(step.a() % PROCESS_COUNT);
		int engine = step.b() % ENGINE_COUNT;
		switch (step.action()) {
			case "round" -> planner.runRound(step.c() % 4 == 0);
			case "send" -> planner.sendCommand(step.b());
			case "sendall" -> planner.sendAllCommands();
			case "adopt" -> planner.applyLatestRevision();
			case "version" -> toggleConfiguredVersion();
			case "demand" -> setDemand(step.b(), step.c());
			case "restart" -> restartEngine(engine);
			case "leave" -> toggleLeaving(engine);
			case "crash" -> planner.restart();
			default -> throw new IllegalArgumentException("unknown action " + step.action());
		}
	}

	private void toggleConfiguredVersion() {
		this.version = 3 - this.version;
	}

	private void restartEngine(int engine) {
		this.engines.get(engine).restart();
		this.reachableModels = findReachableModels();
	}

	private void toggleLeaving(int engine) {
		if (!this.leaving.remove(engine) && this.leaving.isEmpty()) {
			this.leaving.add(engine);
		}
	}

	private void setDemand(int model, int level) {
		double tokens = (level % 5) * 400.0;
		PlanInput.ModelDemand modelDemand = new PlanInput.ModelDemand(tokens, level % 5, level % 3);
		this.demandByModel.put(PlacementConfiguration.model(model % PlacementConfiguration.MODEL_COUNT, this.version),
				modelDemand);
	}

	@Override
	void checkPromise() {
		for (FakeEngineMemory engine : this.engines) {
			require(engine.overcommittedBytes() == 0, "memory is overcommitted");
		}
		Set<Integer> currentlyReachable = findReachableModels();
		Set<Integer> withLostKeeper = findModelsWithLostKeeper();
		this.excusedModels.addAll(withLostKeeper);
		for (int model = 0; model < PlacementConfiguration.MODEL_COUNT; model++) {
			boolean isLost = this.reachableModels.contains(model) && !currentlyReachable.contains(model);
			require(!isLost || this.excusedModels.contains(model), "model " + model + " is no longer reachable");
		}
		this.excusedModels.removeIf((model) -> currentlyReachable.contains(model) && !withLostKeeper.contains(model));
		this.reachableModels = currentlyReachable;
	}

	private Set<Integer> findReachableModels() {
		Set<Integer> models = new HashSet<>();
		this.engines.forEach((engine) -> models.addAll(findReadyModels(engine)));
		return models;
	}

	private static Set<Integer> findReadyModels(FakeEngineMemory engine) {
		Set<Integer> models = new HashSet<>();
		for (EngineReport.Resident resident : engine.report().residents()) {
			if (resident.state() == EngineReport.ResidentState.READY) {
				models.add(PlacementConfiguration.number(resident.model()));
			}
		}
		return models;
	}

	// If the keeper restarts after its report while the removal is outstanding, the last
	// replica is lost. No planner can prevent that.
	private Set<Integer> findModelsWithLostKeeper() {
		Set<Integer> models = new HashSet<>();
		if (this.keeperReports.values().stream().noneMatch(this::isRestarted)) {
			return models;
		}
		for (FakeEngineMemory engine : this.engines) {
			if (this.oracleLedgerStore.load(engine.report().engine()) instanceof CommandLedgerStore.Loaded loaded) {
				loaded.ledger()
					.entries()
					.stream()
					.filter((entry) -> entry.isOutstanding() && this.keeperReports.containsKey(entry.id()))
					.filter((entry) -> isRestarted(this.keeperReports.get(entry.id())))
					.forEach((entry) -> models.add(PlacementConfiguration.number(entry.model())));
			}
		}
		return models;
	}

	private boolean isRestarted(EngineReport report) {
		return this.engines.stream()
			.map(FakeEngineMemory::report)
			.noneMatch((liveReport) -> liveReport.incarnation().equals(report.incarnation()));
	}

	@Override
	void checkRecovery() {
		endFaults();
		this.leaving.clear();
		for (int round = 0; round < MAX_RECOVERY_ROUNDS
				&& this.reachableModels.size() < PlacementConfiguration.MODEL_COUNT; round++) {
			for (Planner planner : this.planners) {
				planner.applyLatestRevision();
				planner.ledgerStore.closeSendersOfEarlierProcesses();
				planner.runRound(false);
				planner.sendAllCommands();
			}
			this.timer.advance(Duration.ofSeconds(5));
			checkPromise();
		}
		require(this.reachableModels.size() == PlacementConfiguration.MODEL_COUNT,
				"only models " + this.reachableModels + " are reachable although all faults have ended");
	}

	/**
	 * Records an unload of a model that must stay reachable through another replica.
	 * Broken variants override this.
	 * @param ledger the ledgers of the planner
	 * @param lease the lease of the planner
	 * @param command the unload command
	 * @param report the report of the engine that unloads the model
	 * @param kept the model version that stays ready
	 * @param keeper the report of the engine on which it stays ready
	 * @param requestedNanos when the reports were requested, in nanoseconds of virtual
	 * time
	 * @return the result of the ledger
	 */
	protected CommandLedgerStore.RecordResult recordRemoval(CommandLedgerStore ledger, Lease lease,
			EngineCommand command, EngineReport report, ModelId kept, EngineReport keeper, long requestedNanos) {
		return ledger.recordReplicaRemoval(lease, command, report, kept, keeper, requestedNanos);
	}

	/**
	 * Plans a round. Broken variants override this.
	 * @param planner the placement planner of the process
	 * @param input the configuration, engine states and demand known to the process
	 * @return the plan
	 */
	protected PlacementPlan planRound(PlacementPlanner planner, PlanInput input) {
		return planner.plan(input);
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
	private final class Planner {

		/** Host of the process. */
		private final HostId host;

		/** Identity of the running process; a crash replaces it. */
		private Object incarnation;

		/** Lease store of the running process. */
		private LeaseStore leaseStore;

		/** Command ledgers as the running process accesses them. */
		private CommandLedgerStore ledgerStore;

		/** Placement planner of the running process. */
		private PlacementPlanner placementPlanner;

		/** Configuration revision that the process has applied. */
		private Revision appliedRevision;

		/** Latest report of each engine, null before the first. */
		private final EngineReport[] reports = new EngineReport[ENGINE_COUNT];

		/** When the latest reports were requested, in nanoseconds of virtual time. */
		private long requestedNanos;

		/** Recorded commands that have not been sent. */
		private final List<EngineCommand> commandsToSend = new ArrayList<>();

		private Planner(HostId host) {
			this.host = host;
			restart();
		}

		private void restart() {
			Object newIncarnation = new Object();
			this.incarnation = newIncarnation;
			ConditionalWriter writer = ConditionalWriter.create(processTable(() -> this.incarnation == newIncarnation),
					PlacementSimulation.this.attemptIds, RetryPolicy.immediate());
			this.leaseStore = LeaseStore.create(writer, PlacementSimulation.this.timer, this.host,
					Duration.ofSeconds(15));
			this.ledgerStore = CommandLedgerStore.create(writer, PlacementSimulation.this.timer, this.host,
					copyBound());
			this.placementPlanner = ReplicaPlacementPlanner.create();
			this.appliedRevision = PlacementConfiguration.createRevision(PlacementSimulation.this.version);
			this.commandsToSend.clear();
		}

		private void runRound(boolean isReuseRequested) {
			if (!(this.leaseStore.acquire(LEASE_NAME) instanceof LeaseStore.Granted granted)) {
				return;
			}
			boolean areReportsReused = isReuseRequested && this.reports[0] != null;
			if (!areReportsReused) {
				readReports();
			}
			List<PlanInput.EngineState> states = new ArrayList<>();
			for (int engine = 0; engine < ENGINE_COUNT; engine++) {
				state(engine).ifPresent(states::add);
			}
			if (states.size() < ENGINE_COUNT) {
				return;
			}
			resendOutstanding(granted.lease());
			PlanInput input = new PlanInput(SERVICE, this.appliedRevision, states,
					PlacementSimulation.this.demandByModel, PlacementSimulation.this.timer.nanoTime(), 1);
			for (PlacementPlan.Step step : planRound(this.placementPlanner, input).steps()) {
				recordPlanStep(granted.lease(), step);
			}
		}

		private void applyLatestRevision() {
			this.appliedRevision = PlacementConfiguration.createRevision(PlacementSimulation.this.version);
		}

		private void readReports() {
			this.requestedNanos = PlacementSimulation.this.timer.nanoTime();
			for (int engine = 0; engine < ENGINE_COUNT; engine++) {
				this.reports[engine] = PlacementSimulation.this.engines.get(engine).report();
			}
		}

		private Optional<PlanInput.EngineState> state(int engine) {
			EngineReport report = this.reports[engine];
			if (!(this.ledgerStore.settle(report, this.requestedNanos) instanceof CommandLedgerStore.Changed changed)) {
				return Optional.empty();
			}
			EngineLedger current = changed.ledger();
			DataCentre dataCentre = DataCentre.of("dc-" + engine % 2);
			return Optional.of(new PlanInput.EngineState(report.engine(), dataCentre, report,
					current.committedBytes(report), current.outstandingLoads(), current.pendingUnloads(),
					PlacementSimulation.this.leaving.contains(engine), false));
		}

		private void resendOutstanding(Lease lease) {
			for (EngineReport report : this.reports) {
				if (!(this.ledgerStore.load(report.engine()) instanceof CommandLedgerStore.Loaded loaded)) {
					continue;
				}
				for (LedgerEntry entry : loaded.ledger().entries()) {
					boolean isDue = entry.isOutstanding();
					if (isDue && this.ledgerStore.resend(lease, report.engine(),
							entry) instanceof CommandLedgerStore.Recorded recorded) {
						this.commandsToSend.add(recorded.command());
					}
				}
			}
		}

		private void recordPlanStep(Lease lease, PlacementPlan.Step step) {
			EngineCommand command = new EngineCommand(PlacementSimulation.this.attemptIds.get(), step.engine(),
					step.action(), step.model(), step.bytes(), lease.token());
			EngineReport report = this.reports[engineIndex(step.engine())];
			CommandLedgerStore.RecordResult result = null;
			if (step.action().isUnload()) {
				ModelId kept = PlacementConfiguration.findListedVersion(step.model(), this.appliedRevision);
				EngineReport keeper = findKeeper(step, kept);
				if (keeper != null) {
					PlacementSimulation.this.keeperReports.put(command.attempt(), keeper);
					result = recordRemoval(this.ledgerStore, lease, command, report, kept, keeper, this.requestedNanos);
				}
			}
			else {
				result = this.ledgerStore.record(lease, command, report, this.requestedNanos);
			}
			if (result instanceof CommandLedgerStore.Recorded) {
				this.commandsToSend.add(command);
			}
		}

		private EngineReport findKeeper(PlacementPlan.Step step, ModelId kept) {
			for (EngineReport report : this.reports) {
				boolean isRemovedReplica = report.engine().equals(step.engine()) && kept.equals(step.model());
				if (!isRemovedReplica && report.isReady(kept)) {
					return report;
				}
			}
			return null;
		}

		private void sendCommand(int index) {
			if (!this.commandsToSend.isEmpty()) {
				EngineCommand command = this.commandsToSend.remove(index % this.commandsToSend.size());
				CommandResult result = PlacementSimulation.this.engines.get(engineIndex(command.engine()))
					.send(command);
				this.ledgerStore.finishSend(command.engine(), command.attempt(), result);
			}
		}

		private void sendAllCommands() {
			while (!this.commandsToSend.isEmpty()) {
				sendCommand(0);
			}
		}

		private static int engineIndex(BackendServerId engine) {
			return Integer.parseInt(engine.value().substring("engine-".length()));
		}

	}

}
