package org.celeryhill.entry;

import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;

import org.celeryhill.base.EventLog;
import org.celeryhill.base.Execution;
import org.celeryhill.port.PlainService;
import org.celeryhill.state.ClaimStore;
import org.celeryhill.state.StoredOutcome;
import org.celeryhill.traffic.AttemptOutcome;
import org.celeryhill.traffic.TrafficAction;
import org.celeryhill.traffic.TrafficRequest;

/**
 * One non-idempotent call whose claim this daemon has acquired. The call is sent once; it
 * is sent to another backend server only after the previous one has certainly not run it.
 * The outcome is stored before the caller gets its response. If the table service is
 * unavailable, the caller gets the response after the first try and the write is repeated
 * until it succeeds. Thread-safe, since the steps run one after the other.
 */
final class ClaimedCall implements AttemptRouter.Listener {

	/** Log of this class. */
	private static final EventLog LOG = EventLog.of(ClaimedCall.class);

	/** Maximum number of backend servers that are tried. */
	private static final int MAX_SENDS = 3;

	/**
	 * Largest response body that is stored for repeated requests, in bytes; table rows
	 * must stay small.
	 */
	static final int MAX_STORED_BODY_BYTES = 64 * 1024;

	/** Header of a stored outcome whose body was too large to be stored. */
	static final String BODY_OMITTED_HEADER = "X-Body-Left-Out";

	/** Value of {@code Retry-After} for refused calls. */
	private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

	/** Request of the caller. */
	private final ClaimedCallHandler.Request request;

	/** Store of claims. */
	private final ClaimStore claims;

	/** Acquired claim of this call. */
	private final ClaimStore.Acquired claim;

	/** Chooses the backend server. */
	private final AttemptRouter router;

	/** Collaborators and limits shared by all plain-service calls. */
	private final PlainCallContext context;

	/** Called once after the outcome is stored or its write was given up. */
	private final Runnable onSettled;

	/** Request for admission and routing. */
	private final TrafficRequest trafficRequest;

	/** Set while an attempt may run, and permanently once the claim is being settled. */
	private final AtomicBoolean isSending = new AtomicBoolean();

	/** Number of backend servers tried; only accessed while {@link #isSending} is set. */
	private int sendCount;

	ClaimedCall(ClaimedCallHandler.Request request, ClaimStore claims, ClaimStore.Acquired claim,
			PlainCallContext context, Runnable onSettled) {
		this.request = Objects.requireNonNull(request, "request");
		this.claims = Objects.requireNonNull(claims, "claims");
		this.claim = Objects.requireNonNull(claim, "claim");
		this.context = Objects.requireNonNull(context, "context");
		this.router = context.router(claim.claim().system());
		// The request is marked as repeatable, since this class accepts another attempt
		// only after a server has certainly not run the call.
		this.trafficRequest = PlainCallHandler.toTrafficRequest(request.api().id(), request.target(), true,
				context.timer().nanoTime());
		this.onSettled = Objects.requireNonNull(onSettled, "onSettled");
	}

	/** Submits the call to the router. */
	void start() {
		this.router.admit(this.trafficRequest, this).ifPresent(this::withdrawUnlessSending);
	}

	@Override
	public void onSend(TrafficAction.Send send) {
		// A hedge is declined while an attempt may run. One that arrives after the first
		// attempt has certainly not run serves as the retry.
		if (!this.isSending.compareAndSet(false, true)) {
			this.router.finishAttempt(send.attempt(), AttemptOutcome.CANCELLED);
			return;
		}
		try {
			this.context.workers().execute(() -> sendAttempt(send));
		}
		catch (RejectedExecutionException ex) {
			this.router.finishAttempt(send.attempt(), AttemptOutcome.CANCELLED);
			// Settling the claim blocks, so it must not run on a thread of the router.
			this.context.timer()
				.after(Duration.ZERO, () -> withdrawClaim(new TrafficAction.Refuse(this.trafficRequest.id(),
						TrafficAction.Reason.QUEUE_FULL, RETRY_AFTER)));
		}
	}

