package org.celeryhill.forward;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Decodes the requests of a caller's connection one at a time. While it is paused, what
 * the caller sends waits as received, so that its size in memory is known. Past a limit
 * the connection is no longer read.
 */
final class RequestDecoder extends HttpRequestDecoder {

	/** Bytes that wait on one connection before it is no longer read. */
	private static final int MAX_WAITING_BYTES = 65_536;

	private final IngressServer server;

	private ChannelHandlerContext context;

	private boolean isPaused;

	private boolean isReadingHead;

	private boolean isReadingBody;

	private long headStartNanos;

	/** Memory of the bytes that wait, as counted at the server. */
	private int waitingBytes;

	RequestDecoder(HttpDecoderConfig config, IngressServer server) {
		super(config);
		this.server = server;
	}

	@Override
	public void handlerAdded(ChannelHandlerContext ctx) {
		this.context = ctx;
	}

	@Override
	protected void decode(ChannelHandlerContext ctx, ByteBuf buffer, List<Object> out) throws Exception {
		if (this.isPaused) {
			keepWaiting(buffer);
			return;
		}
		if (!this.isReadingHead && !this.isReadingBody && hasStart(buffer)) {
			this.isReadingHead = true;
			this.headStartNanos = System.nanoTime();
		}
		super.decode(ctx, buffer, out);
		out.forEach(this::recordDecoded);
	}

	// Empty lines before a request are ignored by the superclass.
	private static boolean hasStart(ByteBuf buffer) {
		return buffer.forEachByte((value) -> Character.isISOControl(value) || Character.isWhitespace(value)) >= 0;
	}

	private void recordDecoded(Object message) {
		if (message instanceof HttpRequest) {
			this.isReadingHead = false;
			this.isReadingBody = true;
		}
		if (message instanceof LastHttpContent) {
			this.isReadingBody = false;
		}
	}

	// Returns whether some but not all of a head has been decoded.
	boolean isReadingHead() {
		return this.isReadingHead;
	}

	long headStartNanos() {
		return this.headStartNanos;
	}

	private void keepWaiting(ByteBuf buffer) {
		setWaitingBytes(buffer.capacity());
		if (buffer.readableBytes() >= MAX_WAITING_BYTES || !this.server.isWaitingAllowed()) {
			this.context.channel().config().setAutoRead(false);
		}
	}

	private void setWaitingBytes(int bytes) {
		this.server.addWaitingBytes(bytes - this.waitingBytes);
		this.waitingBytes = bytes;
	}

	// Decodes nothing until resume(), not even what has been received.
	void pause() {
		this.isPaused = true;
	}

	// Decodes what has been received up to the end of a request, and reads on.
	void resume() {
		this.isPaused = false;
		setWaitingBytes(0);
		this.context.channel().config().setAutoRead(true);
		this.context.pipeline().fireChannelRead(Unpooled.EMPTY_BUFFER);
	}

	@Override
	public void channelReadComplete(ChannelHandlerContext ctx) throws Exception {
		if (this.isPaused) {
			// The superclass reads on if it has decoded nothing, even without auto read.
			ctx.fireChannelReadComplete();
			return;
		}
		super.channelReadComplete(ctx);
	}

	@Override
	protected void handlerRemoved0(ChannelHandlerContext ctx) throws Exception {
		setWaitingBytes(0);
		super.handlerRemoved0(ctx);
	}

	/**
	 * Rejects a request with both Content-Length and Transfer-Encoding. Two parsers could
	 * disagree about where it ends, which allows request smuggling.
	 */
	@Override
	protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
		throw new IllegalArgumentException("request has both Content-Length and Transfer-Encoding");
	}

}
