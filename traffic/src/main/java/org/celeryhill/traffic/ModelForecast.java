package org.celeryhill.traffic;

import java.time.Duration;
import java.util.Optional;

import org.celeryhill.base.ModelId;

/**
 * Estimates when a model without an engine will be ready. Must not block.
 */
@FunctionalInterface
public interface ModelForecast {

	/** A forecast without estimates. */
	ModelForecast NONE = (model) -> Optional.empty();

	/**
	 * Returns the estimated time until an engine can serve a model.
	 * @param model the model without an adapter, not null
	 * @return the time from now, empty if no engine is loading the model
	 */
	Optional<Duration> timeUntilReady(ModelId model);

}
