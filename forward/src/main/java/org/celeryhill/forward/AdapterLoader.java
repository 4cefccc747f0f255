package org.celeryhill.forward;

import java.util.function.Consumer;

import org.celeryhill.base.BackendServerId;

/**
 * Has an adapter loaded at an engine that holds its model.
 */
public interface AdapterLoader {

	/**
	 * A loader for engines that load adapters by themselves.
	 */
	AdapterLoader NONE = new AdapterLoader() {
		@Override
		public void load(BackendServerId engine, RequestMetadata.ModelName name, Consumer<Boolean> callback) {
			callback.accept(true);
		}

		@Override
		public void recordUse(BackendServerId engine, RequestMetadata.ModelName name) {
			// The engine keeps what it uses.
		}
	};

	/**
	 * Asks for an adapter. Must be called on the event loop.
	 * @param engine the engine, not null
	 * @param name the model with its adapter, not null
	 * @param callback told once, on the event loop, whether the adapter can be used now, not
	 * null
	 */
	void load(BackendServerId engine, RequestMetadata.ModelName name, Consumer<Boolean> callback);

	/**
	 * Called when a request uses an adapter that is loaded. Must be called on the event
	 * loop.
	 * @param engine the engine, not null
	 * @param name the model with its adapter, not null
	 */
	void recordUse(BackendServerId engine, RequestMetadata.ModelName name);

}
