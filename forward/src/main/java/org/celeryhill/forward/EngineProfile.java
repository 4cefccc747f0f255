package org.celeryhill.forward;

import java.time.Duration;
import java.util.List;
import java.util.Objects;

import org.celeryhill.base.ModelId;

/**
 * What the configuration says of the model engines of a service. Immutable and
 * thread-safe.
 *
 * @param slots the requests that an engine runs at once
 * @param kvCacheTokens the tokens that fit an engine's memory for requests
 * @param tokensPerEvent the tokens in one event of a stream
 * @param memoryBytes the memory of an engine for weights and adapters
 * @param maxAdapters the adapters that an engine holds at most
 * @param loadsPerSecond the loads that the weight store allows over all engines
 * @param models the models of the service
 */
public record EngineProfile(int slots, long kvCacheTokens, int tokensPerEvent, long memoryBytes, int maxAdapters,
		double loadsPerSecond, List<Model> models) {

	/**
	 * Checks the arguments.
	 * @throws IllegalArgumentException if a number is out of range
	 */
	public EngineProfile {
		models = List.copyOf(models);
		if (slots < 1 || kvCacheTokens < 1 || tokensPerEvent < 1 || memoryBytes < 1 || loadsPerSecond <= 0) {
			throw new IllegalArgumentException("sizes of an engine profile must be positive");
		}
	}

	/**
	 * One model of the service.
	 *
	 * @param id the model, not null
	 * @param bytes the size of its weights
	 * @param adapterCount the number of its adapters
	 * @param adapterBytes the size of one adapter
	 * @param coldLoadTime the time of a load from the weight store
	 * @param warmLoadTime the time of a load from the engine's host memory
	 * @param diskLoadTime the time of a load from the engine's disk
	 */
	public record Model(ModelId id, long bytes, int adapterCount, long adapterBytes, Duration coldLoadTime,
			Duration warmLoadTime, Duration diskLoadTime) {

		/**
		 * Checks the arguments.
		 */
		public Model {
			Objects.requireNonNull(id, "id");
			Objects.requireNonNull(coldLoadTime, "coldLoad");
			Objects.requireNonNull(warmLoadTime, "warmLoad");
			Objects.requireNonNull(diskLoadTime, "diskLoad");
		}

	}

}
