package org.celeryhill.measure;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the simulation. They use a low load to take only a few seconds.
 */
class SimulationTests {

	/** Load of all runs, relative to the capacity. */
	private static final double LOAD = 0.1;

	private static Figures run(Scenario scenario, Policy policy, long seed) {
		return new Simulation(Deployment.COOPERATIVE, scenario, policy, LOAD, seed).run();
	}

	/**
	 * Guards against figures that a run with the same seed does not reproduce, for
	 * example because of iteration in hash order.
	 */
	@ParameterizedTest
	@EnumSource(Policy.class)
	void sameSeedGivesSameFigures(Policy policy) {
		assertThat(run(Scenario.ENGINE_LOSS, policy, 5)).isEqualTo(run(Scenario.ENGINE_LOSS, policy, 5));
	}

	/**
	 * Guards against violated invariants in scenarios with a demand shift or failures.
	 */
	@ParameterizedTest
	@EnumSource(names = { "STEADY", "SHIFT", "ENGINE_LOSS", "DATA_CENTRE_LOSS", "TABLE_DOWN", "LATE_HOST_LIST" })
	void invariantsHoldUnderFailures(Scenario scenario) {
		assertThat(run(scenario, Policy.CELERYHILL, 1).violations())
			.allSatisfy((name, count) -> assertThat(count).as(name).isZero());
	}

	/**
	 * Guards against bookings that run twice or are lost when they arrive at three times
	 * the capacity.
	 */
	@Test
	void bookingOverloadBreaksNoInvariant() {
		Figures figures = run(Scenario.OVERLOAD_BOOKINGS, Policy.CELERYHILL, 1);
		assertThat(figures.isViolated()).isFalse();
		assertThat(figures.during().get("booking").completed()).isBetween(0.25, 0.5);
	}

	/** Guards against invariant checks that never report a violation. */
	@Test
	void eachViolationIsCounted() {
		Violations violations = new Violations();
		Job job = new Job(org.celeryhill.base.RequestId.of("r"), 0, org.celeryhill.base.PriorityClass.NORMAL, null, 1,
				2, 2, List.of(), 0);
		violations.checkOutcome(job);
		job.executions = 2;
		job.end(Job.Outcome.COMPLETED);
		job.end(Job.Outcome.REFUSED);
		violations.checkOutcome(job);
		job.outcome = Job.Outcome.COMPLETED;
		violations.checkOutcome(job);
		violations.checkDraining(0, 6_000_000_000L);
		assertThat(violations.counts()).containsEntry("lost", 1L)
			.containsEntry("duplicated", 2L)
			.containsEntry("false_not_run", 1L)
			.containsEntry("incomplete", 1L)
			.containsEntry("non_idempotent_run_twice", 2L)
			.containsEntry("sent_to_draining", 1L);
	}

}
