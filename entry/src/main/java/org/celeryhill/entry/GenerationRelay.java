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
 * Relays one generation from the engines to the caller. Events of other attempts are
 * dropped, token offsets must be contiguous, and the response is complete only after an
 * end marker with the right number of tokens. A broken stream is resumed on its engine
 * or, if that fails, continued on another one. Thread-safe; its lock is acquired before
 * that of {@link TrafficDispatcher}.
 */
final class GenerationRelay implements AttemptRouter.Listener {

	/** Log of this class. */
	private static final EventLog LOG = EventLog.of(GenerationRelay.class);

	/** Value of {@code Retry-After} when the daemon is stopping. */
	private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

	/**
	 * Tokens between two progress reports, each of which acquires the lock of the router.
	 */
	private static final int TOKENS_PER_PROGRESS_REPORT = 4;

	/** Validated request. */
	private final GenerationJob job;

	/** Receives the response. */
	private final ResponseSink sink;

	/** Chooses the engines of attempts. */
	private final AttemptRouter router;

	/** Collaborators and timeouts shared by all generations. */
	private final GenerationContext context;

	/** Called once when the request has ended. */
	private final Runnable onDone;

	/** Generated text so far. */
	private final GeneratedText generatedText;

	/** Running attempts. */
	private final EngineAttempts attempts;

	/** Whether an attempt that has ended may have run. */
	private boolean mayHaveRun;

	/** Whether an event of another attempt was logged; further ones are only counted. */
	private boolean isForeignEventLogged;

	/** Whether the request is admitted and waits to be sent to an engine. */
	private boolean isWaiting;

	/** Whether the request has ended. */
	private boolean isDone;

	GenerationRelay(GenerationJob job, GeneratedText generatedText, ResponseSink sink, AttemptRouter router,
			GenerationContext context, Runnable onDone) {
		this.job = Objects.requireNonNull(job, "job");
		this.generatedText = Objects.requireNonNull(generatedText, "generatedText");
		this.sink = Objects.requireNonNull(sink, "sink");
		this.router = Objects.requireNonNull(router, "router");
		this.attempts = new EngineAttempts(router);
		this.context = Objects.requireNonNull(context, "context");
		this.onDone = Objects.requireNonNull(onDone, "onDone");
	}

	GenerationJob job() {
		return this.job;
	}

	/** Starts a new generation. */
	synchronized void start() {
		this.context.demand().recordArrival(this.job);
		onAdmissionResult(this.router.admit(this.job.toTrafficRequest(0), this));
	}

	/**
	 * Continues a stream that was started on another connection.
	 * @param origin the position to continue from, not null
	 */
	synchronized void resume(EventId origin) {
		this.mayHaveRun = true;
		Optional<Engine> engine = this.context.engines().apply(origin.engine());
		EngineAttempt attempt = new EngineAttempt(origin.attempt(), origin.engine(),
				engine.orElse(MissingEngine.INSTANCE), origin.firstOffset(), false);
		this.attempts.add(attempt);
		attempt.countResumption();
		resumeStream(attempt);
	}

	@Override
	public synchronized void onSend(TrafficAction.Send send) {
		setWaiting(false);
		Optional<Engine> engine = this.context.engines().apply(send.backend());
		boolean isObsolete = !this.attempts.isEmpty() && (!send.isHedge() || this.attempts.hasToken());
		if (this.isDone || isObsolete) {
			this.router.finishAttempt(send.attempt(), AttemptOutcome.CANCELLED);
			return;
		}
		EngineAttempt attempt = new EngineAttempt(send.attempt(), send.backend(), engine.orElse(MissingEngine.INSTANCE),
				this.generatedText.offset(), true);
		this.attempts.add(attempt);
		GenerateRequest request = new GenerateRequest(attempt.id(), this.job.model(), this.job.prompt().orElse(""),
				this.generatedText.text(), this.generatedText.offset(), this.job.maxTokens(), this.job.seed(),
				this.job.priority());
		LOG.debug("attempt_sent", "request", this.job.id(), "attempt", attempt.id(), "backend", attempt.backend(),
				"offset", attempt.firstOffset());
		attempt.subscribe(attempt.engine().generate(request), EngineAttempt.Phase.FIRST_TOKEN, this, now());
	}

	@Override
	public synchronized void onRefuse(TrafficAction.Refuse refuse) {
		onAdmissionResult(Optional.of(refuse));
	}

