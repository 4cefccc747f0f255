package org.celeryhill.edge;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the detection of pauses.
 */
class PauseDetectorTests {

	private static final long MS = 1_000_000;

	// Guards against commands under a lease that ran out while the process stood still,
	// on
	// machines whose monotonic clock goes on.
	@Test
	void noticesAGap() {
		PauseDetector detector = new PauseDetector(0, 0);
		assertThat(detector.look(50 * MS, 50 * MS)).isFalse();
		assertThat(detector.look(3050 * MS, 3050 * MS)).isTrue();
		assertThat(detector.isAfterPause(40 * MS)).isFalse();
		assertThat(detector.isAfterPause(3100 * MS)).isTrue();
	}

	// Guards against the same on machines whose monotonic clock stands still meanwhile.
	@Test
	void noticesThatTheClocksDriftApart() {
		PauseDetector detector = new PauseDetector(0, 0);
		assertThat(detector.look(50 * MS, 2050 * MS)).isTrue();
		assertThat(detector.isAfterPause(40 * MS)).isFalse();
		assertThat(detector.look(100 * MS, 100 * MS)).isTrue();
		assertThat(detector.look(150 * MS, 150 * MS)).isFalse();
	}

	// Guards against a doubt that never ends.
	@Test
	void trustsWhatBeganAfterwards() {
		PauseDetector detector = new PauseDetector(0, 0);
		assertThat(detector.isAfterPause(-1)).isTrue();
		detector.look(1000 * MS, 1000 * MS);
		assertThat(detector.isAfterPause(1000 * MS)).isFalse();
		assertThat(detector.isAfterPause(1001 * MS)).isTrue();
	}

}
