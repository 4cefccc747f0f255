package org.celeryhill.planner;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.celeryhill.peer.PeerMetrics;
import org.celeryhill.peer.ThriftPeerNode;

/**
 * Prometheus metrics of the planner daemon. Thread-safe.
 */
final class PlannerMetrics {

	/** Registry of all metrics. */
	private final PrometheusRegistry registry;

	/** Planning rounds by service. */
	private final Counter rounds;

	/** Duration of planning rounds, in seconds. */
	private final Histogram roundSeconds;

	/** Whether this process holds the lease, by service. */
	private final Gauge holder;

	/**
	 * Periodic tasks, planning rounds among them, that failed with an unexpected error.
	 */
	private final Counter failures;

	PlannerMetrics(PrometheusRegistry registry) {
		this.registry = registry;
		this.rounds = Counter.builder()
			.name("planner_rounds")
			.help("Planning rounds by service")
			.labelNames("service")
			.register(registry);
		this.roundSeconds = Histogram.builder()
			.name("planner_round_seconds")
			.help("Time of a planning round")
			.classicOnly()
			.register(registry);
		this.holder = Gauge.builder()
			.name("planner_lease_held")
			.help("1 while the lease of the service is held")
			.labelNames("service")
			.register(registry);
		this.failures = Counter.builder()
			.name("planner_round_failures")
			.help("Rounds that ended with an unexpected error")
			.register(registry);
	}

	void recordRound(String service, boolean isHolder, double duration) {
		this.rounds.labelValues(service).inc();
		this.roundSeconds.observe(duration);
		this.holder.labelValues(service).set((isHolder) ? 1 : 0);
	}

	/**
	 * Registers the metrics of the peer protocol.
	 * @param node the peer node of this process, not null
	 */
	void registerPeerMetrics(ThriftPeerNode node) {
		PeerMetrics.register(this.registry, "planner", node);
		CounterWithCallback.builder()
			.name("planner_peer_call_failures")
			.help("Calls to peers that failed or were dropped")
			.callback((callback) -> callback.call(node.counters().failedCalls() + node.counters().droppedCalls()))
			.register(this.registry);
	}

	void recordFailure() {
		this.failures.inc();
	}

}
