package org.celeryhill.entry;

import java.util.Objects;

import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.disposables.Disposable;
import io.reactivex.rxjava3.subscribers.DisposableSubscriber;
import org.celeryhill.base.AttemptId;
import org.celeryhill.base.BackendServerId;
import org.celeryhill.port.Engine;
import org.celeryhill.port.GenerateEvent;

/**
 * One attempt of a generation on one engine, with the subscription that reads its events.
 * Guarded by the lock of its {@link GenerationRelay}.
 */
final class EngineAttempt {

	/** Maximum number of resumptions without a new token between them. */
	private static final int MAX_RESUMES = 1;

	/** Id that identifies the stream on the engine. */
	private final AttemptId id;

	/** Id of the engine that runs the stream. */
	private final BackendServerId backend;

	/** Adapter of the engine. */
	private final Engine engine;

	/** Offset of the first token that the attempt generates. */
	private final int firstOffset;

	/** Whether the router created the attempt; false for a stream resumed by event id. */
	private final boolean isFromRouter;

	/** Current subscription, null if nothing is read. */
	private Disposable subscription;

	/**
	 * When the last new token arrived or the subscription began, in monotonic
	 * nanoseconds.
	 */
	private long lastProgressNanos;

	/** Resumptions since the last new token. */
	private int resumeCount;

	/** Kind of event that is awaited. */
	private Phase phase = Phase.FIRST_TOKEN;

	EngineAttempt(AttemptId id, BackendServerId backend, Engine engine, int firstOffset, boolean isFromRouter) {
		this.id = Objects.requireNonNull(id, "id");
		this.backend = Objects.requireNonNull(backend, "backend");
		this.engine = Objects.requireNonNull(engine, "engine");
		this.firstOffset = firstOffset;
		this.isFromRouter = isFromRouter;
	}

	AttemptId id() {
		return this.id;
	}

	BackendServerId backend() {
		return this.backend;
	}

	Engine engine() {
		return this.engine;
	}

	int firstOffset() {
		return this.firstOffset;
	}

	boolean isFromRouter() {
		return this.isFromRouter;
	}

	Phase phase() {
		return this.phase;
	}

	/**
	 * Subscribes to the events of the stream and replaces the earlier subscription.
	 * @param events the events of the stream, not null
	 * @param newPhase the kind of event that is awaited, not null
	 * @param relay the receiver of the events, not null
	 * @param now the monotonic time in nanoseconds
	 */
	void subscribe(Flowable<GenerateEvent> events, Phase newPhase, GenerationRelay relay, long now) {
		unsubscribe();
		this.phase = newPhase;
		this.lastProgressNanos = now;
		EventSubscriber subscriber = new EventSubscriber(this, relay);
		this.subscription = subscriber;
		events.subscribe(subscriber);
	}

	/** Ends the subscription; the engine continues the stream. */
	void unsubscribe() {
		if (this.subscription != null) {
			this.subscription.dispose();
			this.subscription = null;
		}
	}

	/** Ends the subscription and asks the engine to stop the stream. */
	void cancel() {
		unsubscribe();
		this.engine.cancel(this.id);
	}

	boolean isCurrent(Disposable subscriber) {
		return this.subscription == subscriber;
	}

	void onNewToken(long now) {
		this.lastProgressNanos = now;
		this.phase = Phase.NEXT_TOKEN;
		this.resumeCount = 0;
	}

	/**
	 * Counts a resumption and returns whether it is allowed.
	 * @return false if the maximum number of resumptions without a new token is exceeded
	 */
	boolean countResumption() {
		this.resumeCount++;
		return this.resumeCount <= MAX_RESUMES;
	}

	long idleNanos(long now) {
		return now - this.lastProgressNanos;
	}

	/** Kind of event that an attempt awaits, which determines its timeout. */
	enum Phase {

		/** The first token of a new stream. */
		FIRST_TOKEN,

		/** The next token. */
		NEXT_TOKEN,

		/** The first event after a resumption. */
		RESUMED

	}

	/** Passes the events of one subscription to the relay. */
	private static final class EventSubscriber extends DisposableSubscriber<GenerateEvent> {

		/** Attempt whose events are read. */
		private final EngineAttempt attempt;

		/** Receiver of the events. */
		private final GenerationRelay relay;

		private EventSubscriber(EngineAttempt attempt, GenerationRelay relay) {
			this.attempt = attempt;
			this.relay = relay;
		}

		@Override
		public void onNext(GenerateEvent event) {
			this.relay.onEvent(this.attempt, this, event);
		}

		@Override
		public void onError(Throwable fault) {
			this.relay.onSubscriptionEnded(this.attempt, this, "adapter failed: " + fault);
		}

		@Override
		public void onComplete() {
			this.relay.onSubscriptionEnded(this.attempt, this, "stream ended without an end marker");
		}

	}

}
