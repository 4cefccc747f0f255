package org.celeryhill.entry;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

import io.reactivex.rxjava3.disposables.Disposable;
import org.celeryhill.base.EventLog;
import org.celeryhill.base.Execution;
import org.celeryhill.port.Engine;
import org.celeryhill.port.GenerateEvent;
import org.celeryhill.port.GenerateRequest;
import org.celeryhill.traffic.AttemptOutcome;
import org.celeryhill.traffic.TrafficAction;

/**
 * Brings one generation from the engines to the caller. Events of other attempts are
 * dropped, offsets must be contiguous, and only an end marker with the right number of
 * tokens ends the answer. A broken stream is resumed on its engine, else continued on
 * another one. Thread-safe; its lock is taken before that of {@link TrafficGate}.
 */
final class StreamRelay implements AttemptRouter.Listener {

	/** Log of this class. */
	private static final EventLog LOG = EventLog.of(StreamRelay.class);

	/** Time after which a caller may repeat a request whose backend server failed. */
	private static final Duration RETRY_AFTER_FAILURE = Duration.ofSeconds(1);

	/** Tokens between two reports of progress, which take the lock of the router. */
	private static final int PROGRESS_TOKENS = 4;

	/** Request. */
	private final GenerationJob job;

	/** Where the answer goes. */
	private final AnswerSink sink;

	/** Decides where attempts run. */
	private final AttemptRouter router;

	/** What all generations share. */
	private final GenerationContext context;

	/** Called once when the request has ended. */
	private final Runnable onDone;

	/** Answer so far. */
	private final AnswerText answer;

	/** Attempts that run. */
	private final EngineAttempts attempts;

	/** Whether an attempt may have run that is no longer among the attempts. */
	private boolean mayHaveRun;

	/** Whether an event of another attempt was logged; further ones are only counted. */
	private boolean isForeignLogged;

	/** Whether the request waits to be sent. */
	private boolean isWaiting;

	/** Whether the request has ended. */
	private boolean isDone;

	StreamRelay(GenerationJob job, AnswerText answer, AnswerSink sink, AttemptRouter router, GenerationContext context,
			Runnable onDone) {
		this.job = Objects.requireNonNull(job, "job");
		this.answer = Objects.requireNonNull(answer, "answer");
		this.sink = Objects.requireNonNull(sink, "sink");
		this.router = Objects.requireNonNull(router, "router");
		this.attempts = new EngineAttempts(router);
		this.context = Objects.requireNonNull(context, "context");
		this.onDone = Objects.requireNonNull(onDone, "onDone");
	}

	GenerationJob job() {
		return this.job;
	}

	/** Starts a new answer. */
	synchronized void start() {
		this.context.demand().arrived(this.job);
		submit(this.router.offer(this.job.toTraffic(0), this));
	}

	/**
	 * Continues a stream that another connection started.
	 * @param origin the position to continue from, not null
	 */
	synchronized void resume(EventId origin) {
		this.mayHaveRun = true;
		Optional<Engine> engine = this.context.engines().apply(origin.engine());
		EngineAttempt attempt = new EngineAttempt(origin.attempt(), origin.engine(),
				engine.orElse(MissingEngine.INSTANCE), origin.firstOffset(), false);
		this.attempts.add(attempt);
		attempt.takeResume();
		readAgain(attempt);
	}

	@Override
	public synchronized void onSend(TrafficAction.Send send) {
		setWaiting(false);
		Optional<Engine> engine = this.context.engines().apply(send.backend());
		boolean isLate = !this.attempts.isEmpty() && (!send.isHedge() || this.attempts.hasToken());
		if (this.isDone || isLate) {
			this.router.finish(send.attempt(), AttemptOutcome.CANCELLED);
			return;
		}
		EngineAttempt attempt = new EngineAttempt(send.attempt(), send.backend(), engine.orElse(MissingEngine.INSTANCE),
				this.answer.offset(), true);
		this.attempts.add(attempt);
		GenerateRequest request = new GenerateRequest(attempt.id(), this.job.model(), this.job.prompt().orElse(""),
				this.answer.text(), this.answer.offset(), this.job.maxTokens(), this.job.seed(), this.job.priority());
		LOG.debug("attempt_sent", "request", this.job.id(), "attempt", attempt.id(), "backend", attempt.backend(),
				"offset", attempt.firstOffset());
		attempt.read(attempt.engine().generate(request), EngineAttempt.Phase.FIRST_TOKEN, this, now());
	}

	@Override
	public synchronized void onRefuse(TrafficAction.Refuse refuse) {
		submit(Optional.of(refuse));
	}

