package org.celeryhill.measure;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

import com.fasterxml.jackson.annotation.JsonProperty;
import org.HdrHistogram.Histogram;
import org.celeryhill.base.PriorityClass;

/**
 * Figures of one run over the requests that arrived after the warm-up. Immutable and
 * thread-safe.
 *
 * @param classes the figures by class over the measured time; plain calls are listed as
 * {@code booking}
 * @param during the figures by class of requests that arrived during the event of the
 * scenario
 * @param valueAttainment the attained fraction of the offered value
 * @param valuePerAccelerator the attained value per accelerator and second
 * @param valueAttainmentDuring the attained fraction of the value offered during the
 * event
 * @param movesPerAcceleratorHour the model loads per accelerator and hour after the
 * warm-up
 * @param goodputToCapacity the generated tokens of attained requests during the event
 * relative to the capacity
 * @param throughputToCapacity the generated tokens of all completed requests during the
 * event relative to the capacity
 * @param jain Jain's fairness index over the tokens of the organisations' attained
 * requests during the event
 * @param recoverySeconds the seconds after the event from which on the attained fraction
 * of the value stays at or above 0.95 of its level before the event, -1 if it does not
 * @param othersUrgent the attained fraction of the urgent value of all organisations but
 * the first during the event
 * @param lowerClassShares the fraction of the first organisation's completed tokens that
 * its normal and its batch class got during the event
 * @param violations the number of violations by invariant
 */
