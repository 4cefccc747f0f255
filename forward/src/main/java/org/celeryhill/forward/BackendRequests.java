package org.celeryhill.forward;

import java.time.Duration;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpVersion;
import org.celeryhill.access.Organisation;

/**
 * Creates the requests to backend servers.
 */
final class BackendRequests {

	/** Difference between the priorities of adjacent priority classes at an engine. */
	private static final int ENGINE_PRIORITY_STEP = 3;

	/**
	 * Lower for requests that may not be retried, as the server may close a connection
	 * that has been idle for longer.
	 */
	private static final Duration MAX_IDLE_NON_RETRYABLE = Duration.ofMillis(700);

	private static final Duration MAX_IDLE_RETRYABLE = Duration.ofSeconds(4);

	private BackendRequests() {
	}

	// Returns for how long the connection of a request may have been idle.
	static Duration maxIdle(Route route) {
		return route.isRetryable() ? MAX_IDLE_RETRYABLE : MAX_IDLE_NON_RETRYABLE;
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
					Duration.ofNanos(remainingNanos), priority, call.lastEventId, callerOf(call)));
		ByteBuf bytes = original.body().retainedDuplicate();
		HopByHopHeaders.setContentLength(headers, original, bytes.readableBytes());
		return new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, original.method(), original.target(), bytes, headers,
				EmptyHttpHeaders.INSTANCE);
	}

	// Returns what a backend server may know of the caller.
	private static HeaderCodec.Caller callerOf(ForwardCall call) {
		return new HeaderCodec.Caller(call.forwarder.access().isIdentifying(), call.organisation.map(Organisation::id));
	}

}
