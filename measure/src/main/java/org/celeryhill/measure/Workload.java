package org.celeryhill.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.LongStream;

import org.celeryhill.base.ModelId;
import org.celeryhill.base.PriorityClass;
import org.celeryhill.base.RequestId;
import org.celeryhill.config.ModelSpec;

/**
 * Generates the arrivals of all callers, as a Poisson process for each organisation and
 * kind of request, over models of heavy-tailed popularity that have independent bursts.
 * Not thread-safe.
 */
final class Workload {

	/** Exponent of the Zipf distribution of the popularity of models and adapters. */
	private static final double ZIPF_EXPONENT = 1.1;

	/** Fraction of an organisation's requests that use adapters. */
	private static final double ADAPTER_FRACTION = 0.3;

	/** Demand for a model outside a burst, relative to its mean. */
	private static final double QUIET_FACTOR = 0.7;

	/** Demand for a model during a burst, relative to its mean. */
	private static final double BURST_FACTOR = 2.2;

	/** Mean time between bursts of a model, in seconds. */
	private static final double QUIET_SECONDS = 40;

	/** Mean length of a burst of a model, in seconds. */
	private static final double BURST_SECONDS = 10;

	/** Number of shared prompt prefixes of one model. */
	private static final int PREFIXES_PER_MODEL = 4;

	/** Number of blocks of the shortest and the longest shared prefix. */
	private static final int[] PREFIX_BLOCKS = { 4, 14 };

	/** Standard deviation of the logarithm of prompt and output lengths. */
	private static final double LENGTH_SIGMA = 0.5;

	/**
	 * Plain calls per second of one organisation at load 1. The load of a run does not
	 * scale them.
	 */
	private static final double CALLS_PER_SECOND = 8;

	/** Events in virtual time. */
	private final EventQueue events;

	/** Random generator of the workload. */
	private final SplittableRandom random;

	/** Scenario that shapes the demand. */
	private final Scenario scenario;

	/** Simulated deployment. */
	private final Deployment deployment;

	/** Engine requests per second of one organisation at the load of the run. */
	private final double baseRate;

	/** Receives each job at its arrival. */
	private final java.util.function.Consumer<Job> receiver;

	/** Models and adapters by organisation. */
	private final List<List<ModelSpec>> modelSpecs = new ArrayList<>();

	/** Fraction of the requests by organisation and model. */
	private final double[][] popularity;

	/** Popularity ranks by organisation and model, 0 for the most popular. */
	private final int[][] ranks;

	/** Current burst factor by organisation and model. */
	private final double[][] burstFactors;

	/** Block hashes of the prefixes by organisation, model and prefix. */
	private final List<List<List<List<Long>>>> prefixes = new ArrayList<>();

	/** Number of jobs so far. */
	private long count;

	Workload(Deployment deployment, Scenario scenario, double load, long seed, EventQueue events,
			java.util.function.Consumer<Job> receiver) {
		this.deployment = deployment;
		this.scenario = scenario;
		this.events = events;
		this.receiver = receiver;
		this.random = new SplittableRandom(seed);
		int organisations = deployment.organisations.size();
		double capacity = deployment.engines * RequestKind.requestCapacity(RequestKind.defaultFractions());
		this.baseRate = load * capacity / organisations;
		this.popularity = new double[organisations][];
		this.ranks = new int[organisations][];
		this.burstFactors = new double[organisations][];
		for (int i = 0; i < organisations; i++) {
			prepareOrganisation(i);
		}
	}

	private void prepareOrganisation(int organisation) {
		List<ModelSpec> specs = this.deployment.createModelSpecs(organisation);
		this.modelSpecs.add(specs);
		int models = (int) specs.stream().filter((one) -> !one.isAdapter()).count();
		double[] weights = new double[specs.size()];
		assignZipfWeights(weights, 0, models, 1 - ADAPTER_FRACTION, true);
		assignZipfWeights(weights, models, specs.size(), ADAPTER_FRACTION, false);
		this.popularity[organisation] = weights;
		this.ranks[organisation] = popularityRanks(weights);
		this.burstFactors[organisation] = new double[specs.size()];
		List<List<List<Long>>> all = new ArrayList<>();
		for (int i = 0; i < specs.size(); i++) {
			this.burstFactors[organisation][i] = QUIET_FACTOR;
			all.add(createPrefixes());
		}
		this.prefixes.add(all);
	}

	private void assignZipfWeights(double[] weights, int from, int to, double weightSum, boolean isShuffled) {
		double sum = 0;
		for (int i = from; i < to; i++) {
			weights[i] = Math.pow(i - from + 1, -ZIPF_EXPONENT);
			sum += weights[i];
		}
		for (int i = from; i < to; i++) {
			weights[i] *= weightSum / sum;
		}
		for (int i = to - 1; i > from && isShuffled; i--) {
			int other = this.random.nextInt(from, i + 1);
			double swap = weights[i];
			weights[i] = weights[other];
			weights[other] = swap;
		}
	}

