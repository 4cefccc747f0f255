package org.celeryhill.forward;

import java.util.function.Consumer;

import org.celeryhill.base.BackendServerId;

/**
 * Has an adapter loaded at an engine that holds its model.
 */
public interface AdapterLoader {

	/**
	 * Asks for an adapter. Must be called on the event loop.
	 * @param engine the engine, not null
	 * @param name the model with its adapter, not null
	 * @param done told on the event loop whether the adapter can be used now, not null
	 */
	void load(BackendServerId engine, CallerRequest.ModelName name, Consumer<Boolean> done);

}