	/**
	 * Takes an event of an attempt.
	 * @param attempt the attempt that was asked, not null
	 * @param reader the subscription, not null
	 * @param event the event, not null
	 */
	synchronized void onEvent(EngineAttempt attempt, Disposable reader, GenerateEvent event) {
		if (isStale(attempt, reader)) {
			return;
		}
		if (!event.attempt().equals(attempt.id())) {
			this.context.metrics().foreignEvent();
			if (!this.isForeignLogged) {
				this.isForeignLogged = true;
				LOG.warn("foreign_event_dropped", "request", this.job.id(), "attempt", attempt.id(), "event",
						event.attempt(), "backend", attempt.backend());
			}
			return;
		}
		if (event instanceof GenerateEvent.Token token) {
			onToken(attempt, token);
		}
		else if (event instanceof GenerateEvent.End end) {
			onEnd(attempt, end);
		}
		else if (event instanceof GenerateEvent.Failed failed) {
			onFailed(attempt, failed);
		}
	}

	/**
	 * Takes note that a connection ended without an end marker.
	 * @param attempt the attempt, not null
	 * @param reader the subscription, not null
	 * @param detail what happened, not null
	 */
	synchronized void onBroken(EngineAttempt attempt, Disposable reader, String detail) {
		if (!isStale(attempt, reader)) {
			repair(attempt, detail);
		}
	}

	/**
	 * Checks the timeouts of all attempts.
	 * @param now the time in nanoseconds
	 */
	synchronized void checkTimeouts(long now) {
		for (EngineAttempt attempt : this.attempts.copy()) {
			if (this.isDone || attempt.idleNanos(now) <= this.context.limits().nanos(attempt.phase())) {
				continue;
			}
			switch (attempt.phase()) {
				case FIRST_TOKEN -> moveOn(attempt, AttemptOutcome.BROKEN, true, "no first token in time");
				case RESUMED -> moveOn(attempt, AttemptOutcome.BROKEN, true, "no answer to the resumption in time");
				case NEXT_TOKEN -> repair(attempt, "no next token in time");
			}
		}
	}

	/** Ends the request since its caller is gone. */
	synchronized void cancel() {
		if (this.isDone) {
			return;
		}
		this.attempts.endAll(true);
		this.context.metrics().generationEnded("caller_gone");
		done();
	}

	/**
	 * Ends the connection to the caller during shutdown. A stream goes on at its engine
	 * and can be resumed through another daemon.
	 */
	synchronized void handOver() {
		if (this.isDone) {
			return;
		}
		if (this.attempts.isEmpty() || !this.sink.isResumable()) {
			fail(ApiError.of(ErrorCode.SHUTTING_DOWN, "This daemon is stopping; send the request again.", execution())
				.withRetryAfter(RETRY_AFTER_FAILURE), "handed_over");
			return;
		}
		EventId position = position(this.attempts.first());
		this.attempts.endAll(false);
		this.context.metrics().generationEnded("handed_over");
		this.sink.handOver(position);
		done();
	}

	/**
	 * Ends the request without an answer since another connection has resumed its stream.
	 */
	synchronized void supersede() {
		if (!this.isDone) {
			this.attempts.endAll(false);
			this.context.metrics().generationEnded("superseded");
			this.sink.fail(ApiError.of(ErrorCode.STREAM_NOT_RESUMABLE,
					"The stream was resumed on another connection; read it there.", Execution.RAN));
			done();
		}
	}

	private void onToken(EngineAttempt attempt, GenerateEvent.Token token) {
		AnswerText.Step step = this.answer.append(token.offset(), token.text());
		switch (step) {
			case DELIVER, HIDDEN -> {
				this.attempts.cancelOthers(attempt);
				attempt.onNewToken(now());
				reportProgress(attempt);
				if (step == AnswerText.Step.DELIVER) {
					deliver(attempt, token.text());
				}
			}
			case REPEATED -> LOG.debug("token_repeated", "request", this.job.id(), "offset", token.offset());
			case GAP -> repair(attempt, "token " + token.offset() + " instead of " + this.answer.offset());
			case DIVERGED -> diverged();
		}
	}

	private void reportProgress(EngineAttempt attempt) {
		int tokens = this.answer.offset() - attempt.firstOffset();
		if (tokens == 1 || tokens % PROGRESS_TOKENS == 0) {
			this.router.progress(attempt.id(), tokens);
		}
	}

	private void deliver(EngineAttempt attempt, String text) {
		if (this.answer.offset() == 1) {
			double seconds = (now() - this.job.arrivedNanos()) / 1e9;
			this.context.metrics().firstToken(this.job.priority().toLabel(), seconds);
		}
		this.context.metrics().token();
		this.sink.token(position(attempt), text);
	}

