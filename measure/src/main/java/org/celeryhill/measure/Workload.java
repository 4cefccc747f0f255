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
 * Arrivals of all callers: Poisson processes by organisation and kind, over models of
 * heavy-tailed popularity, each with bursts of its own. Not thread-safe.
 */
final class Workload {

	/** Exponent of the popularity of models and adapters. */
	private static final double ZIPF = 1.1;

	/** Part of an organisation's requests that go to adapters. */
	private static final double ADAPTER_PART = 0.3;

	/** Demand for a model outside a burst, relative to its mean. */
	private static final double QUIET = 0.7;

	/** Demand for a model during a burst, relative to its mean. */
	private static final double BURST = 2.2;

	/** Mean time between bursts of a model, in seconds. */
	private static final double QUIET_SECONDS = 40;

	/** Mean length of a burst of a model, in seconds. */
	private static final double BURST_SECONDS = 10;

	/** Shared prompt prefixes of one model. */
	private static final int PREFIXES = 4;

	/** Blocks of the shortest and longest shared prefix. */
	private static final int[] PREFIX_BLOCKS = { 4, 14 };

	/** Spread of prompt and answer lengths, sigma of the logarithm. */
	private static final double SIGMA = 0.5;

	/** Plain calls in a second and organisation at load 1. */
	private static final double CALLS = 8;

	/** Virtual time. */
	private final EventQueue events;

	/** Source of all choices. */
	private final SplittableRandom random;

	/** Scenario that shapes the demand. */
	private final Scenario scenario;

	/** Deployment. */
	private final Deployment deployment;

	/** Requests per second of one organisation at the run's load. */
	private final double baseRate;

	/** Receiver of the jobs. */
	private final java.util.function.Consumer<Job> receiver;

	/** Models by organisation. */
	private final List<List<ModelSpec>> catalogues = new ArrayList<>();

	/** Popularity by organisation and model. */
	private final double[][] popularity;

	/** Ranks by popularity, by organisation and model, 0 for the first. */
	private final int[][] ranks;

	/** Burst factor by organisation and model. */
	private final double[][] bursts;

	/** Prefixes by organisation, model and variant. */
	private final List<List<List<List<Long>>>> prefixes = new ArrayList<>();

	/** Jobs so far. */
	private long count;

	Workload(Deployment deployment, Scenario scenario, double load, long seed, EventQueue events,
			java.util.function.Consumer<Job> receiver) {
		this.deployment = deployment;
		this.scenario = scenario;
		this.events = events;
		this.receiver = receiver;
		this.random = new SplittableRandom(seed);
		int organisations = deployment.organisations.size();
		double capacity = deployment.engines * RequestKind.requestCapacity(RequestKind.usualParts());
		this.baseRate = load * capacity / organisations;
		this.popularity = new double[organisations][];
		this.ranks = new int[organisations][];
		this.bursts = new double[organisations][];
		for (int i = 0; i < organisations; i++) {
			prepare(i);
		}
	}

	private void prepare(int organisation) {
		List<ModelSpec> specs = this.deployment.catalogue(organisation);
		this.catalogues.add(specs);
		int models = (int) specs.stream().filter((one) -> !one.isAdapter()).count();
		double[] weights = new double[specs.size()];
		zipf(weights, 0, models, 1 - ADAPTER_PART, true);
		zipf(weights, models, specs.size(), ADAPTER_PART, false);
		this.popularity[organisation] = weights;
		this.ranks[organisation] = ranks(weights);
		this.bursts[organisation] = new double[specs.size()];
		List<List<List<Long>>> all = new ArrayList<>();
		for (int i = 0; i < specs.size(); i++) {
			this.bursts[organisation][i] = QUIET;
			all.add(variants());
		}
		this.prefixes.add(all);
	}

	private void zipf(double[] weights, int from, int to, double part, boolean isShuffled) {
		double sum = 0;
		for (int i = from; i < to; i++) {
			weights[i] = Math.pow(i - from + 1, -ZIPF);
			sum += weights[i];
		}
		for (int i = from; i < to; i++) {
			weights[i] *= part / sum;
		}
		for (int i = to - 1; i > from && isShuffled; i--) {
			int other = this.random.nextInt(from, i + 1);
			double swap = weights[i];
			weights[i] = weights[other];
			weights[other] = swap;
		}
	}

