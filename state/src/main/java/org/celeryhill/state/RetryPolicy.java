package org.celeryhill.state;

import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.CountDownLatch;
import java.util.function.Consumer;

import org.celeryhill.base.TimerService;

/**
 * Bounds the retries of one store operation. Immutable and thread-safe if the pause is.
 *
 * @param maxTries the most tries of one operation, at least 1
 * @param firstDelay the delay before the first retry, doubled for each further one, not
 * null
 * @param pause blocks the caller for the given delay, not null
 */
public record RetryPolicy(int maxTries, Duration firstDelay, Consumer<Duration> pause) {

	/** Tries of an operation unless another policy is given. */
	public static final int DEFAULT_MAX_TRIES = 3;

	/** Most doublings of the delay. */
	private static final int MAX_DOUBLINGS = 6;

	/**
	 * Creates a policy.
	 * @throws IllegalArgumentException if there is no try
	 */
	public RetryPolicy {
		Objects.requireNonNull(firstDelay, "firstDelay");
		Objects.requireNonNull(pause, "pause");
		if (maxTries < 1) {
			throw new IllegalArgumentException("tries must be at least 1: " + maxTries);
		}
	}

	/**
	 * Returns a policy that retries at once; callers retry later on their own schedule.
	 * @return the policy, never null
	 */
	public static RetryPolicy immediate() {
		return new RetryPolicy(DEFAULT_MAX_TRIES, Duration.ZERO, (delay) -> {
		});
	}

	/**
	 * Returns a policy that blocks the calling thread between tries. With a virtual timer
	 * another thread must advance the time.
	 * @param timer the time, not null
	 * @param tries the most tries, at least 1
	 * @param firstDelay the delay before the first retry, not null
	 * @return the policy, never null
	 */
	public static RetryPolicy blocking(TimerService timer, int tries, Duration firstDelay) {
		Objects.requireNonNull(timer, "timer");
		return new RetryPolicy(tries, firstDelay, (delay) -> block(timer, delay));
	}

	/**
	 * Waits before a retry.
	 * @param retry the number of the retry, 1 for the first
	 */
	void beforeRetry(int retry) {
		int doublings = Math.min(retry - 1, MAX_DOUBLINGS);
		this.pause.accept(this.firstDelay.multipliedBy(1L << doublings));
	}

	private static void block(TimerService timer, Duration delay) {
		CountDownLatch latch = new CountDownLatch(1);
		timer.after(delay, latch::countDown);
		try {
			latch.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
