package org.celeryhill.forward;

import org.celeryhill.base.ModelId;
import org.celeryhill.base.ServiceId;

/**
 * Told of each request for a model. Called on the event loop.
 */
public interface DemandListener {

	/**
	 * A listener that does nothing.
	 */
	DemandListener NONE = new DemandListener() {
		@Override
		public void onRequest(ServiceId service, ModelId model, double value) {
			// Nobody wants to know.
		}

		@Override
		public void onLateRequest(ServiceId service, ModelId model, double value) {
			// Nobody wants to know.
		}
	};

	/**
	 * Called when a request for a model arrives.
	 * @param service the service, not null
	 * @param model the model without an adapter, not null
	 * @param value the relative worth of the request
	 */
	void onRequest(ServiceId service, ModelId model, double value);

	/**
	 * Called when a request got its first event late or ended without one.
	 * @param service the service, not null
	 * @param model the model without an adapter, not null
	 * @param value the relative worth of the request
	 */
	void onLateRequest(ServiceId service, ModelId model, double value);

}
