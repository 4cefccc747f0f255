package org.celeryhill.edge;

import java.util.concurrent.TimeUnit;

/**
 * Detects that the process or its machine may have been paused, or that a clock was
 * stepped, from the time between successive checks. Not thread-safe.
 */
final class PauseDetector {

	/** Longest time between two checks that does not count as a pause. */
	static final long MAX_GAP_NANOS = 400_000_000L;

	/**
	 * Largest difference between the advance of the monotonic clock and that of the wall
	 * clock between two checks that does not count as a pause. The monotonic clock of
	 * some machines stops during a pause.
	 */
	static final long MAX_DRIFT_NANOS = 150_000_000L;

	private long lastNanos;

	private long lastWallNanos;

	private long lastPauseNanos;

	private boolean hasPaused;

	PauseDetector() {
		this(System.nanoTime(), wallNanos());
	}

	PauseDetector(long nanos, long wallNanos) {
		this.lastNanos = nanos;
		this.lastWallNanos = wallNanos;
	}

	private static long wallNanos() {
		return TimeUnit.MILLISECONDS.toNanos(System.currentTimeMillis());
	}

	// Reads the clocks and returns whether there may have been a pause since the last
	// check.
	boolean checkForPause() {
		return checkForPause(System.nanoTime(), wallNanos());
	}

	/**
	 * Returns whether there may have been a pause since the last check.
	 * @param nanos the time of the monotonic clock in nanoseconds
	 * @param wallNanos the time of the wall clock in nanoseconds
	 * @return whether there may have been a pause
	 */
	boolean checkForPause(long nanos, long wallNanos) {
		long gap = nanos - this.lastNanos;
		long drift = Math.abs((wallNanos - this.lastWallNanos) - gap);
		this.lastNanos = nanos;
		this.lastWallNanos = wallNanos;
		boolean isPause = gap > MAX_GAP_NANOS || drift > MAX_DRIFT_NANOS;
		if (isPause) {
			this.hasPaused = true;
			this.lastPauseNanos = nanos;
		}
		return isPause;
	}

	/**
	 * Returns whether a time is later than the last detected pause.
	 * @param startNanos the time of the monotonic clock in nanoseconds
	 * @return whether no pause was detected at or after that time
	 */
	boolean isAfterPause(long startNanos) {
		return !this.hasPaused || startNanos - this.lastPauseNanos > 0;
	}

}
