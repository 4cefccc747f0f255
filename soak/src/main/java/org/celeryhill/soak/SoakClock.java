package org.celeryhill.soak;

import java.time.Duration;
import java.util.Objects;

import org.celeryhill.base.TimerService;

/**
 * Time since the start of a soak. Thread-safe.
 */
final class SoakClock {

	private final TimerService timer;

	private final long startNanos;

	SoakClock(TimerService timer) {
		this.timer = Objects.requireNonNull(timer, "timer");
		this.startNanos = timer.nanoTime();
	}

	TimerService timer() {
		return this.timer;
	}

	long nanos() {
		return this.timer.nanoTime() - this.startNanos;
	}

	double seconds() {
		return this.nanos() / 1e9;
	}

	/**
	 * Runs a task after a delay. Tasks run on a few shared threads and must not block.
	 * @param millis the delay in milliseconds
	 * @param task the task, not null
	 */
	void after(long millis, Runnable task) {
		this.timer.after(Duration.ofMillis(millis), task);
	}

}
