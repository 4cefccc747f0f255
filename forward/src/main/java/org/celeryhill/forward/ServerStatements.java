package org.celeryhill.forward;

import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * Takes note of what backend servers say of themselves in their responses. Must be used
 * on the event loop.
 */
final class ServerStatements {

	private final Forwarder forwarder;

	private final ServerEntry server;

	ServerStatements(Forwarder forwarder, ServerEntry server) {
		this.forwarder = forwarder;
		this.server = server;
	}

	// Takes note of the load, and of whether the server wants requests.
	void observe(ResponseMetadata metadata) {
		metadata.load().ifPresent(this::observeLoad);
		metadata.oddLoad().ifPresent((text) -> this.forwarder.directory().recordOddLoad(this.server.id(), text));
		if (metadata.isLeaving()) {
			this.forwarder.recordLeaving(this.server);
		}
		metadata.pause().ifPresent((pause) -> this.forwarder.pauseServer(this.server, pause));
	}

	private void observeLoad(ResponseMetadata.Load load) {
		this.forwarder.directory().observeLoad(this.server.id(), load);
		this.forwarder.metrics().recordPace(load.pace() / (double) ResponseMetadata.Load.USUAL_PACE);
	}

	// Takes note of why a request was not executed: the server may lack the adapter.
	void observeNotExecuted(HttpResponseStatus status, RequestMetadata metadata) {
		if (status.code() == HttpResponseStatus.MISDIRECTED_REQUEST.code()) {
			metadata.model()
				.filter((name) -> name.adapter().isPresent())
				.ifPresent((name) -> this.forwarder.directory().removeAdapter(this.server.id(), name.toId()));
		}
	}

}
