package org.celeryhill.forward;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * The body of a response that is passed on to its caller before it is complete. Keeps
 * what the connection of the caller does not take yet. Must be used on the event loop.
 */
final class PassedResponse {

	private static final int MAX_PART_BYTES = 65_536;

	private final ResponseChannel channel;

	private final ResponseBuffers buffers;

	private ByteBuf unwritten = Unpooled.EMPTY_BUFFER;

	private int countedBytes;

	private long totalBytes;

	private long writtenBytes;

	private long lastWrittenBytes;

	PassedResponse(ResponseChannel channel, ResponseBuffers buffers) {
		this.channel = channel;
		this.buffers = buffers;
	}

	// Adds bytes and returns the size of the body so far.
	long add(ByteBuf bytes) {
		this.totalBytes += bytes.readableBytes();
		keep(this.unwritten.isReadable() ? Unpooled.copiedBuffer(this.unwritten, bytes) : Unpooled.copiedBuffer(bytes));
		return this.totalBytes;
	}

	private void keep(ByteBuf bytes) {
		this.unwritten = bytes;
		this.buffers.addUnwritten(bytes.capacity() - this.countedBytes);
		this.countedBytes = bytes.capacity();
	}

	// Hands over as much as the connection takes. Returns whether it takes more.
	boolean write() {
		boolean isWritable = true;
		while (isWritable && this.unwritten.isReadable()) {
			byte[] part = new byte[Math.min(MAX_PART_BYTES, this.unwritten.readableBytes())];
			this.unwritten.readBytes(part);
			this.writtenBytes += part.length;
			isWritable = this.channel.write(part);
		}
		if (isWritten()) {
			release();
		}
		return isWritable && isWritten();
	}

	// Drops what the connection has not taken.
	void release() {
		keep(Unpooled.EMPTY_BUFFER);
	}

	boolean isWritten() {
		return !this.unwritten.isReadable();
	}

	// Returns whether bytes were handed over since the last call.
	boolean hasProgressed() {
		boolean hasProgressed = this.writtenBytes > this.lastWrittenBytes;
		this.lastWrittenBytes = this.writtenBytes;
		return hasProgressed;
	}

}