	private void onEnd(EngineAttempt attempt, GenerateEvent.End end) {
		if (end.tokens() != this.answer.offset()) {
			repair(attempt, "end marker for " + end.tokens() + " tokens after " + this.answer.offset());
			return;
		}
		if (this.answer.isBehind()) {
			diverged();
			return;
		}
		this.attempts.cancelOthers(attempt);
		this.attempts.end(attempt, AttemptOutcome.COMPLETED, false);
		this.context.metrics().generationEnded("completed");
		this.sink.end(position(attempt), end.finishReason());
		done();
	}

	private void onFailed(EngineAttempt attempt, GenerateEvent.Failed failed) {
		boolean isFirst = attempt.phase() == EngineAttempt.Phase.FIRST_TOKEN;
		switch (failed.failure()) {
			case NOT_SENT -> moveOn(attempt, AttemptOutcome.UNREACHABLE, !isFirst, failed.detail());
			case REFUSED -> moveOn(attempt, AttemptOutcome.REFUSED, !isFirst, failed.detail());
			case UNKNOWN_STREAM -> moveOn(attempt, AttemptOutcome.BROKEN, true, failed.detail());
			case BROKEN -> repair(attempt, failed.detail());
		}
	}

	private void repair(EngineAttempt attempt, String detail) {
		if (!attempt.takeResume()) {
			moveOn(attempt, AttemptOutcome.BROKEN, true, detail);
			return;
		}
		this.context.metrics().streamResumed();
		LOG.info("stream_resumed", "request", this.job.id(), "attempt", attempt.id(), "backend", attempt.backend(),
				"offset", this.answer.offset(), "reason", detail);
		readAgain(attempt);
	}

	private void readAgain(EngineAttempt attempt) {
		attempt.read(attempt.engine().resume(attempt.id(), this.answer.offset()), EngineAttempt.Phase.RESUMED, this,
				now());
	}

	private void moveOn(EngineAttempt attempt, AttemptOutcome outcome, boolean ran, String detail) {
		LOG.info("attempt_failed", "request", this.job.id(), "attempt", attempt.id(), "backend", attempt.backend(),
				"outcome", outcome, "offset", this.answer.offset(), "reason", detail);
		this.mayHaveRun |= ran;
		this.attempts.end(attempt, outcome, ran);
		if (this.attempts.isEmpty()) {
			continueElsewhere(attempt);
		}
	}

	private void continueElsewhere(EngineAttempt failed) {
		if (this.job.prompt().isEmpty()) {
			fail(ApiError.of(ErrorCode.STREAM_NOT_RESUMABLE,
					"The engine no longer holds this stream; send the original request again with this Last-Event-ID.",
					execution()), "not_resumable");
			return;
		}
		if (!this.answer.isKnown()) {
			this.answer.restart();
		}
		this.context.metrics().streamContinued();
		int delivered = this.answer.offset();
		submit(failed.isRouted() ? this.router.retry(this.job.toTraffic(delivered), failed.id())
				: this.router.offer(this.job.toTraffic(delivered), this));
	}

	private void submit(Optional<TrafficAction.Refuse> refused) {
		setWaiting(refused.isEmpty());
		refused.filter((refuse) -> !this.isDone && this.attempts.isEmpty())
			.ifPresent((refuse) -> fail(ApiError.of(refuse, execution()), refuse.reason().toCode()));
	}

	private void diverged() {
		this.attempts.endAll(true);
		fail(ApiError.of(ErrorCode.STREAM_DIVERGED,
				"The repeated answer differs from the delivered part; send the request without Last-Event-ID.",
				Execution.RAN), "diverged");
	}

	private void fail(ApiError error, String outcome) {
		this.attempts.endAll(true);
		this.context.metrics().generationEnded(outcome);
		this.sink.fail(error);
		done();
	}

	private void setWaiting(boolean waits) {
		if (waits != this.isWaiting) {
			this.isWaiting = waits;
			this.context.demand().waiting(this.job, waits ? 1 : -1);
		}
	}

	private void done() {
		this.isDone = true;
		setWaiting(false);
		this.router.close(this.job.id());
		this.onDone.run();
	}

	private Execution execution() {
		if (this.answer.deliveredTokens() > 0) {
			return Execution.RAN;
		}
		return (this.mayHaveRun || !this.attempts.isEmpty()) ? Execution.UNKNOWN : Execution.NOT_RUN;
	}

	private EventId position(EngineAttempt attempt) {
		return new EventId(this.job.answerId(), this.job.organisation(), this.job.model(), this.job.shape(),
				this.job.system(), attempt.backend(), attempt.id(), attempt.firstOffset(),
				this.answer.deliveredTokens(), this.job.seed(), this.answer.deliveredHash(), this.job.createdSeconds(),
				this.job.digest());
	}

	private boolean isStale(EngineAttempt attempt, Disposable reader) {
		return this.isDone || !this.attempts.contains(attempt) || !attempt.isCurrent(reader);
	}

	private long now() {
		return this.context.timer().nanoTime();
	}

}
