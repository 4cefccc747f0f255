package org.celeryhill.base;

import java.time.Duration;
import java.time.Instant;
import java.util.Objects;
import java.util.concurrent.TimeUnit;

import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.disposables.Disposable;
import io.reactivex.rxjava3.schedulers.TestScheduler;

/**
 * Timer service with a virtual clock that moves only through {@link #advance}, for tests
 * and measurements. Tasks run on the thread that advances the time. The wall clock can be
 * stepped independently of the monotonic time.
 */
public final class VirtualTimerService implements TimerService {

	/** Scheduler that holds the pending tasks. */
	private final TestScheduler scheduler = new TestScheduler();

	/** Wall clock time at monotonic time zero. */
	private volatile Instant origin;

	private VirtualTimerService(Instant origin) {
		this.origin = origin;
	}

	/**
	 * Returns a service that starts at monotonic time zero.
	 * @param origin the wall clock time at the start, not null
	 * @return the service, never null
	 */
	public static VirtualTimerService startingAt(Instant origin) {
		return new VirtualTimerService(Objects.requireNonNull(origin, "origin"));
	}

	/**
	 * Moves the time forward and runs the tasks that become due, in order.
	 * @param step the time to move, not null, zero or more
	 */
	public void advance(Duration step) {
		this.scheduler.advanceTimeBy(step.toNanos(), TimeUnit.NANOSECONDS);
	}

	/**
	 * Steps the wall clock without moving the monotonic time.
	 * @param step the step, not null, may be negative
	 */
	public void stepWallClock(Duration step) {
		this.origin = this.origin.plus(step);
	}

	@Override
	public long nanoTime() {
		return this.scheduler.now(TimeUnit.NANOSECONDS);
	}

	@Override
	public Instant instant() {
		return this.origin.plusNanos(nanoTime());
	}

	@Override
	public Flowable<Long> ticks(Duration period) {
		Objects.requireNonNull(period, "period");
		return Flowable.interval(period.toNanos(), TimeUnit.NANOSECONDS, this.scheduler)
			.onBackpressureDrop()
			.map((count) -> nanoTime());
	}

	@Override
	public Disposable after(Duration delay, Runnable task) {
		Objects.requireNonNull(delay, "delay");
		Objects.requireNonNull(task, "task");
		return this.scheduler.scheduleDirect(task, delay.toNanos(), TimeUnit.NANOSECONDS);
	}

}
