package org.celeryhill.peer;

import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/**
 * Prometheus metrics of the peer protocol. Stateless and thread-safe.
 */
public final class PeerMetrics {

	private PeerMetrics() {
	}

	/**
	 * Registers the metrics of a peer node.
	 * @param registry the registry of the process, not null
	 * @param prefix the prefix of the metric names, such as {@code entry}, not null
	 * @param node the peer node, not null
	 * @throws IllegalArgumentException if the metrics are already registered
	 */
	public static void register(PrometheusRegistry registry, String prefix, ThriftPeerNode node) {
		CounterWithCallback.builder()
			.name(prefix + "_peer_bytes")
			.help("Bytes of the peer protocol without TCP and IP headers")
			.labelNames("direction")
			.callback((callback) -> {
				callback.call(node.counters().sentBytes(), "sent");
				callback.call(node.counters().receivedBytes(), "received");
			})
			.register(registry);
		GaugeWithCallback.builder()
			.name(prefix + "_peer_members")
			.help("Processes that are believed to be alive")
			.callback((callback) -> callback.call(node.members().size()))
			.register(registry);
	}

}
