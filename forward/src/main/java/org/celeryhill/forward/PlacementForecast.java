package org.celeryhill.forward;

import java.time.Duration;
import java.util.Optional;

import org.celeryhill.base.ModelId;

/**
 * Tells when a model that no engine holds can be used. Called on the event loop.
 */
public interface PlacementForecast {

	/**
	 * A forecast that knows of no load.
	 */
	PlacementForecast NONE = (model) -> Optional.empty();

	/**
	 * Returns the time until a model can be used.
	 * @param model the model without an adapter, not null
	 * @return the time, empty if no engine loads the model
	 */
	Optional<Duration> timeUntilReady(ModelId model);

}
