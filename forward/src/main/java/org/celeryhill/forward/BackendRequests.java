package org.celeryhill.forward;

import java.time.Duration;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpVersion;

/**
 * Creates the requests to backend servers.
 */
final class BackendRequests {

	/** Difference between the priorities of adjacent priority classes at an engine. */
	private static final int ENGINE_PRIORITY_STEP = 3;

	private BackendRequests() {
	}

	// Returns the caller's request with the headers that this system sets. It holds the
	// body once more.
	static FullHttpRequest create(ForwardCall call, ServerEntry server) {
		IncomingRequest original = call.incoming;
		HttpHeaders headers = HopByHopHeaders.copyEndToEnd(original.headers(), call.forwarder.headerCodec());
		long remainingNanos = Math.max(1, call.deadlineNanos - System.nanoTime());
		int priority = call.request.priority().ordinal() * ENGINE_PRIORITY_STEP;
		call.forwarder.headerCodec()
			.encodeBackendRequest(headers, new HeaderCodec.BackendRequestValues(server.id(),
					Duration.ofNanos(remainingNanos), priority, call.lastEventId, call.caller()));
		ByteBuf bytes = original.body().retainedDuplicate();
		HopByHopHeaders.setContentLength(headers, original, bytes.readableBytes());
		return new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, original.method(), original.target(), bytes, headers,
				EmptyHttpHeaders.INSTANCE);
	}

}
