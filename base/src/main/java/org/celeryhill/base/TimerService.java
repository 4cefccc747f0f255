package org.celeryhill.base;

import java.time.Duration;
import java.time.Instant;

import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.disposables.Disposable;

/**
 * Source of time for the classes that tests and measurements run in virtual time. Such
 * classes must not read a clock in any other way. Implementations are thread-safe.
 */
public interface TimerService {

	/**
	 * Returns the monotonic time.
	 * @return nanoseconds since an arbitrary origin, never decreasing within a process
	 */
	long nanoTime();

	/**
	 * Returns the wall clock time, which can jump forward or backward. Use it only for
	 * display and for lease expiry times that are shared between hosts.
	 * @return the time, never null
	 */
	Instant instant();

	/**
	 * Returns ticks at a fixed period; each item is the monotonic time of the tick. A
	 * subscriber that is too slow loses ticks.
	 * @param period the time between ticks, not null, positive
	 * @return a stream that never completes; each subscriber has its own schedule
	 */
	Flowable<Long> ticks(Duration period);

	/**
	 * Runs a task once after a delay.
	 * @param delay the delay, not null, zero or more
	 * @param task the task, not null; exceptions are reported to the RxJava error handler
	 * @return a handle that cancels the task
	 */
	Disposable after(Duration delay, Runnable task);

}
