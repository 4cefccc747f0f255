package org.celeryhill.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.internal.util.BackpressureHelper;
import io.undertow.util.HeaderMap;
import org.celeryhill.base.AttemptId;
import org.celeryhill.port.GenerateEvent;
import org.celeryhill.port.GenerateEvent.Failure;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;

/**
 * One stream of an engine. Events are delivered on the I/O thread of the connection, or
 * on the thread that requests more; reading pauses while more events wait than were
 * requested. Thread-safe.
 */
final class EngineStream implements StreamListener, Subscription {

	/** Most bytes of an error document. */
	private static final int MAX_ERROR_BYTES = 8 * 1024;

	/** Attempt whose events are read. */
	private final AttemptId attempt;

	/** Receiver of the events. */
	private final Subscriber<? super GenerateEvent> subscriber;

	/** Events that were read and not delivered. */
	private final Queue<GenerateEvent> waiting = new ConcurrentLinkedQueue<>();

	/** Events that the receiver can take. */
	private final AtomicLong requested = new AtomicLong();

	/**
	 * Number of reasons to look for events; the thread that raises it from 0 delivers.
	 */
	private final AtomicInteger work = new AtomicInteger();

	/** Splits the bytes into events, used on the I/O thread only. */
	private final EventStreamParser parser = new EventStreamParser();

	/** Events of one read, used on the I/O thread only. */
	private final List<GenerateEvent> parsed = new ArrayList<>();

	/** Body of an answer that is not a stream, used on the I/O thread only. */
	private final ByteArrayOutputStream error = new ByteArrayOutputStream(0);

	/** Exchange, null until it was started. */
	private volatile StreamCall call;

	/** HTTP status, 0 before the head. Used on the I/O thread only. */
	private int status;

	/**
	 * Whether the head says that the request did not run. Used on the I/O thread only.
	 */
	private boolean isNotRun;

	/** Whether the last event was read. Used on the I/O thread only. */
	private boolean isEnded;

	/** Whether nothing more may be delivered. */
	private volatile boolean isDone;

	/** Whether reading is paused until more is requested. */
	private volatile boolean isPaused;

	private EngineStream(AttemptId attempt, Subscriber<? super GenerateEvent> subscriber) {
		this.attempt = attempt;
		this.subscriber = subscriber;
	}

	/**
	 * Returns the events of a stream. The request is sent for each subscriber when it
	 * subscribes.
	 * @param starter sends the request, not null
	 * @param attempt the attempt whose events are read, not null
	 * @return the events, ending with an end marker or a failure; never signals an error
	 */
	static Flowable<GenerateEvent> events(Starter starter, AttemptId attempt) {
		return Flowable.fromPublisher((subscriber) -> {
			EngineStream stream = new EngineStream(attempt, subscriber);
			subscriber.onSubscribe(stream);
			if (!stream.isDone) {
				stream.started(starter.start(stream));
			}
		});
	}

	private void started(StreamCall started) {
		this.call = started;
		if (this.isDone) {
			started.cancel();
		}
	}

	@Override
	public void onHead(int code, HeaderMap headers) {
		this.status = code;
		this.isNotRun = HttpHeaderNames.isNotRun(code, headers.getFirst(HttpHeaderNames.EXECUTION));
	}

	@Override
	public void onBytes(ByteBuffer bytes) {
		if (this.status != 200) {
			readError(bytes);
			return;
		}
		try {
			this.parser.feed(bytes, this.parsed);
		}
		catch (IOException ex) {
			this.parsed.add(failed(Failure.BROKEN, HttpExchange.describe(ex)));
			cancelCall();
		}
		this.parsed.forEach(this::add);
		this.parsed.clear();
		drain();
		pauseIfFull();
	}

	private void readError(ByteBuffer bytes) {
		while (bytes.hasRemaining() && this.error.size() < MAX_ERROR_BYTES) {
			this.error.write(bytes.get());
		}
	}

	@Override
	public void onEnd() {
		if (this.status == 200) {
			end(Failure.BROKEN, "stream ended without an end marker");
		}
		else if (this.isNotRun) {
			end(Failure.REFUSED, "status " + this.status);
		}
		else {
			boolean isUnknown = this.status == 404
					&& HttpEngine.UNKNOWN_STREAM.equals(Json.readErrorCode(this.error.toByteArray()));
			end(isUnknown ? Failure.UNKNOWN_STREAM : Failure.BROKEN, "status " + this.status);
		}
	}

	@Override
	public void onFailure(IOException cause, boolean isSent) {
		Failure failure = isSent ? Failure.BROKEN : Failure.NOT_SENT;
		end(this.isNotRun ? Failure.REFUSED : failure, HttpExchange.describe(cause));
	}

	private void end(Failure failure, String detail) {
		add(failed(failure, detail));
		drain();
	}

	private void add(GenerateEvent event) {
		if (!this.isEnded) {
			this.isEnded = !(event instanceof GenerateEvent.Token);
			this.waiting.add(event);
		}
	}

	private void pauseIfFull() {
		if (this.requested.get() > 0 || this.waiting.isEmpty()) {
			return;
		}
		this.isPaused = true;
		StreamCall current = this.call;
		if (current != null) {
			current.pause();
		}
		if (this.requested.get() > 0) {
			resumeIfPaused();
		}
	}

	private void resumeIfPaused() {
		StreamCall current = this.call;
		if (this.isPaused && current != null) {
			this.isPaused = false;
			current.resume();
		}
	}

	@Override
	public void request(long count) {
		if (count > 0) {
			BackpressureHelper.add(this.requested, count);
			drain();
			resumeIfPaused();
		}
	}

	@Override
	public void cancel() {
		this.isDone = true;
		cancelCall();
	}

	private void cancelCall() {
		StreamCall current = this.call;
		if (current != null) {
			current.cancel();
		}
	}

	private void drain() {
		if (this.work.getAndIncrement() != 0) {
			return;
		}
		int missed = 1;
		while (missed != 0) {
			deliver();
			missed = this.work.addAndGet(-missed);
		}
	}

	private void deliver() {
		long delivered = 0;
		long limit = this.requested.get();
		while (!this.isDone && delivered < limit) {
			GenerateEvent event = this.waiting.poll();
			if (event == null) {
				break;
			}
			delivered++;
			this.subscriber.onNext(event);
			if (!(event instanceof GenerateEvent.Token) && !this.isDone) {
				this.isDone = true;
				this.subscriber.onComplete();
			}
		}
		BackpressureHelper.produced(this.requested, delivered);
	}

	private GenerateEvent failed(Failure failure, String detail) {
		return new GenerateEvent.Failed(this.attempt, failure, detail);
	}

	/** Sends the request of a stream. */
	interface Starter {

		StreamCall start(StreamListener listener);

	}

}
