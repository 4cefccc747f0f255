package org.celeryhill.standin;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;

import io.reactivex.rxjava3.core.FlowableSubscriber;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import org.celeryhill.base.Execution;
import org.celeryhill.http.GenerateEventCodec;
import org.celeryhill.http.HttpResponses;
import org.celeryhill.port.GenerateEvent;
import org.celeryhill.port.GenerateEvent.Failed;
import org.celeryhill.port.GenerateEvent.Failure;
import org.reactivestreams.Subscription;
import org.xnio.channels.StreamSinkChannel;

/**
 * Writes the events of an engine's stream to an HTTP response without blocking. Queued
 * events are written in batches on the I/O thread of the connection, and as many new ones
 * are then requested from the source. Thread-safe.
 */
final class EventStreamWriter implements FlowableSubscriber<GenerateEvent> {

	/** Most events that are queued before they are written. */
	private static final int MAX_QUEUED_EVENTS = 64;

	/** Exchange whose response is written. */
	private final HttpServerExchange exchange;

	/** Events that have not been written yet. */
	private final Queue<GenerateEvent> queue = new ConcurrentLinkedQueue<>();

	/** Whether a write is scheduled on the I/O thread. */
	private final AtomicBoolean isWriteScheduled = new AtomicBoolean();

	/** Source of the events. */
	private Subscription subscription;

	/**
	 * Channel of the response, used on the I/O thread only, null before the first write.
	 */
	private StreamSinkChannel channel;

	/** Encoded events that are being written, used on the I/O thread only. */
	private ByteBuffer buffer = ByteBuffer.allocate(0);

	/** Whether the end event was taken from the queue, used on the I/O thread only. */
	private boolean isEnded;

	/** Whether the response is finished or aborted, used on the I/O thread only. */
	private boolean isClosed;

	EventStreamWriter(HttpServerExchange exchange) {
		this.exchange = exchange;
	}

	@Override
	public void onSubscribe(Subscription source) {
		this.subscription = source;
		source.request(MAX_QUEUED_EVENTS);
	}

	@Override
	public void onNext(GenerateEvent event) {
		this.queue.add(event);
		if (this.isWriteScheduled.compareAndSet(false, true)) {
			this.exchange.getIoThread().execute(this::continueWriting);
		}
	}

	@Override
	public void onError(Throwable error) {
		this.exchange.getIoThread().execute(this::abort);
	}

	@Override
	public void onComplete() {
		// The last event already states how the stream ended.
	}

	private void continueWriting() {
		this.isWriteScheduled.set(false);
		if (this.isClosed) {
			return;
		}
		try {
			writeQueuedEvents();
		}
		catch (IOException ex) {
			abort();
		}
	}

	private void writeQueuedEvents() throws IOException {
		while (this.buffer.hasRemaining() || fillBuffer()) {
			if (this.channel.write(this.buffer) == 0) {
				this.channel.resumeWrites();
				return;
			}
		}
		if (this.isClosed || this.channel == null) {
			return;
		}
		if (this.isEnded) {
			this.channel.shutdownWrites();
		}
		if (!this.channel.flush()) {
			this.channel.resumeWrites();
			return;
		}
		this.channel.suspendWrites();
		if (this.isEnded) {
			this.isClosed = true;
			this.exchange.endExchange();
		}
	}

	private boolean fillBuffer() {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream(256);
		int count = 0;
		for (GenerateEvent event = this.queue.poll(); event != null; event = this.queue.poll()) {
			count++;
			if (event instanceof Failed failed) {
				sendFailure(failed);
				return false;
			}
			bytes.writeBytes(GenerateEventCodec.encode(event));
			this.isEnded |= event instanceof GenerateEvent.End;
		}
		if (count == 0) {
			return false;
		}
		if (this.channel == null) {
			startResponse();
		}
		this.subscription.request(count);
		this.buffer = ByteBuffer.wrap(bytes.toByteArray());
		return true;
	}

	private void startResponse() {
		this.exchange.setStatusCode(200);
		this.exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, GenerateEventCodec.CONTENT_TYPE);
		this.channel = this.exchange.getResponseChannel();
		this.channel.getWriteSetter().set((ignored) -> continueWriting());
	}

	private void sendFailure(Failed failed) {
		if (this.channel != null || failed.failure() == Failure.BROKEN) {
			abort();
			return;
		}
		this.isClosed = true;
		if (failed.failure() == Failure.UNKNOWN_STREAM) {
			HttpResponses.sendError(this.exchange, 404, "unknown_stream", failed.detail(), Execution.UNKNOWN);
		}
		else {
			HttpExchanges.sendNotRun(this.exchange, failed.detail());
		}
	}

	private void abort() {
		this.isClosed = true;
		this.subscription.cancel();
		HttpExchanges.dropConnection(this.exchange);
	}

}
