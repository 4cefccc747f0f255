package org.celeryhill.edge;

import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.celeryhill.forward.IncomingRequest;
import org.celeryhill.forward.IngressLimits;
import org.celeryhill.forward.RequestHandler;
import org.celeryhill.forward.ResponseChannel;

/**
 * Serves metrics and the state dump, and answers all other targets with the readiness of
 * this host for the load balancer.
 */
final class OperationalHandler implements RequestHandler {

	private final BooleanSupplier isReady;

	private final Map<String, Supplier<byte[]>> pages;

	OperationalHandler(BooleanSupplier isReady, Map<String, Supplier<byte[]>> pages) {
		this.isReady = isReady;
		this.pages = Map.copyOf(pages);
	}

	@Override
	public ActiveRequest handle(IncomingRequest request, ResponseChannel channel) {
		request.body().release();
		HttpHeaders headers = new DefaultHttpHeaders();
		Supplier<byte[]> page = this.pages.get(request.target());
		if (page != null) {
			headers.set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8");
			channel.respond(HttpResponseStatus.OK, headers, Unpooled.wrappedBuffer(page.get()));
		}
		else {
			HttpResponseStatus status = this.isReady.getAsBoolean() ? HttpResponseStatus.OK
					: HttpResponseStatus.SERVICE_UNAVAILABLE;
			channel.respond(status, headers, Unpooled.EMPTY_BUFFER);
		}
		return ActiveRequest.NONE;
	}

	@Override
	public IngressLimits limits() {
		return IngressLimits.DEFAULTS;
	}

}
