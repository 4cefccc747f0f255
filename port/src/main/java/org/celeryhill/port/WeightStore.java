package org.celeryhill.port;

import java.util.Map;
import java.util.Optional;

import org.celeryhill.base.ModelId;

/**
 * The store that engines load weights from. The store is rate-limited: this system reads
 * only its catalogue, and keeps the loads that it commands within the limits.
 * Implementations are thread-safe.
 */
public interface WeightStore {

	/**
	 * Reads the sizes of all models and adapters.
	 * @return the size in bytes by model, or empty if the store could not be read
	 */
	Optional<Map<ModelId, Long>> sizes();

}
