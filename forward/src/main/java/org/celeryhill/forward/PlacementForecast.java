package org.celeryhill.forward;

import java.time.Duration;
import java.util.Optional;

import org.celeryhill.base.ModelId;

/**
 * Estimates when a model that is not loaded on any engine will be ready. Called on the
 * event loop.
 */
public interface PlacementForecast {

	/**
	 * A forecast without estimates.
	 */
	PlacementForecast NONE = (model) -> Optional.empty();

	/**
	 * Returns the estimated time until an engine can serve a model.
	 * @param model the model without an adapter, not null
	 * @return the time from now, empty if no engine is loading the model
	 */
	Optional<Duration> timeUntilReady(ModelId model);

}
