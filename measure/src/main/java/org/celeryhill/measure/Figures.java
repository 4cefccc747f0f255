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
 * Figures of one run, of requests that arrived after the warm-up. Immutable and
 * thread-safe.
 *
 * @param classes the figures by class over the whole measured time; the plain calls are
 * under {@code booking}
 * @param during the figures by class during the event of the scenario
 * @param valueAttainment the attained part of the offered value
 * @param valuePerAccelerator the attained value per accelerator and second
 * @param valueAttainmentDuring the attained part of the offered value during the event
 * @param movesPerAcceleratorHour the model loads per accelerator and hour after the
 * warm-up
 * @param goodputToCapacity the generated tokens of attained requests during the event
 * relative to the capacity
 * @param throughputToCapacity the generated tokens of all completed requests during the
 * event relative to the capacity
 * @param jain the fairness index over the tokens of the organisations' attained requests
 * during the event
 * @param recoverySeconds the time after the event from which on the attained value stays
 * at 0.95 of its former level, -1 if it never does
 * @param othersUrgent the urgent attainment of all organisations but the first during the
 * event
 * @param lowerClassShares the part of the organisation's completed tokens that each lower
 * class of the first organisation got during the event
 * @param violations the broken invariants
 */
record Figures(Map<String, ClassFigures> classes, Map<String, ClassFigures> during, double valueAttainment,
		double valuePerAccelerator, double valueAttainmentDuring, double movesPerAcceleratorHour,
		double goodputToCapacity, double throughputToCapacity, double jain, double recoverySeconds, double othersUrgent,
		Map<String, Double> lowerClassShares, Map<String, Long> violations) {

	/** Length of one step of the recovery, in seconds. */
	private static final double RECOVERY_STEP = 10;

	/** Length of the window of the recovery, in seconds. */
	private static final double RECOVERY_WINDOW = 30;

	/** Part of the former level at which a run counts as recovered. */
	private static final double RECOVERED = 0.95;

	/**
	 * Computes the figures of a run that has ended.
	 * @param run the run
	 * @param scenario the scenario
	 * @return the figures
	 */
	static Figures of(Simulation run, Scenario scenario) {
		List<Job> measured = select(run.jobs, Scenario.WARM_UP, scenario.seconds);
		List<Job> during = select(run.jobs, Scenario.EVENT, Scenario.OVERLOAD_END);
		List<Job> streams = during.stream().filter((job) -> !job.isBooking()).toList();
		double seconds = scenario.seconds - Scenario.WARM_UP;
		double hours = seconds / 3600 * run.deployment.engines;
		double capacity = capacity(run, streams);
		double overload = Scenario.OVERLOAD_END - Scenario.EVENT;
		return new Figures(byClass(measured), byClass(during), round(attainment(engineJobs(measured))),
				round(attainedValue(engineJobs(measured)) / run.deployment.engines / seconds),
				round(attainment(streams)), round((run.loads() - run.warmUpLoads) / hours),
				round(tokens(run.jobs, Job::isAttained) / overload / capacity),
				round(tokens(run.jobs, (job) -> true) / overload / capacity), round(jain(run, streams)),
				recovery(run.jobs, scenario.seconds), round(othersUrgent(streams)), shares(streams),
				new java.util.TreeMap<>(run.violations.counts()));
	}

	private static List<Job> select(List<Job> jobs, double from, double until) {
		return jobs.stream().filter((job) -> job.arrived >= from * 1e9 && job.arrived < until * 1e9).toList();
	}

	private static List<Job> engineJobs(List<Job> jobs) {
		return jobs.stream().filter((job) -> !job.isBooking()).toList();
	}

	/** Capacity for the mix of what was completed, in tokens per second. */
	private static double capacity(Simulation run, List<Job> jobs) {
		double[] parts = new double[RequestKind.values().length];
		for (Job job : jobs) {
			parts[job.priority.ordinal()] += (job.outcome == Job.Outcome.COMPLETED) ? 1 : 0;
		}
		return run.deployment.engines * RequestKind.tokenCapacity(parts);
	}

	/** Tokens of requests that completed during the event, whenever they arrived. */
	private static double tokens(List<Job> jobs, Predicate<Job> counted) {
		double sum = 0;
		for (Job job : jobs) {
			boolean isWithin = job.outcome == Job.Outcome.COMPLETED && job.lastToken >= Scenario.EVENT * 1e9
					&& job.lastToken < Scenario.OVERLOAD_END * 1e9;
			sum += (isWithin && !job.isBooking() && counted.test(job)) ? job.output : 0;
		}
		return sum;
	}

	private static double attainedValue(List<Job> jobs) {
		return jobs.stream().filter(Job::isAttained).mapToDouble((job) -> job.target.value()).sum();
	}

	private static double attainment(List<Job> jobs) {
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

	private static double recovery(List<Job> jobs, double end) {
		double before = attainment(engineJobs(select(jobs, Scenario.WARM_UP, Scenario.EVENT)));
		double recovered = -1;
		for (double at = Scenario.EVENT; at + RECOVERY_WINDOW <= end; at += RECOVERY_STEP) {
			boolean isGood = attainment(engineJobs(select(jobs, at, at + RECOVERY_WINDOW))) >= RECOVERED * before;
			if (isGood && recovered < 0) {
				recovered = at - Scenario.EVENT;
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
		return attainment(others);
	}

	private static Map<String, Double> shares(List<Job> jobs) {
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
	 * Returns whether any invariant was broken.
	 * @return true if so
	 */
	@JsonProperty
	boolean isViolated() {
		return this.violations.values().stream().anyMatch((count) -> count != 0);
	}

	/**
	 * Figures of one class.
	 *
	 * @param offered the requests offered
	 * @param attained the part that completed within the targets
	 * @param completed the part that completed
	 * @param refused the part that was refused and has not run
	 * @param failed the part that failed after it had run in part
	 * @param firstTokenP50Millis the median time to the first token of completed ones
	 * @param firstTokenP99Millis the 99th percentile of it
	 * @param betweenTokensP95Millis the 95th percentile of the mean time between tokens
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
					between.recordValue((long) (job.betweenTokensNanos() / 1000));
				}
			}
			double all = Math.max(1, jobs.size());
			return new ClassFigures(jobs.size(), round(counts[0] / all), round(counts[1] / all), round(counts[2] / all),
					round(counts[3] / all), first.getValueAtPercentile(50) / 1e3, first.getValueAtPercentile(99) / 1e3,
					between.getValueAtPercentile(95) / 1e3);
		}

	}

}
