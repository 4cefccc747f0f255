package org.celeryhill.forward;

import org.celeryhill.base.EventLog;
import org.celeryhill.traffic.RequestBounds;

/**
 * Records how a caller's request ends, in the metrics and in the log. Must be used on the
 * event loop.
 */
final class CallRecord {

	private static final EventLog LOG = EventLog.of(CallRecord.class);

	/** Part of the target within which a caller should hear of a foreseeable refusal. */
	private static final int FORESEEN_DIVISOR = 8;

	private final ForwardCall call;

	private final ForwardMetrics metrics;

	/** Whether the caller has been refused before. */
	private final RequestBounds.Arrival arrival;

	CallRecord(ForwardCall call, RequestBounds.Arrival arrival) {
		this.call = call;
		this.metrics = call.forwarder.metrics();
		this.arrival = arrival;
	}

	// Records a refusal for lack of room, if the request has a target.
	void recordAdmissionRefusal(String reason) {
		this.call.request.bounds().ifPresent((bounds) -> {
			long waitedNanos = System.nanoTime() - this.call.incoming.arrivedNanos();
			boolean isForeseen = waitedNanos <= bounds.firstToken().toNanos() / FORESEEN_DIVISOR;
			this.metrics.recordAdmissionRefusal(reason, this.call.request.organisation(), isForeseen, this.arrival);
		});
	}

	// Records the end of the request with the server that it was sent to last.
	void recordEnd(int status, String reason, String serverId) {
		double seconds = (System.nanoTime() - this.call.incoming.arrivedNanos()) / 1e9;
		this.metrics.recordEnd(status, seconds);
		this.call.organisation.ifPresent((one) -> this.metrics.recordOrganisationEnd(one.id(), status));
		LOG.info("request_ended", "request", this.call.key, "route", this.call.route.name(), "service",
				this.call.service, "organisation", this.call.organisation.map((one) -> one.id().value()).orElse("none"),
				"model", this.call.requestMetadata.model().map((name) -> name.toId().value()).orElse("none"), "status",
				status, "reason", reason, "server", serverId, "sends", this.call.sendCount, "events",
				this.call.eventCount, "arrival", this.arrival, "ms", Math.round(seconds * 1e3));
	}

}
