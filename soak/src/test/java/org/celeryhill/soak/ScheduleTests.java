package org.celeryhill.soak;

import java.util.EnumSet;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link Schedule}.
 */
class ScheduleTests {

	private static final long DURATION_MILLIS = 60_000;

	private static Schedule draw(long seed) {
		return Schedule.draw(seed, DURATION_MILLIS, EnumSet.allOf(FaultKind.class), 4, 5);
	}

	// Guards against a run that its seed does not repeat.
	@Test
	void seedDeterminesSchedule() {
		assertThat(draw(7)).isEqualTo(draw(7)).isNotEqualTo(draw(8));
	}

	// Guards against faults that never come, and against faults that outlast the time
	// after
	// which all daemons have to recover.
	@Test
	void allKindsComeAndEndInTime() {
		Schedule schedule = draw(7);
		assertThat(schedule.steps()).extracting(FaultStep::kind).contains(FaultKind.values());
		assertThat(schedule.steps()).allMatch((step) -> step.atMillis() + step.millis() <= DURATION_MILLIS);
	}

	// Guards against other faults than those asked for.
	@Test
	void onlyChosenKindsCome() {
		Schedule schedule = Schedule.draw(7, DURATION_MILLIS, EnumSet.of(FaultKind.PAUSE), 4, 5);
		assertThat(schedule.steps()).isNotEmpty().allMatch((step) -> step.kind() == FaultKind.PAUSE);
	}

}
