package org.celeryhill.entry;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.celeryhill.peer.PeerMetrics;
import org.celeryhill.peer.ThriftPeerNode;

/**
 * Prometheus metrics of the daemon. Thread-safe.
 */
final class EntryMetrics {

	/** Histogram bucket bounds of the time to the first token, in seconds. */
	private static final double[] FIRST_TOKEN_BUCKETS = { 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.39, 0.75, 1.5, 3, 10 };

	/** Responses by status and code. */
	private final Counter responses;

	/** Generations by outcome. */
	private final Counter generations;

	/** Streams resumed on their engine. */
	private final Counter resumedStreams;

	/** Generations continued on another engine. */
	private final Counter continuedStreams;

	/** Dropped events and responses that belong to another attempt. */
	private final Counter foreignEvents;

	/** Non-idempotent calls by outcome. */
	private final Counter claims;

	/** Tokens sent to callers. */
	private final Counter tokens;

	/** Time from the arrival of a request to its first token. */
	private final Histogram firstToken;

	/** Number of open requests. */
	private final Gauge openRequests;

	/** Number of the revision in force. */
	private final Gauge revision;

	/** Registry of all metrics. */
	private final PrometheusRegistry registry;

	EntryMetrics(PrometheusRegistry registry) {
		this.registry = registry;
		this.responses = counter(registry, "entry_answers", "Answers by status and code", "status", "code");
		this.generations = counter(registry, "entry_generations", "Generations by how they ended", "outcome");
		this.resumedStreams = counter(registry, "entry_streams_resumed", "Streams resumed on their engine");
		this.continuedStreams = counter(registry, "entry_streams_continued", "Generations continued on another engine");
		this.foreignEvents = counter(registry, "entry_foreign_events", "Dropped events of other attempts");
		this.claims = counter(registry, "entry_claims", "Non-idempotent calls by outcome", "outcome");
		this.tokens = counter(registry, "entry_tokens", "Tokens sent to callers");
		this.firstToken = Histogram.builder()
			.name("entry_first_token_seconds")
			.help("Time from arrival to the first token")
			.labelNames("priority")
			.classicUpperBounds(FIRST_TOKEN_BUCKETS)
			.classicOnly()
			.register(registry);
		this.openRequests = Gauge.builder().name("entry_open_requests").help("Open requests").register(registry);
		this.revision = Gauge.builder()
			.name("entry_revision")
			.help("Number of the configuration in force")
			.register(registry);
	}

	private static Counter counter(PrometheusRegistry registry, String name, String help, String... labels) {
		return Counter.builder().name(name).help(help).labelNames(labels).register(registry);
	}

	void countResponse(int status, String code) {
		this.responses.labelValues(Integer.toString(status), code).inc();
	}

	void countGeneration(String outcome) {
		this.generations.labelValues(outcome).inc();
	}

	void countResumedStream() {
		this.resumedStreams.inc();
	}

	void countContinuedStream() {
		this.continuedStreams.inc();
	}

	void countForeignEvent() {
		this.foreignEvents.inc();
	}

	void countClaim(String outcome) {
		this.claims.labelValues(outcome).inc();
	}

	void token() {
		this.tokens.inc();
	}

	void firstToken(String priority, double seconds) {
		this.firstToken.labelValues(priority).observe(seconds);
	}

	void setOpenRequests(int requests) {
		this.openRequests.set(requests);
	}

	/**
	 * Registers the metrics of the peer protocol.
	 * @param node the peer node, not null
	 */
	void registerPeerMetrics(ThriftPeerNode node) {
		PeerMetrics.register(this.registry, "entry", node);
	}

	void setRevision(long number) {
		this.revision.set(number);
	}

}
