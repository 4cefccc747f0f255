package org.celeryhill.forward;

import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;

/**
 * The body of one attempt's response. It is kept in memory until the response is
 * complete, or passed on to the caller as it arrives if memory is short. Must be used on
 * the event loop.
 */
final class ResponseBody {

	private final ForwardAttempt attempt;

	private final ResponseChannel channel;

	private final ResponseBuffers buffers;

	/** The bytes that are kept, null if none are. */
	private ByteBuf keptBytes;

	/** The body if it is passed on to the caller before it is complete, else null. */
	private PassedResponse passedResponse;

	/**
	 * Creates an empty body.
	 * @param attempt the attempt that receives the response, not null
	 * @param channel the channel to the caller, not null
	 * @param buffers counts the bytes that are kept, not null
	 */
	ResponseBody(ForwardAttempt attempt, ResponseChannel channel, ResponseBuffers buffers) {
		this.attempt = attempt;
		this.channel = channel;
		this.buffers = buffers;
	}

	/**
	 * Keeps bytes until the response is complete.
	 * @param bytes the bytes, not null
	 * @return the attempt whose response has to be kept no longer, empty if there is
	 * memory for all
	 */
	Optional<ForwardAttempt> keep(ByteBuf bytes) {
		int count = bytes.readableBytes();
		if (this.keptBytes == null) {
			this.keptBytes = Unpooled.buffer(count);
		}
		this.keptBytes.writeBytes(bytes);
		return this.buffers.add(this.attempt, count);
	}

	/**
	 * Returns the number of bytes that are kept.
	 * @return the number of bytes
	 */
	int keptSize() {
		return (this.keptBytes != null) ? this.keptBytes.readableBytes() : 0;
	}

	/**
	 * Returns the bytes that are kept, for sending them to the caller.
	 * @return the bytes, empty if none are kept, never null
	 */
	ByteBuf keptBytes() {
		return (this.keptBytes != null) ? this.keptBytes : Unpooled.EMPTY_BUFFER;
	}

	/**
	 * Returns whether the kept bytes hold the head of the response itself: a part of the
	 * response has broken off and is followed by the same response, sent once more.
	 * @param textBehind the first bytes behind the body, empty if none are known, not
	 * null
	 * @param requestId the id of the request, not null
	 * @return whether the kept bytes hold a head
	 */
	boolean holdsHead(String textBehind, String requestId) {
		return this.keptBytes != null
				&& ResponseHeads.holdsHead(ByteBufUtil.getBytes(this.keptBytes), textBehind, requestId);
	}

	/**
	 * Drops the bytes that are kept.
	 */
	void dropKept() {
		stopCounting();
		this.keptBytes = null;
	}

	/**
	 * Counts the kept bytes no longer, as the attempt has ended.
	 */
	void stopCounting() {
		this.buffers.remove(this.attempt);
	}

	/**
	 * Begins to pass on the body. What was kept is the first part to be passed on.
	 * @return the bytes that were kept, never null
	 */
	ByteBuf startPassing() {
		ByteBuf arrived = keptBytes();
		dropKept();
		this.passedResponse = new PassedResponse(this.channel, this.buffers);
		return arrived;
	}

	/**
	 * Returns whether the body is passed on before it is complete.
	 * @return whether {@link #startPassing()} was called
	 */
	boolean isPassedOn() {
		return this.passedResponse != null;
	}

	/**
	 * Adds bytes to a body that is passed on, without writing them yet.
	 * @param bytes the bytes, not null
	 * @return whether the body is now too long
	 */
	boolean addPassed(ByteBuf bytes) {
		return ResponseBuffers.isTooLong(this.passedResponse.add(bytes));
	}

	/**
	 * Writes as much of a body that is passed on as the caller takes.
	 * @return whether the caller takes more
	 */
	boolean writePassed() {
		return this.passedResponse.write();
	}

	/**
	 * Returns whether the caller has taken all bytes of a body that is passed on.
	 * @return whether no bytes are unwritten
	 */
	boolean isPassedWritten() {
		return this.passedResponse.isWritten();
	}

	/**
	 * Returns whether the caller took bytes of a body that is passed on.
	 * @return whether bytes were written since the last call
	 */
	boolean hasCallerProgressed() {
		return this.passedResponse.hasProgressed();
	}

	/**
	 * Drops the bytes of a body that is passed on that the caller has not taken.
	 */
	void releasePassed() {
		if (this.passedResponse != null) {
			this.passedResponse.release();
		}
	}

}
