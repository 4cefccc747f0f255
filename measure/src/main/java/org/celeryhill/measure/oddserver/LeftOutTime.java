package org.celeryhill.measure.oddserver;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import org.celeryhill.base.BackendServerId;
import org.celeryhill.traffic.AvailabilityListener;

/**
 * Adds up the time for which the host sends no requests to servers that it suspects.
 * Thread-safe.
 */
final class LeftOutTime implements AvailabilityListener {

	private final Map<BackendServerId, Long> suspectedSince = new HashMap<>();

	private long leftOutNanos;

	private long suspicionCount;

	@Override
	public synchronized void onSuspected(BackendServerId backend, int failures, Duration duration) {
		this.suspicionCount++;
		this.suspectedSince.putIfAbsent(backend, System.nanoTime());
	}

	@Override
	public synchronized void onReadmitted(BackendServerId backend) {
		Long start = this.suspectedSince.remove(backend);
		if (start != null) {
			this.leftOutNanos += System.nanoTime() - start;
		}
	}

	@Override
	public void onPaused(BackendServerId backend, Duration pause) {
		// The servers of the profile ask for no pause.
	}

	@Override
	public void onResumed(BackendServerId backend) {
		// The servers of the profile ask for no pause.
	}

	synchronized long suspicionCount() {
		return this.suspicionCount;
	}

	/**
	 * Returns the time so far of all servers together.
	 * @return the time in seconds
	 */
	synchronized double seconds() {
		long now = System.nanoTime();
		long open = this.suspectedSince.values().stream().mapToLong((start) -> now - start).sum();
		return (this.leftOutNanos + open) / 1e9;
	}

}
