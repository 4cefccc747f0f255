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
 * One attempt of a generation on one engine, with the connection that reads it. Guarded
 * by the lock of its {@link StreamRelay}.
 */
final class EngineAttempt {

	/** Resumptions without a new token between them before the attempt is given up. */
	private static final int MAX_RESUMES = 1;

	/** Name of the stream on the engine. */
	private final AttemptId id;

	/** Engine that runs the stream. */
	private final BackendServerId backend;

	/** Connection to the engine. */
	private final Engine engine;

	/** Offset of the first token that the attempt generates. */
	private final int firstOffset;

	/** Whether the router knows the attempt. */
	private final boolean isRouted;

	/** Subscription whose events count, null before the first. */
	private Disposable current;

	/** When the engine last sent something or was asked, monotonic nanoseconds. */
	private long lastEventNanos;

	/** Resumptions since the last new token. */
	private int resumes;

	/** What is awaited. */
	private Phase phase = Phase.FIRST_TOKEN;

	EngineAttempt(AttemptId id, BackendServerId backend, Engine engine, int firstOffset, boolean isRouted) {
		this.id = Objects.requireNonNull(id, "id");
		this.backend = Objects.requireNonNull(backend, "backend");
		this.engine = Objects.requireNonNull(engine, "engine");
		this.firstOffset = firstOffset;
		this.isRouted = isRouted;
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

	boolean isRouted() {
		return this.isRouted;
	}

	Phase phase() {
		return this.phase;
	}

	/**
	 * Reads a stream of events. Events of an earlier subscription no longer count.
	 * @param events the events, not null
	 * @param newPhase what is awaited, not null
	 * @param relay who is told of events, not null
	 * @param now the time in nanoseconds
	 */
	void read(Flowable<GenerateEvent> events, Phase newPhase, StreamRelay relay, long now) {
		disconnect();
		this.phase = newPhase;
		this.lastEventNanos = now;
		Reader reader = new Reader(this, relay);
		this.current = reader;
		events.subscribe(reader);
	}

	/** Stops reading; the engine keeps the stream. */
	void disconnect() {
		if (this.current != null) {
			this.current.dispose();
			this.current = null;
		}
	}

	/** Stops reading and asks the engine to stop the stream. */
	void cancel() {
		disconnect();
		this.engine.cancel(this.id);
	}

	boolean isCurrent(Disposable reader) {
		return this.current == reader;
	}

	void onNewToken(long now) {
		this.lastEventNanos = now;
		this.phase = Phase.NEXT_TOKEN;
		this.resumes = 0;
	}

	/**
	 * Counts a resumption.
	 * @return false if the attempt is to be given up instead
	 */
	boolean takeResume() {
		this.resumes++;
		return this.resumes <= MAX_RESUMES;
	}

	long idleNanos(long now) {
		return now - this.lastEventNanos;
	}

	/** What an attempt awaits. */
	enum Phase {

		/** The first token of a new stream. */
		FIRST_TOKEN,

		/** The next token. */
		NEXT_TOKEN,

		/** The first event after a resumption. */
		RESUMED

	}

	/** Passes the events of one subscription to the relay. */
	private static final class Reader extends DisposableSubscriber<GenerateEvent> {

		/** Attempt that is read. */
		private final EngineAttempt attempt;

		/** Who is told of events. */
		private final StreamRelay relay;

		private Reader(EngineAttempt attempt, StreamRelay relay) {
			this.attempt = attempt;
			this.relay = relay;
		}

		@Override
		public void onNext(GenerateEvent event) {
			this.relay.onEvent(this.attempt, this, event);
		}

		@Override
		public void onError(Throwable fault) {
			this.relay.onBroken(this.attempt, this, "fault of the adapter: " + fault);
		}

		@Override
		public void onComplete() {
			this.relay.onBroken(this.attempt, this, "stream ended without an end marker");
		}

	}

}
