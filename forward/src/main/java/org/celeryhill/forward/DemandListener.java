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
	DemandListener NONE = (service, model, tokens, value) -> {
	};

	/**
	 * Called when a request for a model arrives.
	 * @param service the service, not null
	 * @param model the model without an adapter, not null
	 * @param tokens the tokens of the prompt and at most of the answer
	 * @param value the relative worth of the request
	 */
	void requested(ServiceId service, ModelId model, int tokens, double value);

}
