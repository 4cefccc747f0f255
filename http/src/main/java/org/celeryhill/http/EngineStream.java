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
 * Event stream of one attempt on an engine. Events are delivered on the I/O thread of the
 * connection or on the thread that calls {@link #request}. Reading from the connection
 * pauses while undelivered events exceed the demand of the subscriber. Thread-safe.
 */
final class EngineStream implements StreamListener, Subscription {

	/** Maximum number of bytes kept of an error response; the rest is discarded. */
	private static final int MAX_ERROR_BYTES = 8 * 1024;

	private final AttemptId attempt;

	private final Subscriber<? super GenerateEvent> subscriber;

	/** Events that were read but not delivered to the subscriber yet. */
	private final Queue<GenerateEvent> waiting = new ConcurrentLinkedQueue<>();

	/** Number of events that the subscriber has requested and not received. */
	private final AtomicLong requested = new AtomicLong();

	/**
	 * Number of calls of {@link #drain()} that have not been handled. The thread that
	 * increments it from 0 delivers the events, so that deliveries never overlap.
	 */
	private final AtomicInteger pendingDrains = new AtomicInteger();

	/** Parser of the response body, used on the I/O thread only. */
	private final EventStreamParser parser = new EventStreamParser();

	/** Events parsed from the current chunk, used on the I/O thread only. */
	private final List<GenerateEvent> parsedEvents = new ArrayList<>();

	/**
	 * Start of the body of a response with a status other than 200, used on the I/O
	 * thread only.
	 */
	private final ByteArrayOutputStream errorBody = new ByteArrayOutputStream(0);

	/** HTTP call of the stream, null until it was started. */
	private volatile StreamCall call;

	/**
	 * HTTP status, 0 until the response head was received. Used on the I/O thread only.
	 */
	private int status;

	/**
	 * Whether the response head states that the request did not run. Used on the I/O
	 * thread only.
	 */
	private boolean isNotRun;

	/**
	 * Whether the end or failure event was queued; later events are discarded. Used on
	 * the I/O thread only.
	 */
	private boolean isLastEventQueued;

	/**
	 * Whether the stream completed or was cancelled, so that nothing more is delivered.
	 */
	private volatile boolean isTerminated;

	/** Whether reading is paused until the subscriber requests more events. */
	private volatile boolean isPaused;

	private EngineStream(AttemptId attempt, Subscriber<? super GenerateEvent> subscriber) {
		this.attempt = attempt;
		this.subscriber = subscriber;
	}

	/**
	 * Returns the events of a stream. Each subscription sends its own request.
	 * @param starter starts the HTTP call of a subscription, not null
	 * @param attempt the attempt whose events are read, not null
	 * @return the events, ending with an {@code End} or {@code Failed} event; errors are
	 * never signalled through {@code onError}
	 */
	static Flowable<GenerateEvent> toFlowable(RequestStarter starter, AttemptId attempt) {
		return Flowable.fromPublisher((subscriber) -> {
			EngineStream stream = new EngineStream(attempt, subscriber);
			subscriber.onSubscribe(stream);
			if (!stream.isTerminated) {
				stream.attachCall(starter.start(stream));
			}
		});
	}

	private void attachCall(StreamCall startedCall) {
		this.call = startedCall;
		if (this.isTerminated) {
			startedCall.cancel();
		}
	}

	@Override
	public void onHead(int statusCode, HeaderMap headers) {
		this.status = statusCode;
		this.isNotRun = HttpHeaderNames.isNotRun(statusCode, headers.getFirst(HttpHeaderNames.EXECUTION));
	}

	@Override
	public void onBytes(ByteBuffer bytes) {
		if (this.status != 200) {
			collectErrorBody(bytes);
			return;
		}
		try {
			this.parser.parse(bytes, this.parsedEvents);
		}
		catch (IOException ex) {
			this.parsedEvents.add(failed(Failure.BROKEN, HttpRequestSender.describe(ex)));
			cancelCall();
		}
		this.parsedEvents.forEach(this::enqueue);
		this.parsedEvents.clear();
		drain();
		pauseIfNoDemand();
	}

	private void collectErrorBody(ByteBuffer bytes) {
		while (bytes.hasRemaining() && this.errorBody.size() < MAX_ERROR_BYTES) {
			this.errorBody.write(bytes.get());
		}
	}

	@Override
	public void onEnd() {
		if (this.status == 200) {
			fail(Failure.BROKEN, "stream ended without an end marker");
		}
		else if (this.isNotRun) {
			fail(Failure.REFUSED, "status " + this.status);
		}
		else {
			boolean isUnknownStream = this.status == 404
					&& HttpEngine.UNKNOWN_STREAM.equals(Json.readErrorCode(this.errorBody.toByteArray()));
			fail(isUnknownStream ? Failure.UNKNOWN_STREAM : Failure.BROKEN, "status " + this.status);
		}
	}

	@Override
	public void onFailure(IOException cause, boolean isPossiblySent) {
		Failure failure = isPossiblySent ? Failure.BROKEN : Failure.NOT_SENT;
		fail(this.isNotRun ? Failure.REFUSED : failure, HttpRequestSender.describe(cause));
	}

	private void fail(Failure failure, String detail) {
		enqueue(failed(failure, detail));
		drain();
	}

	private void enqueue(GenerateEvent event) {
		if (!this.isLastEventQueued) {
			this.isLastEventQueued = !(event instanceof GenerateEvent.Token);
			this.waiting.add(event);
		}
	}

	private void pauseIfNoDemand() {
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
		this.isTerminated = true;
		cancelCall();
	}

	private void cancelCall() {
		StreamCall current = this.call;
		if (current != null) {
			current.cancel();
		}
	}

	private void drain() {
		if (this.pendingDrains.getAndIncrement() != 0) {
			return;
		}
		int missed = 1;
		while (missed != 0) {
			deliver();
			missed = this.pendingDrains.addAndGet(-missed);
		}
	}

	private void deliver() {
		long delivered = 0;
		long limit = this.requested.get();
		while (!this.isTerminated && delivered < limit) {
			GenerateEvent event = this.waiting.poll();
			if (event == null) {
				break;
			}
			delivered++;
			this.subscriber.onNext(event);
			if (!(event instanceof GenerateEvent.Token) && !this.isTerminated) {
				this.isTerminated = true;
				this.subscriber.onComplete();
			}
		}
		BackpressureHelper.produced(this.requested, delivered);
	}

	private GenerateEvent failed(Failure failure, String detail) {
		return new GenerateEvent.Failed(this.attempt, failure, detail);
	}

	/** Starts the HTTP call of a stream. */
	interface RequestStarter {

		StreamCall start(StreamListener listener);

	}

}
