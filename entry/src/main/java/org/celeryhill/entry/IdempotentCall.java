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
 * One call of a plain service that may be sent repeatedly. The first complete response is
 * passed to the caller. Thread-safe; its lock is acquired before that of
 * {@link TrafficDispatcher}.
 */
final class IdempotentCall implements AttemptRouter.Listener {

	/** Log of this class. */
	private static final EventLog LOG = EventLog.of(IdempotentCall.class);

	/** Exchange with the caller. */
	private final ApiExchange api;

	/** Validated call. */
	private final PlainCallTarget target;

	/** Request body. */
	private final byte[] body;

	/** Chooses the backend servers of attempts. */
	private final AttemptRouter router;

	/** Collaborators and limits shared by all calls. */
	private final PlainCallContext context;

	/** Request for admission and routing. */
	private final TrafficRequest trafficRequest;

	/** Running attempts. */
	private final Set<AttemptId> running = new HashSet<>();

	/** Whether an attempt that has ended may have run. */
	private boolean mayHaveRun;

	/** Whether the call has ended. */
	private boolean isDone;

	IdempotentCall(ApiExchange api, PlainCallTarget target, byte[] body, AttemptRouter router,
			PlainCallContext context) {
		this.api = Objects.requireNonNull(api, "api");
		this.target = Objects.requireNonNull(target, "target");
		this.body = Objects.requireNonNull(body, "body");
		this.router = Objects.requireNonNull(router, "router");
		this.context = Objects.requireNonNull(context, "context");
		this.trafficRequest = PlainCallHandler.toTrafficRequest(api.id(), target, true, context.timer().nanoTime());
	}

	synchronized void start() {
		failIfRefused(this.router.admit(this.trafficRequest, this));
	}

	@Override
	public synchronized void onSend(TrafficAction.Send send) {
		if (this.isDone) {
			this.router.finishAttempt(send.attempt(), AttemptOutcome.CANCELLED);
			return;
		}
		this.running.add(send.attempt());
		try {
			this.context.workers().execute(() -> sendAttempt(send));
		}
		catch (RejectedExecutionException ex) {
			this.running.remove(send.attempt());
			this.router.finishAttempt(send.attempt(), AttemptOutcome.CANCELLED);
			fail(ApiError.of(ErrorCode.OVERLOADED, "This daemon has no free worker; retry later.", executionState())
				.withRetryAfter(java.time.Duration.ofSeconds(1)));
		}
	}

	@Override
	public synchronized void onRefuse(TrafficAction.Refuse refuse) {
		failIfRefused(Optional.of(refuse));
	}

	/**
	 * Ends the call after its caller disconnected; responses of sent attempts are
	 * ignored.
	 */
	synchronized void cancel() {
		if (!this.isDone) {
			finishCall();
		}
	}

	private void sendAttempt(TrafficAction.Send send) {
		PlainService.CallResult result = this.context.send(send.backend(),
				PlainCallHandler.toCall(send.attempt(), this.api.id(), this.target, this.body));
		onResult(send, result);
	}

	private synchronized void onResult(TrafficAction.Send send, PlainService.CallResult result) {
		this.running.remove(send.attempt());
		this.router.finishAttempt(send.attempt(), outcome(result));
		if (this.isDone) {
			return;
		}
		if (result instanceof PlainService.CallCompleted answered) {
			this.api.respond(answered.status(), "plain", PlainCallHandler.filterResponseHeaders(answered.headers()),
					answered.body());
			finishCall();
			return;
		}
		LOG.info("call_failed", "request", this.api.id(), "attempt", send.attempt(), "backend", send.backend(),
				"result", result);
		this.mayHaveRun |= result instanceof PlainService.CallUnknown;
		if (this.running.isEmpty()) {
			failIfRefused(this.router.retry(this.trafficRequest, send.attempt()));
		}
	}

	/**
	 * Returns the outcome of an attempt for the router. A call that did not run counts as
	 * refused and not as unreachable, since a server that refuses calls under load must
	 * not be treated as faulty.
	 * @param result the result of the attempt, not null
	 * @return the outcome, never null
	 */
	static AttemptOutcome outcome(PlainService.CallResult result) {
		if (result instanceof PlainService.CallCompleted) {
			return AttemptOutcome.COMPLETED;
		}
		return (result instanceof PlainService.CallNotRun) ? AttemptOutcome.REFUSED : AttemptOutcome.BROKEN;
	}

	private void failIfRefused(Optional<TrafficAction.Refuse> refused) {
		refused.filter((refuse) -> !this.isDone && this.running.isEmpty())
			.ifPresent((refuse) -> fail(ApiError.of(refuse, executionState())));
	}

	private Execution executionState() {
		return (this.mayHaveRun || !this.running.isEmpty()) ? Execution.UNKNOWN : Execution.NOT_RUN;
	}

	private void fail(ApiError error) {
		this.api.respondError(error);
		finishCall();
	}

	private void finishCall() {
		this.isDone = true;
		this.router.closeRequest(this.trafficRequest.id());
	}

}
