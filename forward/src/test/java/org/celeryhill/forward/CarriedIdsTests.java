package org.celeryhill.forward;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link CarriedIds}.
 */
class CarriedIdsTests {

	private static final int CAPACITY = 64;

	// Guards against an id that is forgotten early, and against memory that grows with
	// the requests of a long-lived connection.
	@Test
	void keepsTheLatestIds() {
		CarriedIds ids = new CarriedIds();
		for (int i = 0; i < 1000; i++) {
			assertThat(ids.contains("r" + i)).isFalse();
			ids.add("r" + i);
			for (int kept = Math.max(0, i - CAPACITY + 1); kept <= i; kept++) {
				assertThat(ids.contains("r" + kept)).as("r%d after r%d", kept, i).isTrue();
			}
			if (i >= CAPACITY) {
				assertThat(ids.contains("r" + (i - CAPACITY))).isFalse();
			}
		}
	}

}