	private List<List<Long>> variants() {
		List<List<Long>> variants = new ArrayList<>();
		for (int i = 0; i < PREFIXES; i++) {
			int blocks = this.random.nextInt(PREFIX_BLOCKS[0], PREFIX_BLOCKS[1] + 1);
			variants.add(LongStream.generate(this.random::nextLong).limit(blocks).boxed().toList());
		}
		return variants;
	}

	/** Starts all arrivals. */
	void start() {
		for (int i = 0; i < this.catalogues.size(); i++) {
			int organisation = i;
			for (int model = 0; model < this.catalogues.get(i).size(); model++) {
				burst(organisation, model, false);
			}
			for (RequestKind kind : RequestKind.values()) {
				this.events.after(0, () -> next(organisation, kind));
			}
			this.events.after(0, () -> nextCall(organisation));
		}
	}

	private void burst(int organisation, int model, boolean isBurst) {
		this.bursts[organisation][model] = isBurst ? BURST : QUIET;
		double mean = isBurst ? BURST_SECONDS : QUIET_SECONDS;
		this.events.after(exponential(1 / mean), () -> burst(organisation, model, !isBurst));
	}

	private long exponential(double rate) {
		return (long) (-Math.log(1 - this.random.nextDouble()) / rate * 1e9);
	}

	private void next(int organisation, RequestKind kind) {
		double seconds = this.events.now() / 1e9;
		double[] weights = weights(organisation, seconds);
		double sum = 0;
		for (double weight : weights) {
			sum += weight;
		}
		double extra = this.scenario.extraRate(this.deployment, organisation, kind, seconds);
		double rate = this.baseRate * kind.part * sum + extra;
		int model = draw(weights, sum);
		this.events.after(exponential(rate), () -> {
			arrive(organisation, kind, model);
			next(organisation, kind);
		});
	}

	private double[] weights(int organisation, double seconds) {
		double[] weights = this.popularity[organisation].clone();
		double total = 0;
		for (int i = 0; i < weights.length; i++) {
			weights[i] *= this.scenario.modelFactor(organisation, this.ranks[organisation][i], seconds);
			total += weights[i];
		}
		for (int i = 0; i < weights.length; i++) {
			weights[i] *= this.bursts[organisation][i] / total;
		}
		return weights;
	}

	private static int[] ranks(double[] weights) {
		int[] ranks = new int[weights.length];
		for (int i = 0; i < weights.length; i++) {
			for (double other : weights) {
				ranks[i] += (other > weights[i]) ? 1 : 0;
			}
		}
		return ranks;
	}

	private int draw(double[] weights, double sum) {
		double left = this.random.nextDouble() * sum;
		for (int i = 0; i < weights.length; i++) {
			left -= weights[i];
			if (left < 0) {
				return i;
			}
		}
		return weights.length - 1;
	}

	private void arrive(int organisation, RequestKind kind, int model) {
		List<List<Long>> variants = this.prefixes.get(organisation).get(model);
		List<Long> prefix = variants.get(this.random.nextInt(PREFIXES));
		int prompt = Math.max(prefix.size() * 16 + 10, length(kind.prompt));
		int max = 2 * kind.output;
		int output = Math.min(max, length(kind.output));
		ModelId id = this.catalogues.get(organisation).get(model).id();
		this.receiver
			.accept(new Job(nextId(), organisation, kind.priority, id, prompt, output, max, prefix, this.events.now()));
	}

	private int length(int mean) {
		double gauss = Math.sqrt(-2 * Math.log(1 - this.random.nextDouble()))
				* Math.cos(2 * Math.PI * this.random.nextDouble());
		return Math.max(8, (int) (mean * Math.exp(SIGMA * gauss - SIGMA * SIGMA / 2)));
	}

	private RequestId nextId() {
		return RequestId.of("r" + this.count++);
	}

	private void nextCall(int organisation) {
		double rate = CALLS * this.scenario.callFactor(this.deployment, this.events.now() / 1e9);
		this.events.after(exponential(rate), () -> {
			this.receiver.accept(
					new Job(nextId(), organisation, PriorityClass.NORMAL, null, 1, 1, 1, List.of(), this.events.now()));
			nextCall(organisation);
		});
	}

	/**
	 * Returns the plain calls per second of all organisations.
	 * @param deployment the deployment
	 * @return calls per second
	 */
	static double calls(Deployment deployment) {
		return CALLS * deployment.organisations.size();
	}

}