record Figures(Map<String, ClassFigures> classes, Map<String, ClassFigures> during, double valueAttainment,
		double valuePerAccelerator, double valueAttainmentDuring, double movesPerAcceleratorHour,
		double goodputToCapacity, double throughputToCapacity, double jain, double recoverySeconds, double othersUrgent,
		Map<String, Double> lowerClassShares, Map<String, Long> violations) {

	/** Distance between the windows that are checked for recovery, in seconds. */
	private static final double RECOVERY_STEP_SECONDS = 10;

	/** Length of a window that is checked for recovery, in seconds. */
	private static final double RECOVERY_WINDOW_SECONDS = 30;

	/** Fraction of the level before the event at which a run counts as recovered. */
	private static final double RECOVERED_FRACTION = 0.95;

	/**
	 * Computes the figures of a run that has ended.
	 * @param run the ended run
	 * @param scenario the scenario of the run
	 * @return the figures
	 */
	static Figures of(Simulation run, Scenario scenario) {
		List<Job> measured = selectArrivedBetween(run.jobs, Scenario.WARM_UP_SECONDS, scenario.seconds);
		List<Job> during = selectArrivedBetween(run.jobs, Scenario.EVENT_SECONDS, Scenario.OVERLOAD_END_SECONDS);
		List<Job> streams = during.stream().filter((job) -> !job.isBooking()).toList();
		double seconds = scenario.seconds - Scenario.WARM_UP_SECONDS;
		double hours = seconds / 3600 * run.deployment.engines;
		double capacity = capacity(run, streams);
		double overloadSeconds = Scenario.OVERLOAD_END_SECONDS - Scenario.EVENT_SECONDS;
		return new Figures(byClass(measured), byClass(during), round(attainedFraction(engineJobs(measured))),
				round(attainedValue(engineJobs(measured)) / run.deployment.engines / seconds),
				round(attainedFraction(streams)), round((run.countModelLoads() - run.warmUpLoads) / hours),
				round(tokens(run.jobs, Job::isAttained) / overloadSeconds / capacity),
				round(tokens(run.jobs, (job) -> true) / overloadSeconds / capacity), round(jain(run, streams)),
				computeRecoverySeconds(run.jobs, scenario.seconds), round(othersUrgent(streams)),
				computeLowerClassShares(streams), new java.util.TreeMap<>(run.violations.counts()));
	}

	private static List<Job> selectArrivedBetween(List<Job> jobs, double from, double until) {
		return jobs.stream().filter((job) -> job.arrivedNanos >= from * 1e9 && job.arrivedNanos < until * 1e9).toList();
	}

	private static List<Job> engineJobs(List<Job> jobs) {
		return jobs.stream().filter((job) -> !job.isBooking()).toList();
	}

	/** Returns the capacity for the mix of completed requests, in tokens per second. */
	private static double capacity(Simulation run, List<Job> jobs) {
		double[] parts = new double[RequestKind.values().length];
		for (Job job : jobs) {
			parts[job.priority.ordinal()] += (job.outcome == Job.Outcome.COMPLETED) ? 1 : 0;
		}
		return run.deployment.engines * RequestKind.tokenCapacity(parts);
	}

	/**
	 * Returns the tokens of requests that completed during the event, whenever they
	 * arrived.
	 */
	private static double tokens(List<Job> jobs, Predicate<Job> counted) {
		double sum = 0;
		for (Job job : jobs) {
			boolean isWithin = job.outcome == Job.Outcome.COMPLETED && job.lastToken >= Scenario.EVENT_SECONDS * 1e9
					&& job.lastToken < Scenario.OVERLOAD_END_SECONDS * 1e9;
			sum += (isWithin && !job.isBooking() && counted.test(job)) ? job.output : 0;
		}
		return sum;
	}

	private static double attainedValue(List<Job> jobs) {
		return jobs.stream().filter(Job::isAttained).mapToDouble((job) -> job.target.value()).sum();
	}

	private static double attainedFraction(List<Job> jobs) {
		double offered = jobs.stream().mapToDouble((job) -> job.target.value()).sum();
		return (offered > 0) ? attainedValue(jobs) / offered : 1;
	}

	private static double jain(Simulation run, List<Job> jobs) {
		double[] served = new double[run.deployment.organisations.size()];
		for (Job job : jobs) {
			served[job.organisation] += job.isAttained() ? job.output : 0;
		}
		double sum = 0;
		double squares = 0;
		for (double one : served) {
			sum += one;
			squares += one * one;
		}
		return (squares > 0) ? sum * sum / (served.length * squares) : 0;
	}

	private static double computeRecoverySeconds(List<Job> jobs, double end) {
		double before = attainedFraction(
				engineJobs(selectArrivedBetween(jobs, Scenario.WARM_UP_SECONDS, Scenario.EVENT_SECONDS)));
		double recovered = -1;
		for (double at = Scenario.EVENT_SECONDS; at + RECOVERY_WINDOW_SECONDS <= end; at += RECOVERY_STEP_SECONDS) {
			boolean isGood = attainedFraction(
					engineJobs(selectArrivedBetween(jobs, at, at + RECOVERY_WINDOW_SECONDS))) >= RECOVERED_FRACTION
							* before;
			if (isGood && recovered < 0) {
				recovered = at - Scenario.EVENT_SECONDS;
			}
			else if (!isGood) {
				recovered = -1;
			}
		}
		return recovered;
	}

	private static double othersUrgent(List<Job> jobs) {
		List<Job> others = jobs.stream()
			.filter((job) -> job.organisation != 0 && job.priority == PriorityClass.URGENT)
			.toList();
		return attainedFraction(others);
	}

	private static Map<String, Double> computeLowerClassShares(List<Job> jobs) {
		double[] tokens = new double[PriorityClass.values().length];
		double sum = 0;
		for (Job job : jobs) {
			if (job.organisation == 0 && job.outcome == Job.Outcome.COMPLETED) {
				tokens[job.priority.ordinal()] += job.prompt + job.output;
				sum += job.prompt + job.output;
			}
		}
		Map<String, Double> shares = new LinkedHashMap<>();
		shares.put("normal", round((sum > 0) ? tokens[PriorityClass.NORMAL.ordinal()] / sum : 0));
		shares.put("batch", round((sum > 0) ? tokens[PriorityClass.BATCH.ordinal()] / sum : 0));
		return shares;
	}

	private static Map<String, ClassFigures> byClass(List<Job> jobs) {
		Map<String, List<Job>> groups = new LinkedHashMap<>();
		for (PriorityClass priority : PriorityClass.values()) {
			groups.put(priority.toLabel(), new ArrayList<>());
		}
		groups.put("booking", new ArrayList<>());
		for (Job job : jobs) {
			groups.get(job.isBooking() ? "booking" : job.priority.toLabel()).add(job);
		}
		Map<String, ClassFigures> figures = new LinkedHashMap<>();
		groups.forEach((label, group) -> figures.put(label, ClassFigures.of(group)));
		return figures;
	}

	static double round(double value) {
		return Math.round(value * 1e4) / 1e4;
	}

	/**
	 * Returns whether any invariant was violated.
	 * @return true if a count of violations is not zero
	 */
	@JsonProperty
	boolean isViolated() {
		return this.violations.values().stream().anyMatch((count) -> count != 0);
	}

	/**
	 * Figures of one class.
	 *
	 * @param offered the number of requests offered
	 * @param attained the fraction that completed within the targets
	 * @param completed the fraction that completed
	 * @param refused the fraction that was refused and has not run
	 * @param failed the fraction that failed after it may have run in part
	 * @param firstTokenP50Millis the median time to the first token of completed
	 * requests, in milliseconds
	 * @param firstTokenP99Millis the 99th percentile of the time to the first token, in
	 * milliseconds
	 * @param betweenTokensP95Millis the 95th percentile of the mean time between tokens
	 * of a request, in milliseconds
	 */
	record ClassFigures(long offered, double attained, double completed, double refused, double failed,
			double firstTokenP50Millis, double firstTokenP99Millis, double betweenTokensP95Millis) {

		static ClassFigures of(List<Job> jobs) {
			long[] counts = new long[4];
			Histogram first = new Histogram(3);
			Histogram between = new Histogram(3);
			for (Job job : jobs) {
				counts[0] += job.isAttained() ? 1 : 0;
				if (job.outcome == null) {
					continue;
				}
				counts[1 + job.outcome.ordinal()]++;
				if (job.outcome == Job.Outcome.COMPLETED) {
					first.recordValue(Math.max(0, job.firstTokenNanos() / 1000));
					between.recordValue((long) (job.meanTimeBetweenTokensNanos() / 1000));
				}
			}
			double all = Math.max(1, jobs.size());
			return new ClassFigures(jobs.size(), round(counts[0] / all), round(counts[1] / all), round(counts[2] / all),
					round(counts[3] / all), first.getValueAtPercentile(50) / 1e3, first.getValueAtPercentile(99) / 1e3,
					between.getValueAtPercentile(95) / 1e3);
		}

	}

}
