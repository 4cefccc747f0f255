package org.celeryhill.systemtest;

import java.net.URI;
import java.util.List;

/**
 * What the platform's load balancer offers: the hosts that were ready at its latest
 * health check.
 */
final class BalancerView {

	/** Time between two health checks in nanoseconds. */
	private static final long PERIOD_NANOS = 300_000_000;

	/** Fleet that is checked. */
	private final Fleet fleet;

	/** Hosts that were ready. */
	private List<URI> ready = List.of();

	/** Time of the latest check in nanoseconds. */
	private long checkedNanos;

	BalancerView(Fleet fleet) {
		this.fleet = fleet;
	}

	synchronized List<URI> hosts() {
		long now = System.nanoTime();
		if (this.ready.isEmpty() || now - this.checkedNanos > PERIOD_NANOS) {
			List<URI> hosts = this.fleet.readyHosts();
			this.ready = (hosts.isEmpty()) ? this.fleet.allHosts() : hosts;
			this.checkedNanos = now;
		}
		return this.ready;
	}

}
