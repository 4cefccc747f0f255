package org.celeryhill.entry;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Objects;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import org.celeryhill.base.EventLog;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;

/**
 * Writes server-sent events to a caller without blocking. Events may be added on any
 * thread and are written in batches on the I/O thread of the connection. A caller that
 * reads too slowly is disconnected when too many bytes are queued. Thread-safe.
 */
final class SseChannel {

	/** Log of this class. */
	private static final EventLog LOG = EventLog.of(SseChannel.class);

	/** Size up to which queued events are combined into one write, in bytes. */
	private static final int MAX_WRITE_BYTES = 16 * 1024;

	/** Exchange whose response is written. */
	private final HttpServerExchange exchange;

	/** Maximum number of queued bytes. */
	private final int maxPendingBytes;

	/** Write batch of the I/O thread. */
	private final FlushBatch flushBatch;

	/** Called once if the connection breaks before the last event was written. */
	private final Runnable onBroken;

	/** Queued events. */
	private final Queue<byte[]> queue = new ConcurrentLinkedQueue<>();

	/** Number of queued bytes. */
	private final AtomicInteger pendingBytes = new AtomicInteger();

	/** Whether a write is scheduled on the I/O thread. */
	private final AtomicBoolean isScheduled = new AtomicBoolean();

	/** Set once the last event was added. */
	private volatile boolean isFinished;

	/** Set once the response has ended or the connection is broken. */
	private volatile boolean isClosed;

	/** Set once the response has started; only later events are delayed by the batch. */
	private volatile boolean isStarted;

	/** Response channel, only used on the I/O thread, null before the first write. */
	private StreamSinkChannel channel;

	/** Bytes that are being written, only used on the I/O thread. */
	private ByteBuffer currentBuffer = ByteBuffer.allocate(0);

	SseChannel(HttpServerExchange exchange, FlushBatch flushBatch, int maxPendingBytes, Runnable onBroken) {
		this.flushBatch = Objects.requireNonNull(flushBatch, "flushBatch");
		this.exchange = Objects.requireNonNull(exchange, "exchange");
		this.maxPendingBytes = maxPendingBytes;
		this.onBroken = Objects.requireNonNull(onBroken, "onBroken");
	}

	/**
	 * Adds an event.
	 * @param event the encoded event including its line ends, not null; not copied
	 */
	void enqueue(byte[] event) {
		if (this.isClosed) {
			return;
		}
		this.queue.add(event);
		if (this.pendingBytes.addAndGet(event.length) > this.maxPendingBytes) {
			LOG.info("slow_caller_disconnected", "pending", this.pendingBytes.get());
			runOnIoThread(this::disconnect);
			return;
		}
		if (this.isStarted) {
			this.flushBatch.scheduleWrite(this);
		}
		else {
			scheduleWrite();
		}
	}

	/** Ends the response after all added events were written. */
	void finish() {
		this.isFinished = true;
		scheduleWrite();
	}

	private void scheduleWrite() {
		if (this.isScheduled.compareAndSet(false, true)) {
			runOnIoThread(this::writeQueued);
		}
	}

	private void runOnIoThread(Runnable task) {
		try {
			this.exchange.getIoThread().execute(task);
		}
		catch (RejectedExecutionException ex) {
			// The server has stopped and closed the connection.
			this.isClosed = true;
		}
	}

	/** Writes the queued events. Must be called on the I/O thread. */
	void writeQueued() {
		this.isScheduled.set(false);
		if (this.isClosed) {
			return;
		}
		try {
			if (this.channel == null) {
				startResponse();
			}
			writePending();
		}
		catch (IOException ex) {
			disconnect();
		}
	}

	private void startResponse() {
		this.exchange.setStatusCode(200);
		this.exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/event-stream; charset=utf-8");
		this.exchange.getResponseHeaders().put(Headers.CACHE_CONTROL, "no-store");
		this.channel = this.exchange.getResponseChannel();
		this.isStarted = true;
		this.channel.getWriteSetter().set((ignored) -> writeQueued());
	}

	private void writePending() throws IOException {
		while (this.currentBuffer.hasRemaining() || fillBuffer()) {
			if (this.channel.write(this.currentBuffer) == 0) {
				this.channel.resumeWrites();
				return;
			}
		}
		boolean isLast = this.isFinished && this.queue.isEmpty();
		if (isLast) {
			this.channel.shutdownWrites();
		}
		if (!this.channel.flush()) {
			this.channel.resumeWrites();
			return;
		}
		if (this.channel.isWriteResumed()) {
			this.channel.suspendWrites();
		}
		if (isLast) {
			this.isClosed = true;
			this.exchange.endExchange();
		}
	}

	private boolean fillBuffer() {
		byte[] event = this.queue.poll();
		if (event == null) {
			return false;
		}
		byte[] next = this.queue.peek();
		if (next == null) {
			this.currentBuffer = ByteBuffer.wrap(event);
			this.pendingBytes.addAndGet(-event.length);
			return true;
		}
		int waiting = Math.min(this.pendingBytes.get(), MAX_WRITE_BYTES);
		ByteBuffer buffer = ByteBuffer.allocate(Math.max(event.length, waiting));
		buffer.put(event);
		while (next != null && next.length <= buffer.remaining()) {
			buffer.put(this.queue.poll());
			next = this.queue.peek();
		}
		buffer.flip();
		this.pendingBytes.addAndGet(-buffer.limit());
		this.currentBuffer = buffer;
		return true;
	}

	private void disconnect() {
		if (this.isClosed) {
			return;
		}
		this.isClosed = true;
		this.queue.clear();
		IoUtils.safeClose(this.exchange.getConnection());
		this.onBroken.run();
	}

}
