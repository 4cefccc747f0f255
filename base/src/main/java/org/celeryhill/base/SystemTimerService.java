package org.celeryhill.base;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.Objects;
import java.util.concurrent.TimeUnit;

import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.disposables.Disposable;
import io.reactivex.rxjava3.schedulers.Schedulers;

/**
 * Timer service that reads the system clocks and runs tasks on an RxJava scheduler.
 * Thread-safe.
 */
public final class SystemTimerService implements TimerService {

	/** Clock that {@link #instant()} reads. */
	private final Clock clock;

	/** Scheduler on which ticks and delayed tasks run. */
	private final Scheduler scheduler;

	private SystemTimerService(Clock clock, Scheduler scheduler) {
		this.clock = clock;
		this.scheduler = scheduler;
	}

	/**
	 * Returns a service that uses the UTC system clock and the RxJava computation
	 * scheduler.
	 * @return the service, never null
	 */
	public static SystemTimerService create() {
		return new SystemTimerService(Clock.systemUTC(), Schedulers.computation());
	}

	@Override
	public long nanoTime() {
		return System.nanoTime();
	}

	@Override
	public Instant instant() {
		return this.clock.instant();
	}

	@Override
	public Flowable<Long> ticks(Duration period) {
		Objects.requireNonNull(period, "period");
		return Flowable.interval(period.toNanos(), TimeUnit.NANOSECONDS, this.scheduler)
			.onBackpressureDrop()
			.map((count) -> System.nanoTime());
	}

	@Override
	public Disposable after(Duration delay, Runnable task) {
		Objects.requireNonNull(delay, "delay");
		Objects.requireNonNull(task, "task");
		return this.scheduler.scheduleDirect(task, delay.toNanos(), TimeUnit.NANOSECONDS);
	}

}
