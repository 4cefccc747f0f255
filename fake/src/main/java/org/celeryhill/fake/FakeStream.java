package org.celeryhill.fake;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

import io.reactivex.rxjava3.core.Flowable;
import org.celeryhill.base.PriorityClass;
import org.celeryhill.port.GenerateEvent;
import org.celeryhill.port.GenerateEvent.Failure;
import org.celeryhill.port.GenerateRequest;

/**
 * Stream of a fake engine. Tokens are computed from their offset, so that readers can
 * start at any offset, also after the end. The batch changes the state under its lock;
 * readers run on any thread.
 */
final class FakeStream {

	/** Request that started the stream. */
	private final GenerateRequest request;

	/** Seed from which the token texts are generated. */
	private final long outputSeed;

	/** Number of tokens of the complete output. */
	private final int length;

	/** Sequence number of the arrival at the engine. */
	private final long arrival;

	/** Attached readers. */
	private final List<FakeStreamReader> readers = new CopyOnWriteArrayList<>();

	/** Number of prompt tokens that are not prefilled yet. */
	private int prefillLeft;

	/** Offset after the last generated token. */
	private volatile int produced;

	/** Reason why the stream broke, null if it did not. */
	private volatile Failure failure;

	FakeStream(GenerateRequest request, long arrival) {
		this.request = request;
		this.arrival = arrival;
		this.outputSeed = FakeTokens.outputSeed(request);
		this.length = Math.max(request.continuationTokens(),
				Math.min(request.maxTokens(), FakeTokens.naturalLength(this.outputSeed)));
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

	String inputText() {
		return this.request.prompt() + this.request.continuation();
	}

	/**
	 * Returns the prompt and the output generated so far.
	 * @return the text, never null
	 */
	String textSoFar() {
		StringBuilder text = new StringBuilder(inputText());
		int end = this.produced;
		for (int i = this.request.continuationTokens(); i < end; i++) {
			text.append(FakeTokens.tokenText(this.outputSeed, i));
		}
		return text.toString();
	}

	/**
	 * Returns the KV cache that the stream needs for its prompt and complete output.
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

	void produceToken() {
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
		return new GenerateEvent.Token(this.request.attempt(), offset, FakeTokens.tokenText(this.outputSeed, offset));
	}

	GenerateEvent endEvent() {
		boolean isStop = this.length < this.request.maxTokens();
		return new GenerateEvent.End(this.request.attempt(), this.length, isStop ? "stop" : "length");
	}

	boolean isCompleteAt(int offset) {
		return offset >= this.length && this.produced >= this.length;
	}

	/** Delivers the available events to all readers. */
	void deliverToReaders() {
		this.readers.forEach(FakeStreamReader::drain);
	}

	/**
	 * Returns the events from an offset on; each subscription attaches one reader.
	 * @param offset the offset of the first token
	 * @param fault the fault of the delivery, not null
	 * @return the events, never null
	 */
	Flowable<GenerateEvent> readEvents(int offset, FakeStreamReader.StreamFault fault) {
		return Flowable.fromPublisher((subscriber) -> {
			FakeStreamReader reader = new FakeStreamReader(this, subscriber, offset, fault);
			this.readers.add(reader);
			subscriber.onSubscribe(reader);
			reader.drain();
		});
	}

	void detach(FakeStreamReader reader) {
		this.readers.remove(reader);
	}

}
