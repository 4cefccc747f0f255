package org.celeryhill.measure;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Runs at a low load, so that they take a few seconds.
 */
class SimulationTests {

	/** Load relative to the capacity. */
	private static final double LOAD = 0.1;

	private static Figures run(Scenario scenario, Policy policy, long seed) {
		return new Simulation(Deployment.COOPERATIVE, scenario, policy, LOAD, seed).run();
	}

	/** Guards against figures that cannot be reproduced, for example by hash order. */
	@ParameterizedTest
	@EnumSource(Policy.class)
	void sameSeedGivesSameFigures(Policy policy) {
		assertThat(run(Scenario.ENGINE_LOSS, policy, 5)).isEqualTo(run(Scenario.ENGINE_LOSS, policy, 5));
	}

	/** Guards against a broken invariant under failures. */
	@ParameterizedTest
	@EnumSource(names = { "STEADY", "SHIFT", "ENGINE_LOSS", "DATA_CENTRE_LOSS", "TABLE_DOWN", "LATE_HOST_LIST" })
	void noInvariantIsBroken(Scenario scenario) {
		assertThat(run(scenario, Policy.CELERYHILL, 1).violations())
			.allSatisfy((name, count) -> assertThat(count).as(name).isZero());
	}

	/** Guards against bookings that run twice or are lost when they arrive too fast. */
	@Test
	void bookingsSurviveOverload() {
		Figures figures = run(Scenario.OVERLOAD_BOOKINGS, Policy.CELERYHILL, 1);
		assertThat(figures.isViolated()).isFalse();
		assertThat(figures.during().get("booking").completed()).isBetween(0.25, 0.5);
	}

	/** Guards against checks that cannot fail. */
	@Test
	void violationsAreCounted() {
		Violations violations = new Violations();
		Job job = new Job(org.celeryhill.base.RequestId.of("r"), 0, org.celeryhill.base.PriorityClass.NORMAL, null, 1,
				2, 2, List.of(), 0);
		violations.checkEnd(job);
		job.executions = 2;
		job.end(Job.Outcome.COMPLETED);
		job.end(Job.Outcome.REFUSED);
		violations.checkEnd(job);
		job.outcome = Job.Outcome.COMPLETED;
		violations.checkEnd(job);
		violations.checkDraining(0, 6_000_000_000L);
		assertThat(violations.counts()).containsEntry("lost", 1L)
			.containsEntry("duplicated", 2L)
			.containsEntry("false_not_run", 1L)
			.containsEntry("incomplete", 1L)
			.containsEntry("non_idempotent_run_twice", 2L)
			.containsEntry("sent_to_draining", 1L);
	}

}
