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
 * Fleet that moves in steps of one second. Commands arrive after a random delay, loads
 * take a few seconds; each rule of placement is checked where a command is applied.
 */
final class FleetModel {

	/** Service of all engines. */
	static final ServiceId SERVICE = ServiceId.of("beater-llm");

	/** Engines by id. */
	final Map<BackendServerId, Box> boxes = new LinkedHashMap<>();

	/** Listed models. */
	final List<ModelSpec> models = new ArrayList<>();

	/** Demand by model. */
	final Map<ModelId, ModelDemand> demand = new HashMap<>();

	/** Planner under test. */
	ReplicaPlacementPlanner planner = ReplicaPlacementPlanner.create();

	/** Loads started so far. */
	int loads;

	/** Time in seconds. */
	long seconds;

	/** Latest plan. */
	PlacementPlan plan;

	/** Limits of the weight store. */
	PlacementLimits limits = new PlacementLimits(2, 6, 50);

	/** Source of delays. */
	private final Random random;

	/** Number of the revision; grows when models change. */
	private long revision = 1;

	FleetModel(long seed) {
		this.random = new Random(seed);
	}

	void addEngines(int count, int dataCentres, long memory) {
		for (int i = 0; i < count; i++) {
			BackendServerId id = BackendServerId.of("engine-" + this.boxes.size());
			this.boxes.put(id, new Box(id, DataCentre.of("dc-" + i % dataCentres), memory));
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
		this.revision++;
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
		return new Revision(this.revision, List.of(template), List.of(parameters));
	}

	void run(int steps) {
		for (int i = 0; i < steps; i++) {
			step();
		}
	}

	void step() {
		this.seconds++;
		this.boxes.values().forEach(Box::advance);
		List<EngineState> states = this.boxes.values().stream().map(Box::toState).toList();
		this.plan = this.planner
			.plan(new PlanInput(SERVICE, toRevision(), states, this.demand, this.seconds * 1_000_000_000L, 1));
		this.plan.steps().forEach(this::apply);
	}

	private void apply(Step step) {
		Box box = this.boxes.get(step.engine());
		check(!box.isSuspect, "command to a suspect engine: " + step);
		if (step.action().isLoad()) {
			check(!box.copies.containsKey(step.model()), "load of a model that is there: " + step);
			check(box.takenBytes() + step.bytes() <= box.memory, "memory overcommitted: " + step);
			box.copies.put(step.model(), new Copy(step.bytes(), this.random.nextInt(4)));
			this.loads++;
		}
		else if (step.action().isUnload()) {
			Copy copy = box.copies.get(step.model());
			check(copy != null && copy.isReady() && !copy.isUnload, "unload of a model that is not ready: " + step);
			boolean isLast = step.action() == Action.UNLOAD_MODEL && isListed(step.model())
					&& readyElsewhere(step.model(), box) == 0;
			check(!isLast, "unload of the last ready replica: " + step);
			copy.isUnload = true;
			copy.delay = this.random.nextInt(4);
		}
		else {
			box.role = Role.valueOf(step.model().value());
		}
	}

	private static void check(boolean isTrue, String message) {
		if (!isTrue) {
			throw new AssertionError(message);
		}
	}

	boolean isListed(ModelId model) {
		return this.models.stream().anyMatch((spec) -> spec.id().equals(model));
	}

	int ready(ModelId model) {
		return readyElsewhere(model, null);
	}

	private int readyElsewhere(ModelId model, Box except) {
		int count = 0;
		for (Box box : this.boxes.values()) {
			Copy copy = box.copies.get(model);
			boolean isCounted = box != except && !box.isSuspect && !box.isLeaving;
			count += (isCounted && copy != null && copy.isReady() && !copy.isUnload) ? 1 : 0;
		}
		return count;
	}

	long inFlight() {
		return this.boxes.values()
			.stream()
			.flatMap((box) -> box.copies.values().stream())
			.filter((copy) -> !copy.isUnload && !copy.isReady())
			.count();
	}

	Set<ModelId> unreachable() {
		Set<ModelId> missing = new HashSet<>();
		this.models.stream()
			.filter((spec) -> !spec.isAdapter() && ready(spec.id()) == 0)
			.forEach((spec) -> missing.add(spec.id()));
		return missing;
	}

	long dataCentres(ModelId model) {
		return this.boxes.values()
			.stream()
			.filter((box) -> box.copies.containsKey(model) && box.copies.get(model).isReady())
			.map((box) -> box.dataCentre)
			.distinct()
			.count();
	}

	/** One engine. */
	static final class Box {

		/** Copies by model. */
		final Map<ModelId, Copy> copies = new LinkedHashMap<>();

		/** Whether the engine leaves. */
		boolean isLeaving;

		/** Whether the engine does not answer. */
		boolean isSuspect;

		/** Requests that are being decoded. */
		int running;

		/** Role. */
		Role role = Role.MIXED;

		/** Identifier. */
		private final BackendServerId id;

		/** Data centre. */
		private final DataCentre dataCentre;

		/** Memory in bytes. */
		private final long memory;

		Box(BackendServerId id, DataCentre dataCentre, long memory) {
			this.id = id;
			this.dataCentre = dataCentre;
			this.memory = memory;
		}

		DataCentre dataCentre() {
			return this.dataCentre;
		}

		void advance() {
			if (!this.isSuspect) {
				this.copies.values().forEach(Copy::advance);
				this.copies.values().removeIf((copy) -> copy.isUnload && copy.delay < 0);
			}
		}

		long takenBytes() {
			return this.copies.values().stream().mapToLong((copy) -> copy.bytes).sum();
		}

		EngineState toState() {
			List<Resident> residents = new ArrayList<>();
			Set<ModelId> loading = new HashSet<>();
			Set<ModelId> unloading = new HashSet<>();
			this.copies.forEach((model, copy) -> {
				if (copy.isUnload) {
					unloading.add(model);
				}
				if (copy.isResident()) {
					residents.add(new Resident(model, copy.bytes,
							copy.isReady() ? ResidentState.READY : ResidentState.LOADING));
				}
				else {
					loading.add(model);
				}
			});
			EngineReport report = new EngineReport(this.id, "1", 1, this.memory, 0, residents, List.of(),
					FencingToken.ZERO, false, this.role, this.running, 0, 0, 1000, 0, 0, false);
			return new EngineState(this.id, this.dataCentre, report, takenBytes(), loading, unloading, this.isLeaving,
					this.isSuspect);
		}

	}

	/** One copy of a model. */
	static final class Copy {

		/** Seconds that a load takes on the engine. */
		private static final int LOAD_SECONDS = 3;

		/** Memory in bytes. */
		private final long bytes;

		/** Seconds until the outstanding command arrives. */
		private int delay;

		/** Seconds since the load arrived. */
		private int age;

		/** Whether an unload is outstanding. */
		private boolean isUnload;

		Copy(long bytes, int delay) {
			this.bytes = bytes;
			this.delay = delay;
		}

		void advance() {
			if (this.delay >= 0) {
				this.delay--;
			}
			if (!this.isUnload && this.delay < 0) {
				this.age++;
			}
		}

		boolean isResident() {
			return this.age > 0;
		}

		boolean isReady() {
			return this.age >= LOAD_SECONDS;
		}

	}

}
