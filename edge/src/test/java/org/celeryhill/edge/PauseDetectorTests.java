package org.celeryhill.edge;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the detection of process pauses and clock steps.
 */
class PauseDetectorTests {

	private static final long MS = 1_000_000;

	// Guards against commands under a lease that expired while the process was paused, on
	// machines whose monotonic clock advances during a pause.
	@Test
	void detectsLongGap() {
		PauseDetector detector = new PauseDetector(0, 0);
		assertThat(detector.checkForPause(50 * MS, 50 * MS)).isFalse();
		assertThat(detector.checkForPause(3050 * MS, 3050 * MS)).isTrue();
		assertThat(detector.isAfterPause(40 * MS)).isFalse();
		assertThat(detector.isAfterPause(3100 * MS)).isTrue();
	}

	// Guards against commands under a lease that expired while the process was paused, on
	// machines whose monotonic clock stops during a pause.
	@Test
	void detectsClockDrift() {
		PauseDetector detector = new PauseDetector(0, 0);
		assertThat(detector.checkForPause(50 * MS, 2050 * MS)).isTrue();
		assertThat(detector.isAfterPause(40 * MS)).isFalse();
		assertThat(detector.checkForPause(100 * MS, 100 * MS)).isTrue();
		assertThat(detector.checkForPause(150 * MS, 150 * MS)).isFalse();
	}

	// Guards against a pause that invalidates leases renewed after it.
	@Test
	void trustsTimesAfterPause() {
		PauseDetector detector = new PauseDetector(0, 0);
		assertThat(detector.isAfterPause(-1)).isTrue();
		detector.checkForPause(1000 * MS, 1000 * MS);
		assertThat(detector.isAfterPause(1000 * MS)).isFalse();
		assertThat(detector.isAfterPause(1001 * MS)).isTrue();
	}

}
