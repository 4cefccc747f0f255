package org.celeryhill.forward;

/**
 * Whether this host stops, and which requests it still takes. Must be used on the event
 * loop.
 */
final class HostStop {

	/** Targets for the latency after which a request has ended, if all is well. */
	private static final int EXPECTED_LATENCY_TARGETS = 2;

	private boolean isAccepting = true;

	private boolean isStopping;

	private long endNanos;

	// Announces the time at which the active requests are ended.
	void start(long end) {
		this.isStopping = true;
		this.endNanos = end;
	}

	void stopAccepting() {
		this.isAccepting = false;
	}

	boolean isAccepting() {
		return this.isAccepting;
	}

	// Returns whether a request may be repeated or will probably end before this host
	// stops.
	boolean canEndInTime(Route route) {
		if (!this.isStopping || route.isRetryable()) {
			return true;
		}
		long expectedNanos = route.targetLatency().multipliedBy(EXPECTED_LATENCY_TARGETS).toNanos();
		return System.nanoTime() + expectedNanos < this.endNanos;
	}

}
