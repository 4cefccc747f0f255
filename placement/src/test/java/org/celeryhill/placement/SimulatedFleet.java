package org.celeryhill.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import org.celeryhill.base.BackendServerId;
import org.celeryhill.base.DataCentre;
import org.celeryhill.base.FencingToken;
import org.celeryhill.base.ModelId;
import org.celeryhill.base.OrganisationId;
import org.celeryhill.base.PriorityClass;
import org.celeryhill.base.ServiceId;
import org.celeryhill.config.ClassTarget;
import org.celeryhill.config.ModelSpec;
import org.celeryhill.config.OrganisationParameters;
import org.celeryhill.config.PlacementLimits;
import org.celeryhill.config.Revision;
import org.celeryhill.config.ServiceTemplate;
import org.celeryhill.placement.PlacementPlan.Step;
import org.celeryhill.placement.PlanInput.EngineState;
import org.celeryhill.placement.PlanInput.ModelDemand;
import org.celeryhill.port.EngineCommand.Action;
import org.celeryhill.port.EngineReport;
import org.celeryhill.port.EngineReport.Resident;
import org.celeryhill.port.EngineReport.ResidentState;
import org.celeryhill.port.EngineReport.Role;

/**
 * Simulated fleet that advances in steps of one second. Commands arrive after a random
 * delay and loads take 3 seconds. Applying a command fails the test if the command breaks
 * a placement rule.
 */
final class SimulatedFleet {

	/** Service of all engines. */
	static final ServiceId SERVICE = ServiceId.of("beater-llm");

	/** Engines by id. */
	final Map<BackendServerId, SimulatedEngine> enginesById = new LinkedHashMap<>();

	/** Listed models. */
	final List<ModelSpec> models = new ArrayList<>();

	/** Demand by model. */
	final Map<ModelId, ModelDemand> demand = new HashMap<>();

	/** Planner under test. */
	ReplicaPlacementPlanner planner = ReplicaPlacementPlanner.create();

	/** Number of loads started so far. */
	int loadCount;

	/** Simulated time in seconds. */
	long seconds;

	/** Latest plan. */
	PlacementPlan plan;

	/** Limits of the weight store. */
	PlacementLimits limits = new PlacementLimits(2, 6, 50);

	/** Source of the delays of commands. */
	private final Random delays;

	/** Number of the current revision; grows when models change. */
	private long revisionNumber = 1;

	SimulatedFleet(long seed) {
		this.delays = new Random(seed);
	}

	void addEngines(int count, int dataCentres, long memoryBytes) {
		for (int i = 0; i < count; i++) {
			BackendServerId id = BackendServerId.of("engine-" + this.enginesById.size());
			this.enginesById.put(id, new SimulatedEngine(id, DataCentre.of("dc-" + i % dataCentres), memoryBytes));
		}
	}

	ModelId addModel(String name, long bytes, int maxReplicas) {
		ModelId id = ModelId.of(name);
		this.models.add(new ModelSpec(id, bytes, Optional.empty(), 1, maxReplicas));
		return id;
	}

	void replaceModels(List<ModelSpec> specs) {
		this.models.clear();
		this.models.addAll(specs);
		this.revisionNumber++;
	}

	void setDemand(ModelId model, double tokens) {
		this.demand.put(model, new ModelDemand(tokens, tokens / 100, 0));
	}

	Revision toRevision() {
		Map<PriorityClass, ClassTarget> classes = new EnumMap<>(PriorityClass.class);
		Duration second = Duration.ofSeconds(1);
		for (PriorityClass priority : PriorityClass.values()) {
			classes.put(priority, new ClassTarget(second, second, second, 1, 1, 0));
		}
		ServiceTemplate template = new ServiceTemplate(SERVICE, ServiceTemplate.Kind.MODEL_ENGINE, classes, this.limits,
				List.of());
		OrganisationParameters parameters = new OrganisationParameters(OrganisationId.of("mill-a"), SERVICE, 1,
				this.models, Set.of(PriorityClass.URGENT), Set.of(), 100);
		return new Revision(this.revisionNumber, List.of(template), List.of(parameters));
	}

	void run(int steps) {
		for (int i = 0; i < steps; i++) {
			step();
		}
	}

	void step() {
		this.seconds++;
		this.enginesById.values().forEach(SimulatedEngine::advance);
		List<EngineState> states = this.enginesById.values().stream().map(SimulatedEngine::toState).toList();
		this.plan = this.planner
			.plan(new PlanInput(SERVICE, toRevision(), states, this.demand, this.seconds * 1_000_000_000L, 1));
		this.plan.steps().forEach(this::apply);
	}

	private void apply(Step step) {
		SimulatedEngine engine = this.enginesById.get(step.engine());
		check(!engine.isSuspect, "command to a suspect engine: " + step);
		if (step.action().isLoad()) {
			check(!engine.replicas.containsKey(step.model()),
					"load of a model that the engine already holds or loads: " + step);
			check(engine.usedBytes() + step.bytes() <= engine.totalBytes, "memory overcommitted: " + step);
			engine.replicas.put(step.model(), new SimulatedReplica(step.bytes(), this.delays.nextInt(4)));
			this.loadCount++;
		}
		else if (step.action().isUnload()) {
			SimulatedReplica replica = engine.replicas.get(step.model());
			check(replica != null && replica.isReady() && !replica.isUnloading,
					"unload of a model that is not ready: " + step);
			boolean isLast = step.action() == Action.UNLOAD_MODEL && isListed(step.model())
					&& readyExcept(step.model(), engine) == 0;
			check(!isLast, "unload of the last ready replica: " + step);
			replica.isUnloading = true;
			replica.delaySeconds = this.delays.nextInt(4);
		}
		else {
			engine.role = Role.valueOf(step.model().value());
		}
	}

