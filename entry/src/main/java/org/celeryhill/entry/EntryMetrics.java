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

	/** Bounds of times to the first token, in seconds. */
	private static final double[] SECONDS = { 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.39, 0.75, 1.5, 3, 10 };

	/** Answers by status and code. */
	private final Counter answers;

	/** Generations by how they ended. */
	private final Counter generations;

	/** Streams resumed on their engine. */
	private final Counter resumed;

	/** Generations continued on another engine. */
	private final Counter continued;

	/** Events of other attempts that were dropped. */
	private final Counter foreignEvents;

	/** Claims by outcome. */
	private final Counter claims;

	/** Tokens sent to callers. */
	private final Counter tokens;

	/** Times to the first token. */
	private final Histogram firstToken;

	/** Open requests. */
	private final Gauge open;

	/** Number of the revision in force. */
	private final Gauge revision;

	/** Registry of all metrics. */
	private final PrometheusRegistry registry;

	EntryMetrics(PrometheusRegistry registry) {
		this.registry = registry;
		this.answers = counter(registry, "entry_answers", "Answers by status and code", "status", "code");
		this.generations = counter(registry, "entry_generations", "Generations by how they ended", "outcome");
		this.resumed = counter(registry, "entry_streams_resumed", "Streams resumed on their engine");
		this.continued = counter(registry, "entry_streams_continued", "Generations continued on another engine");
		this.foreignEvents = counter(registry, "entry_foreign_events", "Dropped events of other attempts");
		this.claims = counter(registry, "entry_claims", "Non-idempotent calls by outcome", "outcome");
		this.tokens = counter(registry, "entry_tokens", "Tokens sent to callers");
		this.firstToken = Histogram.builder()
			.name("entry_first_token_seconds")
			.help("Time from arrival to the first token")
			.labelNames("priority")
			.classicUpperBounds(SECONDS)
			.classicOnly()
			.register(registry);
		this.open = Gauge.builder().name("entry_open_requests").help("Open requests").register(registry);
		this.revision = Gauge.builder()
			.name("entry_revision")
			.help("Number of the configuration in force")
			.register(registry);
	}

	private static Counter counter(PrometheusRegistry registry, String name, String help, String... labels) {
		return Counter.builder().name(name).help(help).labelNames(labels).register(registry);
	}

	void answered(int status, String code) {
		this.answers.labelValues(Integer.toString(status), code).inc();
	}

	void generationEnded(String outcome) {
		this.generations.labelValues(outcome).inc();
	}

	void streamResumed() {
		this.resumed.inc();
	}

	void streamContinued() {
		this.continued.inc();
	}

	void foreignEvent() {
		this.foreignEvents.inc();
	}

	void claim(String outcome) {
		this.claims.labelValues(outcome).inc();
	}

	void token() {
		this.tokens.inc();
	}

	void firstToken(String priority, double seconds) {
		this.firstToken.labelValues(priority).observe(seconds);
	}

	void open(int requests) {
		this.open.set(requests);
	}

	/**
	 * Adds the metrics of the exchange with other processes.
	 * @param node the node, not null
	 */
	void peers(ThriftPeerNode node) {
		PeerMetrics.register(this.registry, "entry", node);
	}

	void revision(long number) {
		this.revision.set(number);
	}

}
