package org.celeryhill.fake;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import io.reactivex.rxjava3.internal.util.BackpressureHelper;
import org.celeryhill.base.AttemptId;
import org.celeryhill.port.GenerateEvent;
import org.celeryhill.port.GenerateEvent.Failure;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;

/**
 * Subscription of one reader of a stream. Delivers no more events than requested, with
 * the faults of the reader. Thread-safe.
 */
final class FakeStreamReader implements Subscription {

	/** Stream that is read. */
	private final FakeStream stream;

	/** Receiver of the events. */
	private final Subscriber<? super GenerateEvent> subscriber;

	/** Fault of the delivery. */
	private final StreamFault streamFault;

	/** Number of events that the subscriber has requested and not yet received. */
	private final AtomicLong requested = new AtomicLong();

	/**
	 * Number of calls of {@link #drain} not yet processed; the thread that raises it from
	 * 0 delivers.
	 */
	private final AtomicInteger pendingDrains = new AtomicInteger();

	/** Offset of the next token. Used only by the delivering thread. */
	private int nextOffset;

	/** Whether the first-token fault was applied. Used only by the delivering thread. */
	private boolean isFaultApplied;

	/** Whether the subscription has ended or was cancelled. */
	private volatile boolean isDone;

	FakeStreamReader(FakeStream stream, Subscriber<? super GenerateEvent> subscriber, int offset,
			StreamFault streamFault) {
		this.stream = stream;
		this.subscriber = subscriber;
		this.nextOffset = offset;
		this.streamFault = streamFault;
	}

	@Override
	public void request(long count) {
		if (count > 0) {
			BackpressureHelper.add(this.requested, count);
			drain();
		}
	}

	@Override
	public void cancel() {
		this.isDone = true;
		this.stream.detach(this);
	}

	/** Delivers the available events that were requested. */
	void drain() {
		if (this.pendingDrains.getAndIncrement() != 0) {
			return;
		}
		int missed = 1;
		while (missed != 0) {
			while (!this.isDone && this.requested.get() > 0 && deliverNext()) {
				BackpressureHelper.produced(this.requested, 1);
			}
			missed = this.pendingDrains.addAndGet(-missed);
		}
	}

	private boolean deliverNext() {
		if (this.streamFault.breakOffset() >= 0 && this.nextOffset >= this.streamFault.breakOffset()) {
			return deliverLast(failed(Failure.BROKEN, "connection broken"));
		}
		if (this.nextOffset < this.stream.produced()) {
			deliverToken();
			return true;
		}
		if (this.stream.isCompleteAt(this.nextOffset)) {
			return deliverLast(this.stream.endEvent());
		}
		Failure failure = this.stream.failure();
		return failure != null && deliverLast(failed(failure, "engine dropped the stream"));
	}

	private void deliverToken() {
		GenerateEvent token = this.stream.token(this.nextOffset);
		if (!this.isFaultApplied && this.streamFault.kind() != Fault.NONE) {
			this.isFaultApplied = true;
			this.subscriber.onNext(createFaultyToken(token));
			return;
		}
		this.nextOffset++;
		this.subscriber.onNext(token);
	}

	private GenerateEvent createFaultyToken(GenerateEvent token) {
		if (this.streamFault.kind() == Fault.DUPLICATE) {
			return token;
		}
		return new GenerateEvent.Token(AttemptId.of("stale-" + token.attempt()), this.nextOffset, " stale");
	}

	private boolean deliverLast(GenerateEvent event) {
		this.isDone = true;
		this.stream.detach(this);
		this.subscriber.onNext(event);
		this.subscriber.onComplete();
		return true;
	}

	private GenerateEvent failed(Failure failure, String detail) {
		return new GenerateEvent.Failed(this.stream.request().attempt(), failure, detail);
	}

	/**
	 * Fault of the delivery to one reader.
	 *
	 * @param kind {@link Fault#DUPLICATE} to repeat the first token,
	 * {@link Fault#REORDER} to put a token of another attempt before it,
	 * {@link Fault#NONE} for neither, not null
	 * @param breakOffset the offset at which the stream breaks, negative for never
	 */
	record StreamFault(Fault kind, int breakOffset) {

		/** Delivery without a fault. */
		static final StreamFault NONE = new StreamFault(Fault.NONE, -1);

	}

}
