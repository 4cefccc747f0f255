package org.celeryhill.forward;

import java.util.Optional;

import org.celeryhill.base.PriorityClass;

/**
 * Reports a caller's request as demand for its model, if it names one. Must be used on
 * the event loop.
 */
final class ModelDemand {

	private final ForwardCall call;

	private final DemandListener listener;

	ModelDemand(ForwardCall call) {
		this.call = call;
		this.listener = call.forwarder.demandListener();
	}

	// Reports that the request has arrived.
	void recordRequest() {
		name().ifPresent((name) -> this.listener.onRequest(this.call.service, name.model(), value()));
	}

	// Reports that the request was not served in time.
	void recordLate() {
		name().ifPresent((name) -> this.listener.onLateRequest(this.call.service, name.model(), value()));
	}

	private Optional<RequestMetadata.ModelName> name() {
		return this.call.requestMetadata.model();
	}

	private double value() {
		PriorityClass priority = this.call.request.priority();
		return 1 << (PriorityClass.values().length - 1 - priority.ordinal());
	}

}
