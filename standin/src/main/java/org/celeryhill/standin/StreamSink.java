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
import org.celeryhill.http.HttpErrors;
import org.celeryhill.http.StreamFormat;
import org.celeryhill.port.GenerateEvent;
import org.celeryhill.port.GenerateEvent.Failed;
import org.celeryhill.port.GenerateEvent.Failure;
import org.reactivestreams.Subscription;
import org.xnio.channels.StreamSinkChannel;

/**
 * Writes the events of an engine's stream to an HTTP answer without blocking. Events are
 * written on the I/O thread of the connection, several at a time, and requested as they
 * are written. Thread-safe.
 */
final class StreamSink implements FlowableSubscriber<GenerateEvent> {

	/** Events that may wait to be written. */
	private static final int MAX_WAITING = 64;

	/** Exchange whose answer is written. */
	private final HttpServerExchange exchange;

	/** Events that wait. */
	private final Queue<GenerateEvent> queue = new ConcurrentLinkedQueue<>();

	/** Set while a write is scheduled on the I/O thread. */
	private final AtomicBoolean isScheduled = new AtomicBoolean();

	/** Source of the events. */
	private Subscription subscription;

	/** Answer, used on the I/O thread only, null before the first write. */
	private StreamSinkChannel channel;

	/** Bytes being written, used on the I/O thread only. */
	private ByteBuffer current = ByteBuffer.allocate(0);

	/** Whether the end marker was taken, used on the I/O thread only. */
	private boolean isEnded;

	/** Whether nothing more is written, used on the I/O thread only. */
	private boolean isClosed;

	StreamSink(HttpServerExchange exchange) {
		this.exchange = exchange;
	}

	@Override
	public void onSubscribe(Subscription source) {
		this.subscription = source;
		source.request(MAX_WAITING);
	}

	@Override
	public void onNext(GenerateEvent event) {
		this.queue.add(event);
		if (this.isScheduled.compareAndSet(false, true)) {
			this.exchange.getIoThread().execute(this::drain);
		}
	}

	@Override
	public void onError(Throwable error) {
		this.exchange.getIoThread().execute(this::breakOff);
	}

	@Override
	public void onComplete() {
		// The last event says how the stream ended.
	}

	private void drain() {
		this.isScheduled.set(false);
		if (this.isClosed) {
			return;
		}
		try {
			writePending();
		}
		catch (IOException ex) {
			breakOff();
		}
	}

	private void writePending() throws IOException {
		while (this.current.hasRemaining() || fill()) {
			if (this.channel.write(this.current) == 0) {
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

	private boolean fill() {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream(256);
		int count = 0;
		for (GenerateEvent event = this.queue.poll(); event != null; event = this.queue.poll()) {
			count++;
			if (event instanceof Failed failed) {
				fail(failed);
				return false;
			}
			bytes.writeBytes(StreamFormat.write(event));
			this.isEnded |= event instanceof GenerateEvent.End;
		}
		if (count == 0) {
			return false;
		}
		if (this.channel == null) {
			open();
		}
		this.subscription.request(count);
		this.current = ByteBuffer.wrap(bytes.toByteArray());
		return true;
	}

	private void open() {
		this.exchange.setStatusCode(200);
		this.exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, StreamFormat.CONTENT_TYPE);
		this.channel = this.exchange.getResponseChannel();
		this.channel.getWriteSetter().set((ignored) -> drain());
	}

	private void fail(Failed failed) {
		if (this.channel != null || failed.failure() == Failure.BROKEN) {
			breakOff();
			return;
		}
		this.isClosed = true;
		if (failed.failure() == Failure.UNKNOWN_STREAM) {
			HttpErrors.send(this.exchange, 404, "unknown_stream", failed.detail(), Execution.UNKNOWN);
		}
		else {
			Exchanges.sendNotRun(this.exchange, failed.detail());
		}
	}

	private void breakOff() {
		this.isClosed = true;
		this.subscription.cancel();
		Exchanges.dropAnswer(this.exchange);
	}

}
