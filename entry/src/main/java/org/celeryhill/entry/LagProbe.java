package org.celeryhill.entry;

import java.util.List;
import java.util.Objects;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicLong;

import org.celeryhill.base.TimerService;

/**
 * Measures the scheduling lag of this process: the delay of the periodic check, and the
 * delay of a task submitted to each I/O thread. While the process is short of processor
 * time, events of engines wait unread, and the lack of events does not mean that an
 * engine has stalled. Without this measurement, an overloaded daemon abandoned healthy
 * streams and sent their requests again, which increased the load further. Not
 * thread-safe; checks must run one at a time.
 */
final class LagProbe {

	/**
	 * Time for which the maximum lag stays in force after it was measured, in
	 * nanoseconds.
	 */
	private static final long RETENTION_NANOS = 2_000_000_000L;

	/** Regular time between two checks, in nanoseconds. */
	private final long periodNanos;

	/** Clock. */
	private final TimerService timer;

	/** One probe for each I/O thread. */
	private final List<ThreadProbe> probes;

	/** Monotonic time of the latest check in nanoseconds, or 0 before the first. */
	private long lastCheckNanos;

	/** Maximum recent lag, in nanoseconds. */
	private long maxLagNanos;

	/** When the maximum recent lag expires, in monotonic nanoseconds. */
	private long maxLagExpiryNanos;

	LagProbe(TimerService timer, List<? extends Executor> threads, long periodNanos) {
		this.timer = Objects.requireNonNull(timer, "timer");
		this.probes = threads.stream().map(ThreadProbe::new).toList();
		this.periodNanos = periodNanos;
	}

	/**
	 * Measures the current lag.
	 * @param now the monotonic time in nanoseconds
	 * @return the maximum lag now and during the last 2 s, in nanoseconds
	 */
	long measure(long now) {
		long lag = (this.lastCheckNanos != 0) ? Math.max(0, now - this.lastCheckNanos - this.periodNanos) : 0;
		this.lastCheckNanos = now;
		for (ThreadProbe probe : this.probes) {
			lag = Math.max(lag, probe.measureThread(now));
		}
		if (lag >= this.maxLagNanos || now - this.maxLagExpiryNanos > 0) {
			this.maxLagNanos = lag;
			this.maxLagExpiryNanos = now + RETENTION_NANOS;
		}
		return this.maxLagNanos;
	}

	/** Measures the lag of one thread by the delay of a task. */
	private final class ThreadProbe {

		/** Value of {@link #sentNanos} while no task is outstanding. */
		private static final long NONE = Long.MIN_VALUE;

		/** Measured thread. */
		private final Executor thread;

		/** When the outstanding task was submitted, in monotonic nanoseconds. */
		private final AtomicLong sentNanos = new AtomicLong(NONE);

		/** Delay of the latest task that ran, in nanoseconds, 0 once it was read. */
		private final AtomicLong measuredNanos = new AtomicLong();

		private ThreadProbe(Executor thread) {
			this.thread = thread;
		}

		private long measureThread(long now) {
			long sent = this.sentNanos.get();
			if (sent != NONE) {
				return now - sent;
			}
			long measured = this.measuredNanos.getAndSet(0);
			this.sentNanos.set(now);
			this.thread.execute(() -> {
				this.measuredNanos.set(LagProbe.this.timer.nanoTime() - now);
				this.sentNanos.set(NONE);
			});
			return measured;
		}

	}

}
