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
 * Writes server-sent events without blocking. Events may be added on any thread; they are
 * written on the I/O thread of the connection, several at a time. A caller that reads too
 * slowly is disconnected when more than a fixed number of bytes wait. Thread-safe.
 */
final class SseChannel {

	/** Log of this class. */
	private static final EventLog LOG = EventLog.of(SseChannel.class);

	/** Most bytes that are written at once. */
	private static final int CHUNK_BYTES = 16 * 1024;

	/** Exchange whose response is written. */
	private final HttpServerExchange exchange;

	/** Most bytes that may wait. */
	private final int maxPending;

	/** Writes of the I/O thread that are done together. */
	private final FlushBatch flushes;

	/** Called once if the connection breaks before the end was written. */
	private final Runnable onBroken;

	/** Events that wait. */
	private final Queue<byte[]> queue = new ConcurrentLinkedQueue<>();

	/** Bytes that wait. */
	private final AtomicInteger pending = new AtomicInteger();

	/** Set while a write is scheduled on the I/O thread. */
	private final AtomicBoolean isScheduled = new AtomicBoolean();

	/** Set when the last event was added. */
	private volatile boolean isFinished;

	/** Set when nothing more can be written. */
	private volatile boolean isClosed;

	/** Set once the first event was written, which is not delayed. */
	private volatile boolean isOpened;

	/** Response, only used on the I/O thread, null before the first write. */
	private StreamSinkChannel channel;

	/** Bytes being written, only used on the I/O thread. */
	private ByteBuffer current = ByteBuffer.allocate(0);

	SseChannel(HttpServerExchange exchange, FlushBatch flushes, int maxPending, Runnable onBroken) {
		this.flushes = Objects.requireNonNull(flushes, "flushes");
		this.exchange = Objects.requireNonNull(exchange, "exchange");
		this.maxPending = maxPending;
		this.onBroken = Objects.requireNonNull(onBroken, "onBroken");
	}

	/**
	 * Adds an event.
	 * @param event the event with its line ends, not null; not copied
	 */
	void write(byte[] event) {
		if (this.isClosed) {
			return;
		}
		this.queue.add(event);
		if (this.pending.addAndGet(event.length) > this.maxPending) {
			LOG.info("slow_caller_disconnected", "pending", this.pending.get());
			onIoThread(this::breakOff);
			return;
		}
		if (this.isOpened) {
			this.flushes.add(this);
		}
		else {
			schedule();
		}
	}

	/** Ends the response after the events that were added. */
	void finish() {
		this.isFinished = true;
		schedule();
	}

	private void schedule() {
		if (this.isScheduled.compareAndSet(false, true)) {
			onIoThread(this::drain);
		}
	}

	private void onIoThread(Runnable task) {
		try {
			this.exchange.getIoThread().execute(task);
		}
		catch (RejectedExecutionException ex) {
			// The server has stopped and closed the connection.
			this.isClosed = true;
		}
	}

	/** Writes what waits; only called on the I/O thread. */
	void drain() {
		this.isScheduled.set(false);
		if (this.isClosed) {
			return;
		}
		try {
			if (this.channel == null) {
				open();
			}
			writePending();
		}
		catch (IOException ex) {
			breakOff();
		}
	}

	private void open() {
		this.exchange.setStatusCode(200);
		this.exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/event-stream; charset=utf-8");
		this.exchange.getResponseHeaders().put(Headers.CACHE_CONTROL, "no-store");
		this.channel = this.exchange.getResponseChannel();
		this.isOpened = true;
		this.channel.getWriteSetter().set((ignored) -> drain());
	}

	private void writePending() throws IOException {
		while (this.current.hasRemaining() || fill()) {
			if (this.channel.write(this.current) == 0) {
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

	private boolean fill() {
		byte[] event = this.queue.poll();
		if (event == null) {
			return false;
		}
		byte[] next = this.queue.peek();
		if (next == null) {
			this.current = ByteBuffer.wrap(event);
			this.pending.addAndGet(-event.length);
			return true;
		}
		int waiting = Math.min(this.pending.get(), CHUNK_BYTES);
		ByteBuffer buffer = ByteBuffer.allocate(Math.max(event.length, waiting));
		buffer.put(event);
		while (next != null && next.length <= buffer.remaining()) {
			buffer.put(this.queue.poll());
			next = this.queue.peek();
		}
		buffer.flip();
		this.pending.addAndGet(-buffer.limit());
		this.current = buffer;
		return true;
	}

	private void breakOff() {
		if (this.isClosed) {
			return;
		}
		this.isClosed = true;
		this.queue.clear();
		IoUtils.safeClose(this.exchange.getConnection());
		this.onBroken.run();
	}

}
