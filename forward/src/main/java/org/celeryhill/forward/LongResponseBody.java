package org.celeryhill.forward;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultHttpContent;

/**
 * The body of a long response, which is handed to the connection in parts as the caller
 * takes them. The rest stays on the heap, as the connection copies what it is given to
 * direct memory.
 */
final class LongResponseBody {

	/** Size of a part. A body up to it is no long one. */
	private static final int MAX_PART_BYTES = 65_536;

	private final ChannelHandlerContext context;

	private final RequestHandler handler;

	private final ByteBuf body;

	private boolean isWriting;

	// Takes over the ownership of the body. It must be released.
	LongResponseBody(ChannelHandlerContext context, RequestHandler handler, ByteBuf body) {
		this.context = context;
		this.handler = handler;
		this.body = body;
		handler.addUnwrittenBytes(body.writerIndex());
	}

	static boolean isLong(ByteBuf body) {
		return body.readableBytes() > MAX_PART_BYTES;
	}

	// Hands as much to the connection as it takes. Returns whether it took any.
	boolean write() {
		int start = this.body.readerIndex();
		this.isWriting = true;
		while (this.body.isReadable() && this.context.channel().isWritable()) {
			int count = Math.min(MAX_PART_BYTES, this.body.readableBytes());
			this.context.writeAndFlush(new DefaultHttpContent(this.body.readRetainedSlice(count)));
		}
		this.isWriting = false;
		return this.body.readerIndex() > start;
	}

	// Returns whether write() is running. It may change whether the connection is
	// writable, which must not start it anew.
	boolean isWriting() {
		return this.isWriting;
	}

	// Returns the size of what is not yet handed over.
	int remainingBytes() {
		return this.body.readableBytes();
	}

	void release() {
		this.handler.addUnwrittenBytes(-this.body.writerIndex());
		this.body.release();
	}

}
