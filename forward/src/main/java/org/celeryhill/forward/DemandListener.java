package org.celeryhill.forward;

import org.celeryhill.base.ModelId;
import org.celeryhill.base.ServiceId;

/**
 * Receives an event for each request for a model. Called on the event loop.
 */
public interface DemandListener {

	/**
	 * A listener that ignores all events.
	 */
	DemandListener NONE = new DemandListener() {
		@Override
		public void onRequest(ServiceId service, ModelId model, double value) {
			// Demand is not measured.
		}

		@Override
		public void onLateRequest(ServiceId service, ModelId model, double value) {
			// Demand is not measured.
		}
	};

	/**
	 * Called when a request for a model arrives.
	 * @param service the service, not null
	 * @param model the model without an adapter, not null
	 * @param value the relative value of the request, which depends on its priority class
	 */
	void onRequest(ServiceId service, ModelId model, double value);

	/**
	 * Called when a request received its first event after the latency target, or ended
	 * without any event.
	 * @param service the service, not null
	 * @param model the model without an adapter, not null
	 * @param value the relative value of the request, which depends on its priority class
	 */
	void onLateRequest(ServiceId service, ModelId model, double value);

}
