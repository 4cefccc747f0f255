package org.celeryhill.forward;

import java.time.Duration;
import java.util.List;
import java.util.Objects;

import org.celeryhill.base.ModelId;

/**
 * Configuration of the model engines of a service. Immutable and thread-safe.
 *
 * @param slots the number of requests that an engine runs concurrently, positive
 * @param kvCacheTokens the capacity of an engine's key-value cache in tokens, positive
 * @param tokensPerEvent the number of tokens in one event of a stream, positive
 * @param memoryBytes the memory of an engine for weights and adapters, positive
 * @param maxAdapters the number of adapters that an engine can hold
 * @param loadsPerSecond the number of model loads per second that the weight store allows
 * over all engines, positive
 * @param models the models of the service, not null
 */
public record EngineProfile(int slots, long kvCacheTokens, int tokensPerEvent, long memoryBytes, int maxAdapters,
		double loadsPerSecond, List<Model> models) {

	/**
	 * Creates a profile with a copy of the models.
	 * @throws IllegalArgumentException if a value that must be positive is not
	 */
	public EngineProfile {
		models = List.copyOf(models);
		if (slots < 1 || kvCacheTokens < 1 || tokensPerEvent < 1 || memoryBytes < 1 || loadsPerSecond <= 0) {
			throw new IllegalArgumentException("slots, sizes and load rate of an engine profile must be positive");
		}
	}

	/**
	 * A model of the service.
	 *
	 * @param id the model, not null
	 * @param bytes the size of its weights in bytes
	 * @param adapterCount the number of its adapters
	 * @param adapterBytes the size of one adapter in bytes
	 * @param coldLoadTime the time to load the model from the weight store, not null
	 * @param warmLoadTime the time to load the model from the engine's host memory, not
	 * null
	 * @param diskLoadTime the time to load the model from the engine's disk, not null
	 */
	public record Model(ModelId id, long bytes, int adapterCount, long adapterBytes, Duration coldLoadTime,
			Duration warmLoadTime, Duration diskLoadTime) {

		/**
		 * Creates a model.
		 */
		public Model {
			Objects.requireNonNull(id, "id");
			Objects.requireNonNull(coldLoadTime, "coldLoadTime");
			Objects.requireNonNull(warmLoadTime, "warmLoadTime");
			Objects.requireNonNull(diskLoadTime, "diskLoadTime");
		}

	}

}
