package org.celeryhill.traffic;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the limit on prompts that wait in an engine.
 */
class FirstTokenLimitTests {

	private static final long MS = 1_000_000;

	private static final long TARGET = 350 * MS;

	// Guards against queues in an engine that make every prompt late (scale-2 of
	// fvbc-rag: 50
	// prompts waited in one engine).
	@Test
	void shrinksWhilePromptsWaitLong() {
		FirstTokenLimit limit = new FirstTokenLimit(TARGET);
		assertThat(limit.allows(2, 3000, 1500)).isTrue();
		for (int i = 1; i <= 10; i++) {
			limit.observe(800 * MS, i * 200 * MS);
		}
		assertThat(limit.allows(2, 3000, 1500)).isFalse();
		assertThat(limit.allows(0, 0, 6000)).isTrue();
	}

	// Guards against several answers of one queue that count as several long waits.
	@Test
	void shrinksOnceInAPeriod() {
		FirstTokenLimit limit = new FirstTokenLimit(TARGET);
		double before = limit.tokens();
		for (int i = 0; i < 10; i++) {
			limit.observe(800 * MS, 1000 * MS + i);
		}
		assertThat(limit.tokens()).isEqualTo(before * 0.8);
	}

	// Guards against a limit that stays low after a slow time.
	@Test
	void growsWhilePromptsWaitBriefly() {
		FirstTokenLimit limit = new FirstTokenLimit(TARGET);
		limit.observe(800 * MS, 1000 * MS);
		double low = limit.tokens();
		for (int i = 0; i < 50; i++) {
			limit.observe(100 * MS, 2000 * MS + i * MS);
		}
		assertThat(limit.tokens()).isGreaterThan(3 * low);
		limit.observe(300 * MS, 3000 * MS);
		assertThat(limit.tokens()).isGreaterThan(3 * low);
	}

	// Guards against a limit where a deployment sets none.
	@Test
	void limitsNothingWithoutATarget() {
		FirstTokenLimit limit = new FirstTokenLimit(0);
		limit.observe(5000 * MS, MS);
		assertThat(limit.allows(100, 1_000_000, 5000)).isTrue();
	}

}
