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
 * Subscription of one reader of a stream; delivers no more than was requested.
 * Thread-safe.
 */
final class FakeStreamReader implements Subscription {

	/** Stream that is read. */
	private final FakeStream stream;

	/** Receiver of the events. */
	private final Subscriber<? super GenerateEvent> subscriber;

	/** What happens to the events on their way. */
	private final Disturbance disturbance;

	/** Events that the receiver can take. */
	private final AtomicLong requested = new AtomicLong();

	/**
	 * Number of reasons to look for events; the thread that raises it from 0 delivers.
	 */
	private final AtomicInteger work = new AtomicInteger();

	/** Offset of the next token. Used only by the delivering thread. */
	private int next;

	/** Whether the disturbing event was delivered. Used only by the delivering thread. */
	private boolean isDisturbed;

	/** Whether nothing more may be delivered. */
	private volatile boolean isDone;

	FakeStreamReader(FakeStream stream, Subscriber<? super GenerateEvent> subscriber, int offset,
			Disturbance disturbance) {
		this.stream = stream;
		this.subscriber = subscriber;
		this.next = offset;
		this.disturbance = disturbance;
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

	/** Delivers the events that exist and were requested. */
	void drain() {
		if (this.work.getAndIncrement() != 0) {
			return;
		}
		int missed = 1;
		while (missed != 0) {
			while (!this.isDone && this.requested.get() > 0 && deliverNext()) {
				BackpressureHelper.produced(this.requested, 1);
			}
			missed = this.work.addAndGet(-missed);
		}
	}

	private boolean deliverNext() {
		if (this.disturbance.breakAt() >= 0 && this.next >= this.disturbance.breakAt()) {
			return last(failed(Failure.BROKEN, "connection broke"));
		}
		if (this.next < this.stream.produced()) {
			deliverToken();
			return true;
		}
		if (this.stream.isWhole(this.next)) {
			return last(this.stream.end());
		}
		Failure failure = this.stream.failure();
		return failure != null && last(failed(failure, "engine dropped the stream"));
	}

	private void deliverToken() {
		GenerateEvent token = this.stream.token(this.next);
		if (!this.isDisturbed && this.disturbance.kind() != Fault.NONE) {
			this.isDisturbed = true;
			this.subscriber.onNext(disturb(token));
			return;
		}
		this.next++;
		this.subscriber.onNext(token);
	}

	private GenerateEvent disturb(GenerateEvent token) {
		if (this.disturbance.kind() == Fault.DUPLICATE) {
			return token;
		}
		return new GenerateEvent.Token(AttemptId.of("stale-" + token.attempt()), this.next, " stale");
	}

	private boolean last(GenerateEvent event) {
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
	 * What happens to the events of one reader.
	 *
	 * @param kind {@link Fault#DUPLICATE} to repeat the first token,
	 * {@link Fault#REORDER} to put a token of another attempt before it,
	 * {@link Fault#NONE} for neither, not null
	 * @param breakAt the offset at which the events break off, negative for never
	 */
	record Disturbance(Fault kind, int breakAt) {

		/** No disturbance. */
		static final Disturbance NONE = new Disturbance(Fault.NONE, -1);

	}

}
