package org.celeryhill.systemtest;

import java.net.URI;
import java.util.List;

/**
 * Simulates the platform's load balancer: offers the entry hosts that were ready at the
 * latest health check, or all hosts if none was ready. Thread-safe.
 */
final class LoadBalancerView {

	/** Time between two health checks, in nanoseconds. */
	private static final long HEALTH_CHECK_PERIOD_NANOS = 300_000_000;

	/** Fleet whose entry daemons are checked. */
	private final Fleet fleet;

	/** API addresses offered since the latest check. */
	private List<URI> ready = List.of();

	/** Time of the latest check, in nanoseconds of {@link System#nanoTime()}. */
	private long lastCheckNanos;

	LoadBalancerView(Fleet fleet) {
		this.fleet = fleet;
	}

	synchronized List<URI> hosts() {
		long now = System.nanoTime();
		if (this.ready.isEmpty() || now - this.lastCheckNanos > HEALTH_CHECK_PERIOD_NANOS) {
			List<URI> hosts = this.fleet.readyHosts();
			this.ready = (hosts.isEmpty()) ? this.fleet.allHosts() : hosts;
			this.lastCheckNanos = now;
		}
		return this.ready;
	}

}