	private List<List<Long>> createPrefixes() {
		List<List<Long>> variants = new ArrayList<>();
		for (int i = 0; i < PREFIXES_PER_MODEL; i++) {
			int blocks = this.random.nextInt(PREFIX_BLOCKS[0], PREFIX_BLOCKS[1] + 1);
			variants.add(LongStream.generate(this.random::nextLong).limit(blocks).boxed().toList());
		}
		return variants;
	}

	/** Schedules the first arrivals and bursts. */
	void start() {
		for (int i = 0; i < this.modelSpecs.size(); i++) {
			int organisation = i;
			for (int model = 0; model < this.modelSpecs.get(i).size(); model++) {
				startPhase(organisation, model, false);
			}
			for (RequestKind kind : RequestKind.values()) {
				this.events.scheduleAfter(0, () -> scheduleNextRequest(organisation, kind));
			}
			this.events.scheduleAfter(0, () -> scheduleNextCall(organisation));
		}
	}

	private void startPhase(int organisation, int model, boolean isBurst) {
		this.burstFactors[organisation][model] = isBurst ? BURST_FACTOR : QUIET_FACTOR;
		double mean = isBurst ? BURST_SECONDS : QUIET_SECONDS;
		this.events.scheduleAfter(drawExponentialNanos(1 / mean), () -> startPhase(organisation, model, !isBurst));
	}

	private long drawExponentialNanos(double rate) {
		return (long) (-Math.log(1 - this.random.nextDouble()) / rate * 1e9);
	}

	private void scheduleNextRequest(int organisation, RequestKind kind) {
		double seconds = this.events.now() / 1e9;
		double[] weights = modelWeights(organisation, seconds);
		double sum = 0;
		for (double weight : weights) {
			sum += weight;
		}
		double extra = this.scenario.extraRequestsPerSecond(this.deployment, organisation, kind, seconds);
		double rate = this.baseRate * kind.fraction * sum + extra;
		int model = drawModel(weights, sum);
		this.events.scheduleAfter(drawExponentialNanos(rate), () -> {
			submitRequest(organisation, kind, model);
			scheduleNextRequest(organisation, kind);
		});
	}

	private double[] modelWeights(int organisation, double seconds) {
		double[] weights = this.popularity[organisation].clone();
		double total = 0;
		for (int i = 0; i < weights.length; i++) {
			weights[i] *= this.scenario.modelDemandFactor(organisation, this.ranks[organisation][i], seconds);
			total += weights[i];
		}
		for (int i = 0; i < weights.length; i++) {
			weights[i] *= this.burstFactors[organisation][i] / total;
		}
		return weights;
	}

	private static int[] popularityRanks(double[] weights) {
		int[] ranks = new int[weights.length];
		for (int i = 0; i < weights.length; i++) {
			for (double other : weights) {
				ranks[i] += (other > weights[i]) ? 1 : 0;
			}
		}
		return ranks;
	}

	private int drawModel(double[] weights, double sum) {
		double left = this.random.nextDouble() * sum;
		for (int i = 0; i < weights.length; i++) {
			left -= weights[i];
			if (left < 0) {
				return i;
			}
		}
		return weights.length - 1;
	}

	private void submitRequest(int organisation, RequestKind kind, int model) {
		List<List<Long>> variants = this.prefixes.get(organisation).get(model);
		List<Long> prefix = variants.get(this.random.nextInt(PREFIXES_PER_MODEL));
		int prompt = Math.max(prefix.size() * 16 + 10, drawLength(kind.prompt));
		int max = 2 * kind.output;
		int output = Math.min(max, drawLength(kind.output));
		ModelId id = this.modelSpecs.get(organisation).get(model).id();
		this.receiver
			.accept(new Job(nextId(), organisation, kind.priority, id, prompt, output, max, prefix, this.events.now()));
	}

	private int drawLength(int mean) {
		double gauss = Math.sqrt(-2 * Math.log(1 - this.random.nextDouble()))
				* Math.cos(2 * Math.PI * this.random.nextDouble());
		return Math.max(8, (int) (mean * Math.exp(LENGTH_SIGMA * gauss - LENGTH_SIGMA * LENGTH_SIGMA / 2)));
	}

	private RequestId nextId() {
		return RequestId.of("r" + this.count++);
	}

	private void scheduleNextCall(int organisation) {
		double rate = CALLS_PER_SECOND * this.scenario.callRateFactor(this.deployment, this.events.now() / 1e9);
		this.events.scheduleAfter(drawExponentialNanos(rate), () -> {
			this.receiver.accept(
					new Job(nextId(), organisation, PriorityClass.NORMAL, null, 1, 1, 1, List.of(), this.events.now()));
			scheduleNextCall(organisation);
		});
	}

	/**
	 * Returns the usual rate of plain calls of all organisations.
	 * @param deployment the simulated deployment
	 * @return the rate in calls per second
	 */
	static double totalCallsPerSecond(Deployment deployment) {
		return CALLS_PER_SECOND * deployment.organisations.size();
	}

}