	@Override
	public void onRefuse(TrafficAction.Refuse refuse) {
		try {
			this.context.workers().execute(() -> withdrawUnlessSending(refuse));
		}
		catch (RejectedExecutionException ex) {
			this.context.timer().after(Duration.ZERO, () -> withdrawUnlessSending(refuse));
		}
	}

	// isSending stays set afterwards, so that nothing is sent after the claim was
	// withdrawn.
	private void withdrawUnlessSending(TrafficAction.Refuse refuse) {
		if (this.isSending.compareAndSet(false, true)) {
			withdrawClaim(refuse);
		}
	}

	private void sendAttempt(TrafficAction.Send send) {
		// Other callers take the outcome as unknown after the deadline of the claim.
		if (!this.claim.canSend(this.context.timer().nanoTime())) {
			LOG.info("claim_expired", "request", this.request.api().id(), "attempt", send.attempt());
			this.router.finishAttempt(send.attempt(), AttemptOutcome.CANCELLED);
			withdrawClaim(
					new TrafficAction.Refuse(this.trafficRequest.id(), TrafficAction.Reason.DEADLINE, RETRY_AFTER));
			return;
		}
		this.sendCount++;
		PlainService.CallResult result = this.context.send(send.backend(), PlainCallHandler.toCall(send.attempt(),
				this.request.api().id(), this.request.target(), this.request.body()));
		this.router.finishAttempt(send.attempt(), IdempotentCall.outcome(result));
		onResult(send, result);
	}

	private void onResult(TrafficAction.Send send, PlainService.CallResult result) {
		if (result instanceof PlainService.CallCompleted answered) {
			completeClaim(answered);
			return;
		}
		LOG.info("claimed_call_failed", "request", this.request.api().id(), "attempt", send.attempt(), "backend",
				send.backend(), "result", result);
		if (result instanceof PlainService.CallUnknown) {
			this.context.metrics().countClaim("unknown");
			settle(() -> this.claims.completeWithUnknownOutcome(this.claim),
					() -> ClaimedCallHandler.respondUnknown(this.request.api()));
		}
		else if (this.sendCount < MAX_SENDS) {
			this.isSending.set(false);
			this.router.retry(this.trafficRequest, send.attempt()).ifPresent(this::withdrawUnlessSending);
		}
		else {
			withdrawClaim(new TrafficAction.Refuse(this.trafficRequest.id(), TrafficAction.Reason.RETRIES_EXHAUSTED,
					RETRY_AFTER));
		}
	}

	private void completeClaim(PlainService.CallCompleted answered) {
		this.context.metrics().countClaim("ran");
		Map<String, String> headers = PlainCallHandler.filterResponseHeaders(answered.headers());
		StoredOutcome outcome = (answered.body().length <= MAX_STORED_BODY_BYTES)
				? new StoredOutcome(answered.status(), headers, answered.body())
				: new StoredOutcome(answered.status(), Map.of(BODY_OMITTED_HEADER, "true"), new byte[0]);
		settle(() -> this.claims.complete(this.claim, outcome),
				() -> this.request.api().respond(answered.status(), "plain", headers, answered.body()));
	}

	private void withdrawClaim(TrafficAction.Refuse refuse) {
		this.context.metrics().countClaim("not_run");
		settle(() -> this.claims.withdraw(this.claim),
				() -> this.request.api().respondError(ApiError.of(refuse, Execution.NOT_RUN)));
	}

	// Responds to the caller after the first try, whether or not the write succeeded.
	private void settle(Supplier<ClaimStore.CompleteResult> write, Runnable respond) {
		this.router.closeRequest(this.trafficRequest.id());
		AtomicBoolean hasResponded = new AtomicBoolean();
		Supplier<ClaimStore.CompleteResult> writeAndRespond = () -> {
			try {
				return write.get();
			}
			finally {
				if (!hasResponded.getAndSet(true)) {
					respond.run();
				}
			}
		};
		new ClaimWriteRetry(this.context).writeUntilStored(writeAndRespond, this.onSettled);
	}

}
