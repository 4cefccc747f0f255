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

	private Duration measureAfter(Duration time) {
		this.timer.advance(time);
		return Duration.ofNanos(this.probe.measure(this.timer.nanoTime()));
	}

	private void runTasks() {
		while (!this.tasks.isEmpty()) {
			this.tasks.remove().run();
		}
	}

	/** Guards against timeouts that never fire since a process without lag seems late. */
	@Test
	void processWithoutDelayHasNoLag() {
		for (int i = 0; i < 100; i++) {
			assertThat(measureAfter(PERIOD)).isZero();
			runTasks();
		}
	}

	/** Guards against abandoning healthy streams while the I/O threads are overloaded. */
	@Test
	void overloadedThreadHasLag() {
		measureAfter(PERIOD);
		for (int i = 0; i < 60; i++) {
			measureAfter(PERIOD);
		}
		assertThat(measureAfter(PERIOD)).isGreaterThanOrEqualTo(Duration.ofSeconds(3));
	}

	/** Guards against abandoning healthy streams after a pause of the whole process. */
	@Test
	void pausedProcessHasLag() {
		measureAfter(PERIOD);
		runTasks();
		assertThat(measureAfter(Duration.ofSeconds(8))).isGreaterThanOrEqualTo(Duration.ofSeconds(7));
	}

	/**
	 * Guards against a lag that stays in force after recovery, so that lost engines are
	 * not detected.
	 */
	@Test
	void lagExpiresAfterRecovery() {
		measureAfter(PERIOD);
		runTasks();
		measureAfter(Duration.ofSeconds(8));
		for (int i = 0; i < 50; i++) {
			runTasks();
			measureAfter(PERIOD);
		}
		runTasks();
		assertThat(measureAfter(PERIOD)).isZero();
	}

}
