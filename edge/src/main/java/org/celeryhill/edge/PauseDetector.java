package org.celeryhill.edge;

import java.util.concurrent.TimeUnit;

/**
 * Notices that the process or its machine may have stood still, or that a clock has
 * stepped. Not thread-safe.
 */
final class PauseDetector {

	/** A gap between two looks that is longer may be a pause. */
	static final long MAX_GAP_NANOS = 400_000_000L;

	/** Clocks that drift apart by more between two looks may hide a pause. */
	static final long MAX_DRIFT_NANOS = 150_000_000L;

	private long lastNanos;

	private long lastWallNanos;

	private long pausedNanos;

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
	// look.
	boolean look() {
		return look(System.nanoTime(), wallNanos());
	}

	/**
	 * Takes the clocks and returns whether a pause may lie since the last look.
	 * @param nanos the monotonic time
	 * @param wallNanos the time of day
	 * @return whether there may have been a pause
	 */
	boolean look(long nanos, long wallNanos) {
		long gap = nanos - this.lastNanos;
		long drift = Math.abs((wallNanos - this.lastWallNanos) - gap);
		this.lastNanos = nanos;
		this.lastWallNanos = wallNanos;
		boolean isPause = gap > MAX_GAP_NANOS || drift > MAX_DRIFT_NANOS;
		if (isPause) {
			this.hasPaused = true;
			this.pausedNanos = nanos;
		}
		return isPause;
	}

	/**
	 * Returns whether something that began at a time lies wholly after the last pause.
	 * @param startNanos the monotonic time at which it began
	 * @return whether no pause was seen since
	 */
	boolean isAfterPause(long startNanos) {
		return !this.hasPaused || startNanos - this.pausedNanos > 0;
	}

}