	/**
	 * Handles an event of an attempt.
	 * @param attempt the attempt whose stream contained the event, not null
	 * @param subscriber the subscription that received it, not null
	 * @param event the received event, not null
	 */
	synchronized void onEvent(EngineAttempt attempt, Disposable subscriber, GenerateEvent event) {
		if (isStale(attempt, subscriber)) {
			return;
		}
		if (!event.attempt().equals(attempt.id())) {
			this.context.metrics().countForeignEvent();
			if (!this.isForeignEventLogged) {
				this.isForeignEventLogged = true;
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
	 * Handles the end of a subscription without an end marker.
	 * @param attempt the attempt that was read, not null
	 * @param subscriber the subscription that ended, not null
	 * @param detail the cause for logs, not null
	 */
	synchronized void onSubscriptionEnded(EngineAttempt attempt, Disposable subscriber, String detail) {
		if (!isStale(attempt, subscriber)) {
			resumeOrReplace(attempt, detail);
		}
	}

	/**
	 * Checks the timeouts of all attempts.
	 * @param now the monotonic time in nanoseconds, less the lag of this process
	 */
	synchronized void checkTimeouts(long now) {
		for (EngineAttempt attempt : this.attempts.snapshot()) {
			if (this.isDone || attempt.idleNanos(now) <= this.context.timeouts().timeoutNanos(attempt.phase())) {
				continue;
			}
			switch (attempt.phase()) {
				case FIRST_TOKEN ->
					failAttempt(attempt, AttemptOutcome.BROKEN, true, "no first token within the timeout");
				case RESUMED -> failAttempt(attempt, AttemptOutcome.BROKEN, true,
						"no event after the resumption within the timeout");
				case NEXT_TOKEN -> resumeOrReplace(attempt, "no next token within the timeout");
			}
		}
	}

	/** Ends the request after its caller disconnected and cancels its attempts. */
	synchronized void cancel() {
		if (this.isDone) {
			return;
		}
		this.attempts.endAll(true);
		this.context.metrics().countGeneration("caller_gone");
		finishRequest();
	}

	/**
	 * Ends the connection to the caller during shutdown. The engine continues the stream,
	 * so that the caller can resume it through another daemon.
	 */
	synchronized void handOver() {
		if (this.isDone) {
			return;
		}
		if (this.attempts.isEmpty() || !this.sink.isResumable()) {
			fail(ApiError
				.of(ErrorCode.SHUTTING_DOWN, "This daemon is stopping; send the request again.", executionState())
				.withRetryAfter(RETRY_AFTER), "handed_over");
			return;
		}
		EventId position = currentPosition(this.attempts.first());
		this.attempts.endAll(false);
		this.context.metrics().countGeneration("handed_over");
		this.sink.handOver(position);
		finishRequest();
	}

	/**
	 * Ends the request with an error, since another connection has resumed its stream.
	 */
	synchronized void supersede() {
		if (!this.isDone) {
			this.attempts.endAll(false);
			this.context.metrics().countGeneration("superseded");
			this.sink.fail(ApiError.of(ErrorCode.STREAM_NOT_RESUMABLE,
					"The stream was resumed on another connection; read it there.", Execution.RAN));
			finishRequest();
		}
	}

	private void onToken(EngineAttempt attempt, GenerateEvent.Token token) {
		GeneratedText.TokenAction action = this.generatedText.append(token.offset(), token.text());
		switch (action) {
			case DELIVER, SUPPRESS -> {
				this.attempts.cancelOthers(attempt);
				attempt.onNewToken(now());
				reportProgress(attempt);
				if (action == GeneratedText.TokenAction.DELIVER) {
					deliver(attempt, token.text());
				}
			}
			case DUPLICATE -> LOG.debug("token_repeated", "request", this.job.id(), "offset", token.offset());
			case GAP -> resumeOrReplace(attempt,
					"token " + token.offset() + " received instead of " + this.generatedText.offset());
			case DIVERGED -> failDiverged();
		}
	}

	private void reportProgress(EngineAttempt attempt) {
		int tokens = this.generatedText.offset() - attempt.firstOffset();
		if (tokens == 1 || tokens % TOKENS_PER_PROGRESS_REPORT == 0) {
			this.router.progress(attempt.id(), tokens);
		}
	}

	private void deliver(EngineAttempt attempt, String text) {
		if (this.generatedText.offset() == 1) {
			double seconds = (now() - this.job.arrivalNanos()) / 1e9;
			this.context.metrics().firstToken(this.job.priority().toLabel(), seconds);
		}
		this.context.metrics().token();
		this.sink.token(currentPosition(attempt), text);
	}

	private void onEnd(EngineAttempt attempt, GenerateEvent.End end) {
		if (end.tokens() != this.generatedText.offset()) {
			resumeOrReplace(attempt,
					"end marker for " + end.tokens() + " tokens, but received " + this.generatedText.offset());
			return;
		}
		if (this.generatedText.isReplaying()) {
			failDiverged();
			return;
		}
		this.attempts.cancelOthers(attempt);
		this.attempts.end(attempt, AttemptOutcome.COMPLETED, false);
		this.context.metrics().countGeneration("completed");
		this.sink.complete(currentPosition(attempt), end.finishReason());
		finishRequest();
	}

	private void onFailed(EngineAttempt attempt, GenerateEvent.Failed failed) {
		boolean isFirst = attempt.phase() == EngineAttempt.Phase.FIRST_TOKEN;
		switch (failed.failure()) {
			case NOT_SENT -> failAttempt(attempt, AttemptOutcome.UNREACHABLE, !isFirst, failed.detail());
			case REFUSED -> failAttempt(attempt, AttemptOutcome.REFUSED, !isFirst, failed.detail());
			case UNKNOWN_STREAM -> failAttempt(attempt, AttemptOutcome.BROKEN, true, failed.detail());
			case BROKEN -> resumeOrReplace(attempt, failed.detail());
		}
	}

	private void resumeOrReplace(EngineAttempt attempt, String detail) {
		if (!attempt.countResumption()) {
			failAttempt(attempt, AttemptOutcome.BROKEN, true, detail);
			return;
		}
		this.context.metrics().countResumedStream();
		LOG.info("stream_resumed", "request", this.job.id(), "attempt", attempt.id(), "backend", attempt.backend(),
				"offset", this.generatedText.offset(), "reason", detail);
		resumeStream(attempt);
	}

	private void resumeStream(EngineAttempt attempt) {
		attempt.subscribe(attempt.engine().resume(attempt.id(), this.generatedText.offset()),
				EngineAttempt.Phase.RESUMED, this, now());
	}

	private void failAttempt(EngineAttempt attempt, AttemptOutcome outcome, boolean isPossiblyRunning, String detail) {
		LOG.info("attempt_failed", "request", this.job.id(), "attempt", attempt.id(), "backend", attempt.backend(),
				"outcome", outcome, "offset", this.generatedText.offset(), "reason", detail);
		this.mayHaveRun |= isPossiblyRunning;
		this.attempts.end(attempt, outcome, isPossiblyRunning);
		if (this.attempts.isEmpty()) {
			continueOnAnotherEngine(attempt);
		}
	}

	private void continueOnAnotherEngine(EngineAttempt failed) {
		if (this.job.prompt().isEmpty()) {
			fail(ApiError.of(ErrorCode.STREAM_NOT_RESUMABLE,
					"The engine no longer holds this stream; send the original request again with this Last-Event-ID.",
					executionState()), "not_resumable");
			return;
		}
		if (!this.generatedText.isTextKnown()) {
			this.generatedText.restart();
		}
		this.context.metrics().countContinuedStream();
		int delivered = this.generatedText.offset();
		onAdmissionResult(failed.isFromRouter() ? this.router.retry(this.job.toTrafficRequest(delivered), failed.id())
				: this.router.admit(this.job.toTrafficRequest(delivered), this));
	}

	private void onAdmissionResult(Optional<TrafficAction.Refuse> refused) {
		setWaiting(refused.isEmpty());
		refused.filter((refuse) -> !this.isDone && this.attempts.isEmpty())
			.ifPresent((refuse) -> fail(ApiError.of(refuse, executionState()), refuse.reason().toCode()));
	}

	private void failDiverged() {
		this.attempts.endAll(true);
		fail(ApiError.of(ErrorCode.STREAM_DIVERGED,
				"The repeated answer differs from the delivered part; send the request without Last-Event-ID.",
				Execution.RAN), "diverged");
	}

	private void fail(ApiError error, String outcome) {
		this.attempts.endAll(true);
		this.context.metrics().countGeneration(outcome);
		this.sink.fail(error);
		finishRequest();
	}

	private void setWaiting(boolean isNowWaiting) {
		if (isNowWaiting != this.isWaiting) {
			this.isWaiting = isNowWaiting;
			this.context.demand().waiting(this.job, isNowWaiting ? 1 : -1);
		}
	}

	private void finishRequest() {
		this.isDone = true;
		setWaiting(false);
		this.router.closeRequest(this.job.id());
		this.onDone.run();
	}

	private Execution executionState() {
		if (this.generatedText.deliveredTokens() > 0) {
			return Execution.RAN;
		}
		return (this.mayHaveRun || !this.attempts.isEmpty()) ? Execution.UNKNOWN : Execution.NOT_RUN;
	}

	private EventId currentPosition(EngineAttempt attempt) {
		return new EventId(this.job.responseId(), this.job.organisation(), this.job.model(), this.job.shape(),
				this.job.system(), attempt.backend(), attempt.id(), attempt.firstOffset(),
				this.generatedText.deliveredTokens(), this.job.seed(), this.generatedText.deliveredHash(),
				this.job.createdSeconds(), this.job.digest());
	}

	private boolean isStale(EngineAttempt attempt, Disposable subscriber) {
		return this.isDone || !this.attempts.contains(attempt) || !attempt.isCurrent(subscriber);
	}

	private long now() {
		return this.context.timer().nanoTime();
	}

}
