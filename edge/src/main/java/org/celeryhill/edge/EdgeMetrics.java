package org.celeryhill.edge;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.HashSet;
import java.util.Locale;
import java.util.Set;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.celeryhill.base.DataCentre;
import org.celeryhill.base.OrganisationId;
import org.celeryhill.forward.ForwardMetrics;
import org.celeryhill.traffic.RequestBounds;

/**
 * Metrics of an edge daemon. Thread-safe.
 */
final class EdgeMetrics implements ForwardMetrics {

	private static final double[] LATENCY_BUCKETS_SECONDS = { 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.35, 0.5, 0.8, 1.5,
			3, 6, 10, 15 };

	/** Organisations that have a label of their own, so that metrics stay small. */
	private static final int MAX_ORGANISATION_LABELS = 64;

	private static final String OTHER_ORGANISATIONS = "(other)";

	private static final double[] PACE_BUCKETS = { 0.5, 0.8, 1, 1.25, 1.5, 2, 3, 5, 10 };

	private final PrometheusRegistry registry = new PrometheusRegistry();

	private final Counter refused = Counter.builder()
		.name("celeryhill_requests_refused_total")
		.help("Requests that ended without being offered to a backend server.")
		.labelNames("reason")
		.withoutExemplars()
		.register(this.registry);

	private final Counter admissionRefusals = Counter.builder()
		.name("celeryhill_admission_refusals_total")
		.help("Requests for models that could not be served in time; time is foreseen or late.")
		.labelNames("reason", "organisation", "time", "caller")
		.withoutExemplars()
		.register(this.registry);

	private final Counter sent = Counter.builder()
		.name("celeryhill_sends_total")
		.help("Sends of requests to backend servers.")
		.labelNames("order")
		.withoutExemplars()
		.register(this.registry);

	private final Counter choices = Counter.builder()
		.name("celeryhill_server_choices_total")
		.help("Sends of requests by the data centre of the backend server.")
		.labelNames("site")
		.withoutExemplars()
		.register(this.registry);

	private final Histogram pace = Histogram.builder()
		.name("celeryhill_server_pace")
		.help("How long work takes on the machines of backend servers, as they state, relative to the usual time.")
		.classicOnly()
		.classicUpperBounds(PACE_BUCKETS)
		.withoutExemplars()
		.register(this.registry);

	private final Histogram ended = Histogram.builder()
		.name("celeryhill_request_seconds")
		.help("Time from the head of a request to the end of its answer; status 0 is a broken answer.")
		.labelNames("status")
		.classicOnly()
		.classicUpperBounds(LATENCY_BUCKETS_SECONDS)
		.withoutExemplars()
		.register(this.registry);

	private final Counter endedByOrganisation = Counter.builder()
		.name("celeryhill_organisation_requests_total")
		.help("Requests of organisations that have ended, by status; status 0 is a broken answer.")
		.labelNames("organisation", "status")
		.withoutExemplars()
		.register(this.registry);

	private final Set<OrganisationId> labelledOrganisations = new HashSet<>();

	private final Histogram firstEvent = Histogram.builder()
		.name("celeryhill_first_event_seconds")
		.help("Time from the head of a request to the first event of its stream.")
		.classicOnly()
		.classicUpperBounds(LATENCY_BUCKETS_SECONDS)
		.withoutExemplars()
		.register(this.registry);

	private final Counter commands = Counter.builder()
		.name("celeryhill_engine_commands_total")
		.help("Commands sent to engines.")
		.labelNames("action", "result")
		.withoutExemplars()
		.register(this.registry);

	private final Counter serverCrashes = Counter.builder()
		.name("celeryhill_server_crashes_total")
		.help("Backend server processes that ended while they worked on requests of this host.")
		.withoutExemplars()
		.register(this.registry);

	private final Gauge quarantinedParts = Gauge.builder()
		.name("celeryhill_prompt_parts_quarantined")
		.help("Prompt parts whose requests are refused because they end backend servers.")
		.register(this.registry);

