package org.celeryhill.forward;

import java.util.Optional;
import java.util.function.Consumer;

import org.celeryhill.base.BackendServerId;

/**
 * Loads the adapter that a request needs before the request is sent. Must be used on the
 * event loop.
 */
final class AdapterStep {

	private AdapterStep() {
	}

	// Calls the listener with whether the server has the adapter, at once if it need not
	// be loaded.
	static void prepare(Forwarder forwarder, RequestMetadata metadata, BackendServerId server,
			Consumer<Boolean> listener) {
		Optional<RequestMetadata.ModelName> adapter = metadata.model().filter((name) -> name.adapter().isPresent());
		if (adapter.isEmpty() || forwarder.directory().hasAdapter(server, adapter.get().toId())) {
			adapter.ifPresent((name) -> forwarder.adapterLoader().recordUse(server, name));
			listener.accept(true);
			return;
		}
		forwarder.adapterLoader().load(server, adapter.get(), listener);
	}

}
