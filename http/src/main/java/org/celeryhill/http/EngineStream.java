package org.celeryhill.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

import io.reactivex.rxjava3.core.Emitter;
import io.reactivex.rxjava3.core.Flowable;
import okhttp3.Call;
import okhttp3.Request;
import okhttp3.Response;
import org.celeryhill.base.AttemptId;
import org.celeryhill.port.GenerateEvent;
import org.celeryhill.port.GenerateEvent.Failure;

/**
 * One stream of an engine, read on the thread that asks for the next event. Only
 * {@link #cancel()} may be called from another thread.
 */
final class EngineStream {

	/** Bytes that are read at once. */
	private static final int READ_BYTES = 8 * 1024;

	/** Attempt whose events are read. */
	private final AttemptId attempt;

	/** Tells whether the request was sent. */
	private final SendTracker tracker = new SendTracker();

	/** The request. */
	private final Call call;

	/** Splits the bytes into events. */
	private final EventStreamParser parser = new EventStreamParser();

	/** Events that were read and not delivered. */
	private final List<GenerateEvent> pending = new ArrayList<>();

	/** Buffer for reading. */
	private final byte[] buffer = new byte[READ_BYTES];

	/** Index of the next event in {@link #pending}. */
	private int next;

	/** Answer, null before the request was sent. */
	private Response response;

	private EngineStream(HttpExchange exchange, Request.Builder request, AttemptId attempt) {
		this.attempt = attempt;
		this.call = exchange.newCall(request.header("Accept", StreamFormat.CONTENT_TYPE), this.tracker);
	}

	/**
	 * Returns the events of a stream. The request is sent for each subscriber when the
	 * first event is asked for, on the thread that asks.
	 * @param exchange sends the request, not null
	 * @param request the request, not null
	 * @param attempt the attempt whose events are read, not null
	 * @return the events, ending with an end marker or a failure; never signals an error
	 */
	static Flowable<GenerateEvent> events(HttpExchange exchange, Request.Builder request, AttemptId attempt) {
		return Flowable.using(() -> new EngineStream(exchange, request, attempt),
				(stream) -> Flowable.generate(stream::emitNext), EngineStream::cancel);
	}

	private void emitNext(Emitter<GenerateEvent> emitter) {
		GenerateEvent event = nextEvent();
		emitter.onNext(event);
		if (!(event instanceof GenerateEvent.Token)) {
			emitter.onComplete();
		}
	}

	private GenerateEvent nextEvent() {
		try {
			if (this.response == null) {
				this.response = this.call.execute();
				if (this.response.code() != 200) {
					return refusal();
				}
			}
			return readEvent();
		}
		catch (IOException ex) {
			Failure failure = this.tracker.isSent() ? Failure.BROKEN : Failure.NOT_SENT;
			return failed(failure, HttpExchange.describe(ex));
		}
	}

	private GenerateEvent readEvent() throws IOException {
		while (this.next == this.pending.size()) {
			this.pending.clear();
			this.next = 0;
			int count = this.response.body().source().read(this.buffer, 0, this.buffer.length);
			if (count < 0) {
				return failed(Failure.BROKEN, "stream ended without an end marker");
			}
			parse(count);
		}
		return this.pending.get(this.next++);
	}

	private void parse(int count) {
		try {
			this.parser.feed(ByteBuffer.wrap(this.buffer, 0, count), this.pending);
		}
		catch (IOException ex) {
			this.pending.add(failed(Failure.BROKEN, HttpExchange.describe(ex)));
		}
	}

	private GenerateEvent refusal() throws IOException {
		int status = this.response.code();
		String detail = "status " + status;
		if (HttpHeaderNames.isNotRun(status, this.response.header(HttpHeaderNames.EXECUTION))) {
			return failed(Failure.REFUSED, detail);
		}
		byte[] body = this.response.peekBody(READ_BYTES).bytes();
		boolean isUnknown = status == 404 && HttpEngine.UNKNOWN_STREAM.equals(Json.errorCode(body));
		return failed(isUnknown ? Failure.UNKNOWN_STREAM : Failure.BROKEN, detail);
	}

	private GenerateEvent failed(Failure failure, String detail) {
		return new GenerateEvent.Failed(this.attempt, failure, detail);
	}

	/**
	 * Closes the connection of the stream. Does not cancel the stream on the engine.
	 */
	void cancel() {
		this.call.cancel();
	}

}
