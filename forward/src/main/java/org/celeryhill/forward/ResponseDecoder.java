package org.celeryhill.forward;

import java.nio.charset.StandardCharsets;
import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
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

	private static final int MAX_TEXT_BYTES = 60;

	private boolean isHeadRequest;

	private boolean isHeadIncomplete;

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
	 * Returns whether a message has begun that is not passed on yet. The decoder consumes
	 * the lines of a head one by one.
	 * @return whether bytes are left or a head is incomplete
	 */
	boolean isWithinMessage() {
		return actualReadableBytes() > 0 || this.isHeadIncomplete;
	}

	/**
	 * Returns the first bytes that were received behind the message that was passed on
	 * last.
	 * @return the bytes as text, empty if there are none, never null
	 */
	String textBehind() {
		int count = Math.min(MAX_TEXT_BYTES, actualReadableBytes());
		if (count == 0) {
			return "";
		}
		ByteBuf bytes = internalBuffer();
		return bytes.toString(bytes.readerIndex(), count, StandardCharsets.ISO_8859_1);
	}

	@Override
	protected HttpMessage createMessage(String[] initialLine) {
		this.isHeadIncomplete = true;
		return super.createMessage(initialLine);
	}

	@Override
	protected void decode(ChannelHandlerContext ctx, ByteBuf buffer, List<Object> out) throws Exception {
		super.decode(ctx, buffer, out);
		this.isHeadIncomplete &= out.isEmpty();
	}

	@Override
	protected boolean isContentAlwaysEmpty(HttpMessage message) {
		boolean isInterim = message instanceof HttpResponse response
				&& response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
		return (this.isHeadRequest && !isInterim) || super.isContentAlwaysEmpty(message);
	}

}
