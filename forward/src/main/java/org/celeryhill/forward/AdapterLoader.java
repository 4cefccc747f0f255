package org.celeryhill.forward;

import java.util.function.Consumer;

import org.celeryhill.base.BackendServerId;

/**
 * Loads adapters on engines that have the base model loaded.
 */
public interface AdapterLoader {

	/**
	 * A loader for engines that load adapters on demand by themselves.
	 */
	AdapterLoader NONE = new AdapterLoader() {
		@Override
		public void load(BackendServerId engine, RequestMetadata.ModelName name, Consumer<Boolean> callback) {
			callback.accept(true);
		}

		@Override
		public void recordUse(BackendServerId engine, RequestMetadata.ModelName name) {
			// Such engines manage their adapters themselves.
		}
	};

	/**
	 * Requests that an adapter is loaded. Must be called on the event loop.
	 * @param engine the engine, not null
	 * @param name the model and the adapter, not null
	 * @param callback called once, on the event loop, with whether the adapter is loaded;
	 * not null
	 */
	void load(BackendServerId engine, RequestMetadata.ModelName name, Consumer<Boolean> callback);

	/**
	 * Records that a request uses a loaded adapter. Must be called on the event loop.
	 * @param engine the engine, not null
	 * @param name the model and the adapter, not null
	 */
	void recordUse(BackendServerId engine, RequestMetadata.ModelName name);

}
