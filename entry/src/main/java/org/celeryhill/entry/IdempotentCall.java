package org.celeryhill.entry;

import java.util.HashSet;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.RejectedExecutionException;

import org.celeryhill.base.AttemptId;
import org.celeryhill.base.EventLog;
import org.celeryhill.base.Execution;
import org.celeryhill.port.PlainService;
import org.celeryhill.traffic.AttemptOutcome;
import org.celeryhill.traffic.TrafficAction;
import org.celeryhill.traffic.TrafficRequest;

/**
 * One call of a plain service that may be repeated. The first complete answer counts.
 * Thread-safe; its lock is taken before that of {@link TrafficGate}.
 */
final class IdempotentCall implements AttemptRouter.Listener {

	/** Log of this class. */
	private static final EventLog LOG = EventLog.of(IdempotentCall.class);

	/** Exchange with the caller. */
	private final ApiExchange api;

	/** What is called. */
	private final PlainTarget target;

	/** Body. */
	private final byte[] body;

	/** Decides where attempts are sent. */
	private final AttemptRouter router;

	/** What all calls share. */
	private final PlainContext context;

	/** What admission knows of the call. */
	private final TrafficRequest traffic;

	/** Attempts that run. */
	private final Set<AttemptId> running = new HashSet<>();

	/** Whether an attempt may have run. */
	private boolean mayHaveRun;

	/** Whether the call has ended. */
	private boolean isDone;

	IdempotentCall(ApiExchange api, PlainTarget target, byte[] body, AttemptRouter router, PlainContext context) {
		this.api = Objects.requireNonNull(api, "api");
		this.target = Objects.requireNonNull(target, "target");
		this.body = Objects.requireNonNull(body, "body");
		this.router = Objects.requireNonNull(router, "router");
		this.context = Objects.requireNonNull(context, "context");
		this.traffic = PlainHandler.toTraffic(api.id(), target, true, context.timer().nanoTime());
	}

	synchronized void start() {
		refuseIf(this.router.offer(this.traffic, this));
	}

	@Override
	public synchronized void onSend(TrafficAction.Send send) {
		if (this.isDone) {
			this.router.finish(send.attempt(), AttemptOutcome.CANCELLED);
			return;
		}
		this.running.add(send.attempt());
		try {
			this.context.workers().execute(() -> run(send));
		}
		catch (RejectedExecutionException ex) {
			this.running.remove(send.attempt());
			this.router.finish(send.attempt(), AttemptOutcome.CANCELLED);
			fail(ApiError.of(ErrorCode.OVERLOADED, "This daemon has no free worker; retry later.", execution())
				.withRetryAfter(java.time.Duration.ofSeconds(1)));
		}
	}

	@Override
	public synchronized void onRefuse(TrafficAction.Refuse refuse) {
		refuseIf(Optional.of(refuse));
	}

	/** Ends the call since its caller is gone; a sent attempt runs to its end unheard. */
	synchronized void cancel() {
		if (!this.isDone) {
			done();
		}
	}

	private void run(TrafficAction.Send send) {
		PlainService.CallResult result = this.context.send(send.backend(),
				PlainHandler.toCall(send.attempt(), this.api.id(), this.target, this.body));
		onResult(send, result);
	}

	private synchronized void onResult(TrafficAction.Send send, PlainService.CallResult result) {
		this.running.remove(send.attempt());
		this.router.finish(send.attempt(), outcome(result));
		if (this.isDone) {
			return;
		}
		if (result instanceof PlainService.CallCompleted answered) {
			this.api.answer(answered.status(), "plain", PlainHandler.passedHeaders(answered.headers()),
					answered.body());
			done();
			return;
		}
		LOG.info("call_failed", "request", this.api.id(), "attempt", send.attempt(), "backend", send.backend(),
				"result", result);
		this.mayHaveRun |= result instanceof PlainService.CallUnknown;
		if (this.running.isEmpty()) {
			refuseIf(this.router.retry(this.traffic, send.attempt()));
		}
	}

	/**
	 * Returns the outcome for the router. A call that did not run counts as refused and
	 * not as unreachable, since a server that refuses under load must not become suspect.
	 * @param result the result, not null
	 * @return the outcome, never null
	 */
	static AttemptOutcome outcome(PlainService.CallResult result) {
		if (result instanceof PlainService.CallCompleted) {
			return AttemptOutcome.COMPLETED;
		}
		return (result instanceof PlainService.CallNotRun) ? AttemptOutcome.REFUSED : AttemptOutcome.BROKEN;
	}

	private void refuseIf(Optional<TrafficAction.Refuse> refused) {
		refused.filter((refuse) -> !this.isDone && this.running.isEmpty())
			.ifPresent((refuse) -> fail(ApiError.of(refuse, execution())));
	}

	private Execution execution() {
		return (this.mayHaveRun || !this.running.isEmpty()) ? Execution.UNKNOWN : Execution.NOT_RUN;
	}

	private void fail(ApiError error) {
		this.api.error(error);
		done();
	}

	private void done() {
		this.isDone = true;
		this.router.close(this.traffic.id());
	}

}