	private static void check(boolean condition, String message) {
		if (!condition) {
			throw new AssertionError(message);
		}
	}

	boolean isListed(ModelId model) {
		return this.models.stream().anyMatch((spec) -> spec.id().equals(model));
	}

	int ready(ModelId model) {
		return readyExcept(model, null);
	}

	private int readyExcept(ModelId model, SimulatedEngine excluded) {
		int count = 0;
		for (SimulatedEngine engine : this.enginesById.values()) {
			SimulatedReplica replica = engine.replicas.get(model);
			boolean isCounted = engine != excluded && !engine.isSuspect && !engine.isLeaving;
			count += (isCounted && replica != null && replica.isReady() && !replica.isUnloading) ? 1 : 0;
		}
		return count;
	}

	long countInFlight() {
		return this.enginesById.values()
			.stream()
			.flatMap((engine) -> engine.replicas.values().stream())
			.filter((replica) -> !replica.isUnloading && !replica.isReady())
			.count();
	}

	Set<ModelId> unreachableModels() {
		Set<ModelId> modelIds = new HashSet<>();
		this.models.stream()
			.filter((spec) -> !spec.isAdapter() && ready(spec.id()) == 0)
			.forEach((spec) -> modelIds.add(spec.id()));
		return modelIds;
	}

	long dataCentres(ModelId model) {
		return this.enginesById.values()
			.stream()
			.filter((engine) -> engine.replicas.containsKey(model) && engine.replicas.get(model).isReady())
			.map((engine) -> engine.dataCentre)
			.distinct()
			.count();
	}

	/** Simulated engine. */
	static final class SimulatedEngine {

		/** Replicas by model. */
		final Map<ModelId, SimulatedReplica> replicas = new LinkedHashMap<>();

		/** Whether the engine is draining. */
		boolean isLeaving;

		/** Whether the engine does not respond. */
		boolean isSuspect;

		/** Number of requests that are being decoded. */
		int running;

		/** Phases of a request that the engine runs. */
		Role role = Role.MIXED;

		private final BackendServerId id;

		private final DataCentre dataCentre;

		/** Memory for weights, in bytes. */
		private final long totalBytes;

		SimulatedEngine(BackendServerId id, DataCentre dataCentre, long totalBytes) {
			this.id = id;
			this.dataCentre = dataCentre;
			this.totalBytes = totalBytes;
		}

		DataCentre dataCentre() {
			return this.dataCentre;
		}

		void advance() {
			if (!this.isSuspect) {
				this.replicas.values().forEach(SimulatedReplica::advance);
				this.replicas.values().removeIf((replica) -> replica.isUnloading && replica.delaySeconds < 0);
			}
		}

		long usedBytes() {
			return this.replicas.values().stream().mapToLong((replica) -> replica.bytes).sum();
		}

		EngineState toState() {
			List<Resident> residents = new ArrayList<>();
			Set<ModelId> loading = new HashSet<>();
			Set<ModelId> unloading = new HashSet<>();
			this.replicas.forEach((model, replica) -> {
				if (replica.isUnloading) {
					unloading.add(model);
				}
				if (replica.isResident()) {
					residents.add(new Resident(model, replica.bytes,
							replica.isReady() ? ResidentState.READY : ResidentState.LOADING));
				}
				else {
					loading.add(model);
				}
			});
			EngineReport report = new EngineReport(this.id, "1", 1, this.totalBytes, 0, residents, List.of(),
					FencingToken.ZERO, false, this.role, this.running, 0, 0, 1000, 0, 0, false);
			return new EngineState(this.id, this.dataCentre, report, usedBytes(), loading, unloading, this.isLeaving,
					this.isSuspect);
		}

	}

	/** Simulated replica of a model. */
	static final class SimulatedReplica {

		/** Time from the arrival of a load until the replica is ready, in seconds. */
		private static final int LOAD_SECONDS = 3;

		/** Memory that the replica takes, in bytes. */
		private final long bytes;

		/** Seconds until the outstanding command arrives; negative once it has. */
		private int delaySeconds;

		/** Seconds since the load command arrived. */
		private int loadSeconds;

		/** Whether an unload is outstanding. */
		private boolean isUnloading;

		SimulatedReplica(long bytes, int delaySeconds) {
			this.bytes = bytes;
			this.delaySeconds = delaySeconds;
		}

		void advance() {
			if (this.delaySeconds >= 0) {
				this.delaySeconds--;
			}
			if (!this.isUnloading && this.delaySeconds < 0) {
				this.loadSeconds++;
			}
		}

		boolean isResident() {
			return this.loadSeconds > 0;
		}

		boolean isReady() {
			return this.loadSeconds >= LOAD_SECONDS;
		}

	}

}
