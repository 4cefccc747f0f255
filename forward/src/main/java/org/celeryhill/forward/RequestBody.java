package org.celeryhill.forward;

import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.celeryhill.base.EventLog;

/**
 * Body of a caller's request while it is read. Its bytes count against the memory for all
 * bodies until the request has ended. Must be used on the event loop.
 */
final class RequestBody {

	private static final EventLog LOG = EventLog.of(RequestBody.class);

	private final IngressServer server;

	private ByteBuf bytes = Unpooled.EMPTY_BUFFER;

	private int reservedBytes;

	RequestBody(IngressServer server) {
		this.server = server;
	}

	// Adds bytes. Returns the status with which the request must be rejected if there is
	// no room for them, else empty.
	Optional<HttpResponseStatus> add(ByteBuf content, long maxBytes) {
		int size = content.readableBytes();
		if (this.bytes.readableBytes() + size > maxBytes) {
			return Optional.of(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
		}
		if (!this.server.reserveBodyBytes(size)) {
			LOG.warn("request_refused", "reason", "body_memory", "bytes", size);
			return Optional.of(HttpResponseStatus.SERVICE_UNAVAILABLE);
		}
		this.reservedBytes += size;
		if (this.bytes == Unpooled.EMPTY_BUFFER) {
			this.bytes = Unpooled.buffer(size);
		}
		this.bytes.writeBytes(content);
		return Optional.empty();
	}

	// Returns the bytes that were added, which still count until the end.
	ByteBuf take() {
		ByteBuf taken = this.bytes;
		this.bytes = Unpooled.EMPTY_BUFFER;
		return taken;
	}

	// Ends the request, so that its bytes no longer count.
	void end() {
		this.bytes = Unpooled.EMPTY_BUFFER;
		this.server.releaseBodyBytes(this.reservedBytes);
		this.reservedBytes = 0;
	}

}
