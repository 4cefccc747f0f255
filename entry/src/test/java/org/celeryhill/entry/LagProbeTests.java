package org.celeryhill.entry;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;

import org.celeryhill.base.VirtualTimerService;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link LagProbe}.
 */
class LagProbeTests {

	private static final Duration PERIOD = Duration.ofMillis(50);

	private final VirtualTimerService timer = VirtualTimerService.startingAt(Instant.EPOCH);

	private final Queue<Runnable> tasks = new ArrayDeque<>();

	private final LagProbe probe = new LagProbe(this.timer, List.of(this.tasks::add), PERIOD.toNanos());

	private Duration checkAfter(Duration time) {
		this.timer.advance(time);
		return Duration.ofNanos(this.probe.check(this.timer.nanoTime()));
	}

	private void runTasks() {
		while (!this.tasks.isEmpty()) {
			this.tasks.remove().run();
		}
	}

	/** Guards against timeouts that never fire since a punctual process seems late. */
	@Test
	void punctualProcessHasNoLag() {
		for (int i = 0; i < 100; i++) {
			assertThat(checkAfter(PERIOD)).isZero();
			runTasks();
		}
	}

	/** Guards against giving healthy streams up while the I/O threads are behind. */
	@Test
	void busyThreadIsLate() {
		checkAfter(PERIOD);
		for (int i = 0; i < 60; i++) {
			checkAfter(PERIOD);
		}
		assertThat(checkAfter(PERIOD)).isGreaterThanOrEqualTo(Duration.ofSeconds(3));
	}

	/** Guards against giving healthy streams up after a pause of the whole process. */
	@Test
	void pausedProcessIsLate() {
		checkAfter(PERIOD);
		runTasks();
		assertThat(checkAfter(Duration.ofSeconds(8))).isGreaterThanOrEqualTo(Duration.ofSeconds(7));
	}

	/**
	 * Guards against a lag that is excused for ever, so that lost engines are not
	 * noticed.
	 */
	@Test
	void lagIsForgottenAfterRecovery() {
		checkAfter(PERIOD);
		runTasks();
		checkAfter(Duration.ofSeconds(8));
		for (int i = 0; i < 50; i++) {
			runTasks();
			checkAfter(PERIOD);
		}
		runTasks();
		assertThat(checkAfter(PERIOD)).isZero();
	}

}
