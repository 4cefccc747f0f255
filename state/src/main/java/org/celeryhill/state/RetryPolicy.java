package org.celeryhill.state;

import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.CountDownLatch;
import java.util.function.Consumer;

import org.celeryhill.base.TimerService;

/**
 * Limits the retries of a store operation and the delays between them. Immutable, and
 * thread-safe if {@code pause} is.
 *
 * @param maxTries the maximum number of tries of an operation, at least 1
 * @param firstDelay the delay before the first retry, doubled for each further retry up
 * to 64 times this delay, not null
 * @param pause blocks the calling thread for the given delay, not null
 */
public record RetryPolicy(int maxTries, Duration firstDelay, Consumer<Duration> pause) {

	/** Maximum number of tries of {@link #immediate()}. */
	public static final int DEFAULT_MAX_TRIES = 3;

	/** Maximum number of times that the delay is doubled. */
	private static final int MAX_DOUBLINGS = 6;

	/**
	 * Creates a policy.
	 * @throws IllegalArgumentException if {@code maxTries} is less than 1
	 */
	public RetryPolicy {
		Objects.requireNonNull(firstDelay, "firstDelay");
		Objects.requireNonNull(pause, "pause");
		if (maxTries < 1) {
			throw new IllegalArgumentException("maxTries must be at least 1: " + maxTries);
		}
	}

	/**
	 * Returns a policy that retries without delay, for callers that repeat a failed
	 * operation on a schedule of their own.
	 * @return the policy, never null
	 */
	public static RetryPolicy immediate() {
		return new RetryPolicy(DEFAULT_MAX_TRIES, Duration.ZERO, (delay) -> {
		});
	}

	/**
	 * Returns a policy that blocks the calling thread between tries. If the timer is a
	 * virtual one, another thread must advance its time.
	 * @param timer the timer that ends each delay, not null
	 * @param maxTries the maximum number of tries, at least 1
	 * @param firstDelay the delay before the first retry, not null
	 * @return the policy, never null
	 */
	public static RetryPolicy blocking(TimerService timer, int maxTries, Duration firstDelay) {
		Objects.requireNonNull(timer, "timer");
		return new RetryPolicy(maxTries, firstDelay, (delay) -> sleep(timer, delay));
	}

	/**
	 * Blocks the calling thread before a retry.
	 * @param retry the number of the retry, 1 for the first
	 */
	void pauseBeforeRetry(int retry) {
		int doublings = Math.min(retry - 1, MAX_DOUBLINGS);
		this.pause.accept(this.firstDelay.multipliedBy(1L << doublings));
	}

	private static void sleep(TimerService timer, Duration delay) {
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
