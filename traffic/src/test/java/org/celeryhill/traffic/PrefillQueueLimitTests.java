package org.celeryhill.traffic;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the limit on prompts that wait for prefill in an engine.
 */
class PrefillQueueLimitTests {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private static final long TARGET_NANOS = 350 * NANOS_PER_MILLI;

	// Guards against a queue in an engine that makes every prompt late. In the scenario
	// scale-2 of fvbc-rag, 50 prompts waited in one engine.
	@Test
	void limitDecreasesWhileWaitsExceedTarget() {
		PrefillQueueLimit limit = new PrefillQueueLimit(TARGET_NANOS);
		assertThat(limit.allows(2, 3000, 1500)).isTrue();
		for (int i = 1; i <= 10; i++) {
			limit.recordWait(800 * NANOS_PER_MILLI, i * 200 * NANOS_PER_MILLI);
		}
		assertThat(limit.allows(2, 3000, 1500)).isFalse();
		assertThat(limit.allows(0, 0, 6000)).isTrue();
	}

	// Guards against counting the waits of several prompts of one queue as several long
	// waits.
	@Test
	void limitDecreasesAtMostOncePerInterval() {
		PrefillQueueLimit limit = new PrefillQueueLimit(TARGET_NANOS);
		double before = limit.tokens();
		for (int i = 0; i < 10; i++) {
			limit.recordWait(800 * NANOS_PER_MILLI, 1000 * NANOS_PER_MILLI + i);
		}
		assertThat(limit.tokens()).isEqualTo(before * 0.8);
	}

	// Guards against a limit that stays low after the engine has become fast again.
	@Test
	void limitIncreasesWhileWaitsAreShort() {
		PrefillQueueLimit limit = new PrefillQueueLimit(TARGET_NANOS);
		limit.recordWait(800 * NANOS_PER_MILLI, 1000 * NANOS_PER_MILLI);
		double low = limit.tokens();
		for (int i = 0; i < 50; i++) {
			limit.recordWait(100 * NANOS_PER_MILLI, 2000 * NANOS_PER_MILLI + i * NANOS_PER_MILLI);
		}
		assertThat(limit.tokens()).isGreaterThan(3 * low);
		limit.recordWait(300 * NANOS_PER_MILLI, 3000 * NANOS_PER_MILLI);
		assertThat(limit.tokens()).isGreaterThan(3 * low);
	}

	// Guards against a limit that applies although a deployment sets no target.
	@Test
	void zeroTargetDisablesLimit() {
		PrefillQueueLimit limit = new PrefillQueueLimit(0);
		limit.recordWait(5000 * NANOS_PER_MILLI, NANOS_PER_MILLI);
		assertThat(limit.allows(100, 1_000_000, 5000)).isTrue();
	}

}