	private final Counter quotaUnits = Counter.builder()
		.name("celeryhill_quota_units_total")
		.help("Units that this host admitted within the quotas of organisations, refunds included.")
		.labelNames("organisation")
		.withoutExemplars()
		.register(this.registry);

	private final Counter quotaRejections = Counter.builder()
		.name("celeryhill_quota_rejections_total")
		.help("Requests that this host rejected because of the quotas of organisations.")
		.labelNames("organisation", "reason")
		.withoutExemplars()
		.register(this.registry);

	private final Counter quotaCalls = Counter.builder()
		.name("celeryhill_quota_calls_total")
		.help("Calls for units of quotas beside the heartbeats.")
		.labelNames("result")
		.withoutExemplars()
		.register(this.registry);

	private final Gauge quotaScarce = Gauge.builder()
		.name("celeryhill_quota_scarce")
		.help("1 while the holder keeps back the units that it grants to this host.")
		.labelNames("organisation")
		.register(this.registry);

	private final Gauge lease = Gauge.builder()
		.name("celeryhill_lease_held")
		.help("1 while this host holds the placement lease.")
		.register(this.registry);

	@Override
	public void refused(String reason) {
		this.refused.labelValues(reason).inc();
	}

	@Override
	public void recordAdmissionRefusal(String reason, OrganisationId organisation, boolean isForeseen,
			RequestBounds.Arrival arrival) {
		this.admissionRefusals
			.labelValues(reason, label(organisation), isForeseen ? "foreseen" : "late",
					arrival.name().toLowerCase(Locale.ROOT))
			.inc();
	}

	@Override
	public void recordSend(boolean isFirst) {
		this.sent.labelValues(isFirst ? "first" : "again").inc();
	}

	@Override
	public void recordChoice(DataCentre dataCentre) {
		this.choices.labelValues(dataCentre.value()).inc();
	}

	@Override
	public void recordPace(double factor) {
		this.pace.observe(factor);
	}

	@Override
	public void recordEnd(int status, double seconds) {
		this.ended.labelValues(Integer.toString(status)).observe(seconds);
	}

	@Override
	public void recordOrganisationEnd(OrganisationId organisation, int status) {
		this.endedByOrganisation.labelValues(label(organisation), Integer.toString(status)).inc();
	}

	private synchronized String label(OrganisationId organisation) {
		if (this.labelledOrganisations.size() < MAX_ORGANISATION_LABELS) {
			this.labelledOrganisations.add(organisation);
		}
		return this.labelledOrganisations.contains(organisation) ? organisation.value() : OTHER_ORGANISATIONS;
	}

	@Override
	public void recordFirstEvent(double seconds) {
		this.firstEvent.observe(seconds);
	}

	@Override
	public void recordServerCrash() {
		this.serverCrashes.inc();
	}

	@Override
	public void setQuarantinedParts(int count) {
		this.quarantinedParts.set(count);
	}

	void countQuotaUnits(OrganisationId organisation, long units) {
		this.quotaUnits.labelValues(label(organisation)).inc(units);
	}

	void countQuotaRejection(OrganisationId organisation, String reason) {
		this.quotaRejections.labelValues(label(organisation), reason).inc();
	}

	void countQuotaCall(String result) {
		this.quotaCalls.labelValues(result).inc();
	}

	void setQuotaScarce(OrganisationId organisation, boolean isScarce) {
		this.quotaScarce.labelValues(label(organisation)).set(isScarce ? 1 : 0);
	}

	void countCommand(String action, String result) {
		this.commands.labelValues(action, result).inc();
	}

	void setLeaseHeld(boolean isHeld) {
		this.lease.set(isHeld ? 1 : 0);
	}

	byte[] toText() {
		try {
			ByteArrayOutputStream out = new ByteArrayOutputStream();
			new PrometheusTextFormatWriter(true).write(out, this.registry.scrape());
			return out.toByteArray();
		}
		catch (IOException ex) {
			throw new IllegalStateException("failed to write metrics", ex);
		}
	}

}
