package org.celeryhill.entry;

import java.util.List;
import java.util.Objects;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicLong;

import org.celeryhill.base.TimerService;

/**
 * Measures how late the I/O threads of this process are, by a task that is sent to each
 * of them. While the process is short of processor time, events of engines wait unread,
 * and silence says nothing about an engine: without this measure a starved daemon gave up
 * healthy streams and sent them again, which made it slower still. Checks run one at a
 * time.
 */
final class LagProbe {

	/** Time for which the longest lag counts after it has ended, in nanoseconds. */
	private static final long MEMORY_NANOS = 2_000_000_000L;

	/** Time between two checks when the process is not late, in nanoseconds. */
	private final long periodNanos;

	/** Time. */
	private final TimerService timer;

	/** Probes, one for each I/O thread. */
	private final List<Probe> probes;

	/** Time of the latest check, or 0 before the first. */
	private long checkedNanos;

	/** Longest lag of late, in nanoseconds. */
	private long longestNanos;

	/** Until when the longest lag counts, in monotonic nanoseconds. */
	private long countsUntilNanos;

	LagProbe(TimerService timer, List<? extends Executor> threads, long periodNanos) {
		this.timer = Objects.requireNonNull(timer, "timer");
		this.probes = threads.stream().map(Probe::new).toList();
		this.periodNanos = periodNanos;
	}

	/**
	 * Measures once more.
	 * @param now the monotonic time in nanoseconds
	 * @return how late the process is or was in the last seconds, in nanoseconds
	 */
	long check(long now) {
		long lag = (this.checkedNanos != 0) ? Math.max(0, now - this.checkedNanos - this.periodNanos) : 0;
		this.checkedNanos = now;
		for (Probe probe : this.probes) {
			lag = Math.max(lag, probe.lag(now));
		}
		if (lag >= this.longestNanos || now - this.countsUntilNanos > 0) {
			this.longestNanos = lag;
			this.countsUntilNanos = now + MEMORY_NANOS;
		}
		return this.longestNanos;
	}

	/** Probe of one thread. */
	private final class Probe {

		/** Value of {@link #sentNanos} while no task is outstanding. */
		private static final long NONE = Long.MIN_VALUE;

		/** Thread. */
		private final Executor thread;

		/** When the outstanding task was sent. */
		private final AtomicLong sentNanos = new AtomicLong(NONE);

		/** Lag of the latest task that ran, not yet read. */
		private final AtomicLong measuredNanos = new AtomicLong();

		private Probe(Executor thread) {
			this.thread = thread;
		}

		private long lag(long now) {
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
