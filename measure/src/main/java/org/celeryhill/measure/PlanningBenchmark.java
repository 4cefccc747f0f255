package org.celeryhill.measure;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;

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
import org.celeryhill.placement.PlacementPlan;
import org.celeryhill.placement.PlacementPlanner;
import org.celeryhill.placement.PlanInput;
import org.celeryhill.placement.PlanInput.EngineState;
import org.celeryhill.placement.PlanInput.ModelDemand;
import org.celeryhill.placement.ReplicaPlacementPlanner;
import org.celeryhill.port.EngineReport;
import org.celeryhill.port.EngineReport.Resident;
import org.celeryhill.port.EngineReport.ResidentState;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/**
 * Measures the time of one planning round by the number of engines, for an empty fleet, a
 * fleet in steady state, a shift of demand and a lost data centre.
 */
@State(Scope.Benchmark)
@BenchmarkMode({ Mode.AverageTime, Mode.SampleTime })
@OutputTimeUnit(TimeUnit.MILLISECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(value = 1, jvmArgsAppend = { "-Xmx1g" })
public class PlanningBenchmark {

	/** Service of all engines. */
	private static final ServiceId SERVICE = ServiceId.of("beater-llm");

	/** Largest number of models, which the largest fleets have. */
	private static final int MAX_MODELS = 1000;

	/** Accelerator memory of an engine, in bytes. */
	private static final long MEMORY = 80_000_000_000L;

	/** Time between two rounds, in nanoseconds. */
	private static final long ROUND_NANOS = 1_000_000_000L;

	/** Number of engines in the fleet. */
	@Param({ "8", "80", "800", "3400" })
	private int engines;

	/** State of the fleet. */
	@Param({ "EMPTY", "STEADY", "SHIFT", "LOST_DATA_CENTRE" })
	private Situation situation;

	/** Planner that is measured. */
	private PlacementPlanner planner;

	/** Input of the next round. */
	private PlanInput input;

	/** Engines of the fleet, the same in every round. */
	private List<EngineState> fleet;

	/** Demand by model. */
	private Map<ModelId, ModelDemand> demand;

	/** Configuration with all models. */
	private Revision revision;

	/** Number of rounds so far. */
	private long rounds;

	/** Creates the fleet, the demand and the planner, and runs a first round. */
	@Setup(Level.Trial)
	public void setUp() {
		Random random = new Random(46);
		List<ModelSpec> models = models(Math.min(MAX_MODELS, this.engines * 2), random);
		this.revision = createRevision(models);
		this.demand = new HashMap<>();
		for (int i = 0; i < models.size(); i++) {
			this.demand.put(models.get(i).id(), new ModelDemand(5000.0 / (1 + i % 97), 10.0 / (1 + i % 97), 0));
		}
		this.fleet = createFleet(models, random);
		this.planner = ReplicaPlacementPlanner.create();
		plan();
		if (this.situation == Situation.SHIFT) {
			models.subList(0, models.size() / 2)
				.forEach((spec) -> this.demand.merge(spec.id(), ModelDemand.NONE,
						(old, none) -> new ModelDemand(old.tokensPerSecond() * 10, old.valuePerSecond() * 10, 3)));
		}
	}

	/** Creates the input of a round outside the measured time. */
	@Setup(Level.Invocation)
	public void nextRound() {
		this.rounds++;
		this.input = new PlanInput(SERVICE, this.revision, this.fleet, this.demand, this.rounds * ROUND_NANOS, 1);
	}

	/**
	 * Plans one round.
	 * @return the plan, never null
	 */
	@Benchmark
	public PlacementPlan plan() {
		if (this.input == null) {
			nextRound();
		}
		return this.planner.plan(this.input);
	}

	private static List<ModelSpec> models(int count, Random random) {
		List<ModelSpec> models = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			long bytes = MEMORY / 16 + (long) (random.nextDouble() * MEMORY / 4);
			models.add(new ModelSpec(ModelId.of("model-" + i + "@1"), bytes, Optional.empty(), 1, 400));
		}
		return models;
	}

	private static Revision createRevision(List<ModelSpec> models) {
		Map<PriorityClass, ClassTarget> classes = new EnumMap<>(PriorityClass.class);
		Duration second = Duration.ofSeconds(1);
		for (PriorityClass priority : PriorityClass.values()) {
			classes.put(priority, new ClassTarget(second, second, second, 1, 1, 0));
		}
		ServiceTemplate template = new ServiceTemplate(SERVICE, ServiceTemplate.Kind.MODEL_ENGINE, classes,
				new PlacementLimits(100, 400, 400), List.of());
		OrganisationParameters parameters = new OrganisationParameters(OrganisationId.of("mill-a"), SERVICE, 1, models,
				Set.of(PriorityClass.URGENT), Set.of(), 100);
		return new Revision(1, List.of(template), List.of(parameters));
	}

	private List<EngineState> createFleet(List<ModelSpec> models, Random random) {
		List<EngineState> states = new ArrayList<>();
		int next = 0;
		for (int i = 0; i < this.engines; i++) {
			List<Resident> residents = new ArrayList<>();
			long usedBytes = 0;
			while (this.situation != Situation.EMPTY) {
				ModelSpec spec = models.get(next++ % models.size());
				if (usedBytes + spec.bytes() > MEMORY) {
					break;
				}
				usedBytes += spec.bytes();
				residents.add(new Resident(spec.id(), spec.bytes(), ResidentState.READY));
			}
			states.add(state(i, residents, usedBytes));
		}
		return states;
	}

	private EngineState state(int index, List<Resident> residents, long usedBytes) {
		BackendServerId id = BackendServerId.of("engine-" + index);
		EngineReport report = new EngineReport(id, "1", 1, MEMORY, 0, residents, List.of(), FencingToken.ZERO, false,
				EngineReport.Role.MIXED, 0, 0, 0, 100_000, 0, 0, false);
		DataCentre dataCentre = DataCentre.of("dc-" + index % 18);
		boolean isSuspect = this.situation == Situation.LOST_DATA_CENTRE && index % 18 == 0;
		return new EngineState(id, dataCentre, report, usedBytes, Set.of(), Set.of(), false, isSuspect);
	}

	/** State of the fleet and its demand. */
	public enum Situation {

		/** No engine has a model. */
		EMPTY,

		/** The memory of the engines is full and the demand is constant. */
		STEADY,

		/** The demand for half of the models has grown tenfold. */
		SHIFT,

		/** The engines of one data centre do not answer. */
		LOST_DATA_CENTRE

	}

}
