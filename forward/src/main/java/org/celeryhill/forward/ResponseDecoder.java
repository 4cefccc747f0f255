package org.celeryhill.forward;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

/**
 * Decodes the responses on a connection that carries one exchange at a time. A head with
 * a line that is not valid HTTP is a failed message. Must be used on the event loop.
 */
final class ResponseDecoder extends HttpResponseDecoder {

	private static final int MAX_TEXT_BYTES = 60;

	private final HeadLineValidator lineValidator = new HeadLineValidator();

	private boolean isHeadRequest;

	private boolean isHeadIncomplete;

	private boolean isReadingBody;

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
		int start = buffer.readerIndex();
		super.decode(ctx, buffer, out);
		if (!this.isReadingBody && !hasFailed(out)) {
			checkHead(buffer, start, out);
		}
		this.isHeadIncomplete &= out.isEmpty();
		for (Object message : out) {
			recordDecoded(message);
		}
	}

	private static boolean hasFailed(List<Object> out) {
		for (Object message : out) {
			if (message instanceof HttpObject object && object.decoderResult().isFailure()) {
				return true;
			}
		}
		return false;
	}

	// The superclass consumes whole lines of a head, and nothing behind it.
	private void checkHead(ByteBuf buffer, int start, List<Object> out) {
		String lines = buffer.toString(start, buffer.readerIndex() - start, StandardCharsets.ISO_8859_1);
		Optional<String> invalidLine = this.lineValidator.findInvalidLine(lines);
		if (invalidLine.isPresent()) {
			buffer.skipBytes(buffer.readableBytes());
			replaceByFailure(invalidLine.get(), out);
		}
	}

	private void replaceByFailure(String line, List<Object> out) {
		out.forEach(ReferenceCountUtil::release);
		out.clear();
		HttpMessage failure = createInvalidMessage();
		String shownLine = line.substring(0, Math.min(MAX_TEXT_BYTES, line.length()));
		failure.setDecoderResult(DecoderResult.failure(new DecoderException("invalid line in the head: " + shownLine)));
		out.add(failure);
	}

	private void recordDecoded(Object message) {
		if (message instanceof HttpResponse) {
			this.isReadingBody = true;
		}
		if (message instanceof LastHttpContent) {
			this.isReadingBody = false;
		}
	}

	@Override
	protected boolean isContentAlwaysEmpty(HttpMessage message) {
		boolean isInterim = message instanceof HttpResponse response
				&& response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
		return (this.isHeadRequest && !isInterim) || super.isContentAlwaysEmpty(message);
	}

}
