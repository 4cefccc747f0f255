package org.celeryhill.fake;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

import io.reactivex.rxjava3.core.Flowable;
import org.celeryhill.base.PriorityClass;
import org.celeryhill.port.GenerateEvent;
import org.celeryhill.port.GenerateEvent.Failure;
import org.celeryhill.port.GenerateRequest;

/**
 * One stream of a fake engine. Tokens are computed from their offset, so that any part
 * can be read again. The engine changes the state under its lock; readers run on any
 * thread.
 */
final class FakeStream {

	/** Request that started the stream. */
	private final GenerateRequest request;

	/** Value that the token texts are drawn from. */
	private final long basis;

	/** Tokens of the complete answer. */
	private final int length;

	/** Order of arrival at the engine. */
	private final long arrival;

	/** Readers that are attached. */
	private final List<FakeStreamReader> readers = new CopyOnWriteArrayList<>();

	/** Tokens of the prompt that are still to be prefilled. */
	private int prefillLeft;

	/** Offset after the last token that exists. */
	private volatile int produced;

	/** Why the stream broke, null if it did not. */
	private volatile Failure failure;

	FakeStream(GenerateRequest request, long arrival) {
		this.request = request;
		this.arrival = arrival;
		this.basis = FakeTokens.outputSeed(request);
		this.length = Math.max(request.continuationTokens(),
				Math.min(request.maxTokens(), FakeTokens.naturalLength(this.basis)));
		this.produced = request.continuationTokens();
	}

	GenerateRequest request() {
		return this.request;
	}

	PriorityClass priority() {
		return this.request.priority();
	}

	long arrival() {
		return this.arrival;
	}

	String cacheText() {
		return this.request.prompt() + this.request.continuation();
	}

	/**
	 * Returns the prompt and everything that was generated so far.
	 * @return the text, never null
	 */
	String wholeText() {
		StringBuilder text = new StringBuilder(cacheText());
		int end = this.produced;
		for (int i = this.request.continuationTokens(); i < end; i++) {
			text.append(FakeTokens.tokenText(this.basis, i));
		}
		return text.toString();
	}

	/**
	 * Returns the KV cache that the stream needs in all.
	 * @return the size in tokens
	 */
	long kvTokens() {
		return (long) FakeTokens.promptTokens(this.request.prompt()) + this.length;
	}

	void setPrefillLeft(int tokens) {
		this.prefillLeft = tokens;
	}

	int prefillLeft() {
		return this.prefillLeft;
	}

	void produce() {
		this.produced++;
	}

	void fail(Failure reason) {
		this.failure = reason;
	}

	boolean isEnded() {
		return this.produced >= this.length || this.failure != null;
	}

	int produced() {
		return this.produced;
	}

	Failure failure() {
		return this.failure;
	}

	GenerateEvent token(int offset) {
		return new GenerateEvent.Token(this.request.attempt(), offset, FakeTokens.tokenText(this.basis, offset));
	}

	GenerateEvent end() {
		boolean isStop = this.length < this.request.maxTokens();
		return new GenerateEvent.End(this.request.attempt(), this.length, isStop ? "stop" : "length");
	}

	boolean isWhole(int offset) {
		return offset >= this.length && this.produced >= this.length;
	}

	/** Delivers what exists to all readers. */
	void deliver() {
		this.readers.forEach(FakeStreamReader::drain);
	}

	/**
	 * Returns the events from an offset on.
	 * @param offset the offset of the first token
	 * @param disturbance what happens to the events on their way, not null
	 * @return the events, never null
	 */
	Flowable<GenerateEvent> events(int offset, FakeStreamReader.Disturbance disturbance) {
		return Flowable.fromPublisher((subscriber) -> {
			FakeStreamReader reader = new FakeStreamReader(this, subscriber, offset, disturbance);
			this.readers.add(reader);
			subscriber.onSubscribe(reader);
			reader.drain();
		});
	}

	void detach(FakeStreamReader reader) {
		this.readers.remove(reader);
	}

}
