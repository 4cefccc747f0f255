package org.celeryhill.fuzz;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.stream.Collectors;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.RandomGenerator;
import net.jqwik.api.Tuple;
import net.jqwik.api.sessions.JqwikSession;

/**
 * Runs cases of random steps, each on a new simulation, until a promise is broken or a
 * limit is reached, and shrinks the steps of a failure. The same seed, limits and
 * simulation give the same cases. Not thread-safe.
 */
final class FuzzRunner {

	/** Exclusive upper bound of the arguments of a step. */
	private static final int STEP_ARGUMENT_BOUND = 60;

	/** Maximum number of replays for shrinking one failure. */
	private static final int MAX_SHRINK_RUNS = 5_000;

	/** Number of stack frames reported for an unexpected exception. */
	private static final int MAX_STACK_FRAMES = 6;

	/** Creates the simulation of each case. */
	private final Supplier<Simulation> simulationFactory;

	/** Number of steps of one case. */
	private final int stepsPerCase;

	FuzzRunner(Supplier<Simulation> simulationFactory, int stepsPerCase) {
		this.simulationFactory = simulationFactory;
		this.stepsPerCase = stepsPerCase;
	}

	/**
	 * Runs cases until one fails, the number of steps is reached or a stop is requested.
	 * @param seed the seed of the random steps
	 * @param maxSteps the number of steps after which no further case is started
	 * @param isStopRequested tells whether to stop, asked before each case
	 * @return the result with the first failure, if any
	 */
	FuzzResult run(long seed, long maxSteps, BooleanSupplier isStopRequested) {
		Random random = new Random(seed);
		RandomGenerator<List<Step>> generator = createTraceGenerator();
		long cases = 0;
		long steps = 0;
		while (steps < maxSteps && !isStopRequested.getAsBoolean()) {
			List<Step> drawnSteps = generator.next(random).value();
			cases++;
			steps += drawnSteps.size();
			Optional<FuzzResult.Failure> failure = replay(drawnSteps);
			if (failure.isPresent()) {
				return new FuzzResult(cases, steps, Optional.of(shrink(failure.get())));
			}
		}
		return new FuzzResult(cases, steps, Optional.empty());
	}

	/**
	 * Runs the given steps on a new simulation.
	 * @param trace the steps to run
	 * @return the failure with the steps up to it, or empty if the promise holds
	 */
	Optional<FuzzResult.Failure> replay(List<Step> trace) {
		Simulation simulation = this.simulationFactory.get();
		int stepCount = 0;
		try {
			for (Step step : trace) {
				stepCount++;
				simulation.applyStep(step);
			}
			simulation.endTrace();
			return Optional.empty();
		}
		catch (PromiseBrokenException ex) {
			return Optional.of(new FuzzResult.Failure(ex.getMessage(), stepCount, trace.subList(0, stepCount)));
		}
		catch (RuntimeException ex) {
			String frames = Arrays.stream(ex.getStackTrace())
				.limit(MAX_STACK_FRAMES)
				.map(StackTraceElement::toString)
				.collect(Collectors.joining(" "));
			return Optional.of(new FuzzResult.Failure("exception: " + ex + " at " + frames, stepCount,
					trace.subList(0, stepCount)));
		}
	}

	private RandomGenerator<List<Step>> createTraceGenerator() {
		Map<String, Integer> weights = this.simulationFactory.get().allActionWeights();
		List<Tuple.Tuple2<Integer, String>> actions = weights.entrySet()
			.stream()
			.sorted(Map.Entry.comparingByKey(Comparator.naturalOrder()))
			.map((entry) -> Tuple.of(entry.getValue(), entry.getKey()))
			.toList();
		Arbitrary<Integer> number = Arbitraries.integers()
			.between(0, STEP_ARGUMENT_BOUND - 1)
			.withDistribution(net.jqwik.api.RandomDistribution.uniform());
		Arbitrary<Step> step = Combinators.combine(Arbitraries.frequency(actions), number, number, number)
			.as(Step::new);
		RandomGenerator<List<Step>>[] holder = newGeneratorArray();
		JqwikSession.run(() -> holder[0] = step.list().ofSize(this.stepsPerCase).generator(1000, false));
		return holder[0];
	}

	@SuppressWarnings("unchecked")
	private static RandomGenerator<List<Step>>[] newGeneratorArray() {
		return new RandomGenerator[1];
	}

	private FuzzResult.Failure shrink(FuzzResult.Failure first) {
		FuzzResult.Failure best = first;
		int runs = 0;
		int chunkSize = Math.max(1, best.trace().size() / 2);
		while (runs < MAX_SHRINK_RUNS) {
			boolean isSmaller = false;
			for (int from = 0; from < best.trace().size() && runs < MAX_SHRINK_RUNS; runs++) {
				List<Step> shorter = new ArrayList<>(best.trace());
				shorter.subList(from, Math.min(from + chunkSize, shorter.size())).clear();
				Optional<FuzzResult.Failure> failure = replay(shorter);
				if (failure.isPresent()) {
					best = failure.get();
					isSmaller = true;
				}
				else {
					from += chunkSize;
				}
			}
			if (chunkSize == 1 && !isSmaller) {
				break;
			}
			chunkSize = Math.max(1, chunkSize / 2);
		}
		return new FuzzResult.Failure(best.message(), first.step(), best.trace());
	}

}
