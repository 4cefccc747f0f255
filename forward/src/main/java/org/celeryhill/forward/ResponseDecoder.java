package org.celeryhill.forward;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpStatusClass;

/**
 * Decodes the responses on a connection that carries one exchange at a time. Must be used
 * on the event loop.
 */
final class ResponseDecoder extends HttpResponseDecoder {

	private boolean isHeadRequest;

	ResponseDecoder(HttpDecoderConfig config) {
		super(config);
	}

	/**
	 * Sets the method of the request whose response comes next.
	 * @param method the method, not null
	 */
	void expectResponseTo(HttpMethod method) {
		this.isHeadRequest = HttpMethod.HEAD.equals(method);
	}

	/**
	 * Returns whether bytes were received that belong to no message yet.
	 * @return whether bytes are left
	 */
	boolean hasBytesLeft() {
		return actualReadableBytes() > 0;
	}

	@Override
	protected boolean isContentAlwaysEmpty(HttpMessage message) {
		boolean isInterim = message instanceof HttpResponse response
				&& response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
		return (this.isHeadRequest && !isInterim) || super.isContentAlwaysEmpty(message);
	}

}
