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
 * One non-idempotent call whose claim this daemon has won. The call is sent once; it is
 * sent to another backend server only after one has certainly not run it. The outcome is
 * stored before it is answered, or, while the store is away, as soon as it is back.
 * Thread-safe, since its steps follow each other.
 */
final class ClaimedCall implements AttemptRouter.Listener {

	/** Log of this class. */
	private static final EventLog LOG = EventLog.of(ClaimedCall.class);

	/** Most backend servers that are tried. */
	private static final int MAX_SENDS = 3;

	/**
	 * Largest body that is kept for repetition, in bytes; rows of the table are small.
	 */
	static final int MAX_KEPT_BYTES = 64 * 1024;

	/** Header of a stored outcome whose body was too large to be kept. */
	static final String BODY_LEFT_OUT = "X-Body-Left-Out";

	/** Time after which a caller may try again. */
	private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

	/** Call. */
	private final ClaimRunner.Request request;

	/** Claims. */
	private final ClaimStore claims;

	/** Claim of this call. */
	private final ClaimStore.Acquired claim;

	/** Decides where the call is sent. */
	private final AttemptRouter router;

	/** What all plain calls share. */
	private final PlainContext context;

	/** Called once when the outcome is stored or given up. */
	private final Runnable onSettled;

	/** What the router knows of the call. */
	private final TrafficRequest traffic;

	/** Set while an attempt may run, and for good once the claim is being ended. */
	private final AtomicBoolean isSending = new AtomicBoolean();

	/** Backend servers that were tried; only used while {@link #isSending}. */
	private int sends;

	ClaimedCall(ClaimRunner.Request request, ClaimStore claims, ClaimStore.Acquired claim, PlainContext context,
			Runnable onSettled) {
		this.request = Objects.requireNonNull(request, "request");
		this.claims = Objects.requireNonNull(claims, "claims");
		this.claim = Objects.requireNonNull(claim, "claim");
		this.context = Objects.requireNonNull(context, "context");
		this.router = context.router(claim.claim().system());
		// The router may choose again only because this class follows it only after a
		// server has certainly not run the call.
		this.traffic = PlainHandler.toTraffic(request.api().id(), request.target(), true, context.timer().nanoTime());
		this.onSettled = Objects.requireNonNull(onSettled, "onSettled");
	}

	/** Asks for a backend server. */
	void start() {
		this.router.offer(this.traffic, this).ifPresent(this::notRunUnlessSending);
	}

	@Override
	public void onSend(TrafficAction.Send send) {
		// A hedge that comes after the first attempt has certainly not run is the retry.
		if (!this.isSending.compareAndSet(false, true)) {
			this.router.finish(send.attempt(), AttemptOutcome.CANCELLED);
			return;
		}
		try {
			this.context.workers().execute(() -> run(send));
		}
		catch (RejectedExecutionException ex) {
			this.router.finish(send.attempt(), AttemptOutcome.CANCELLED);
			// Settling blocks, so it must not run on the thread of the router.
			this.context.timer()
				.after(Duration.ZERO, () -> notRun(
						new TrafficAction.Refuse(this.traffic.id(), TrafficAction.Reason.QUEUE_FULL, RETRY_AFTER)));
		}
	}

	@Override
	public void onRefuse(TrafficAction.Refuse refuse) {
		try {
			this.context.workers().execute(() -> notRunUnlessSending(refuse));
		}
		catch (RejectedExecutionException ex) {
			this.context.timer().after(Duration.ZERO, () -> notRunUnlessSending(refuse));
		}
	}

	// Once taken, the right to send is not given back, so that nothing is sent after the
	// claim was withdrawn.
	private void notRunUnlessSending(TrafficAction.Refuse refuse) {
		if (this.isSending.compareAndSet(false, true)) {
			notRun(refuse);
		}
	}

	private void run(TrafficAction.Send send) {
		this.sends++;
		PlainService.CallResult result = this.context.send(send.backend(), PlainHandler.toCall(send.attempt(),
				this.request.api().id(), this.request.target(), this.request.body()));
		this.router.finish(send.attempt(), IdempotentCall.outcome(result));
		onResult(send, result);
	}

	private void onResult(TrafficAction.Send send, PlainService.CallResult result) {
		if (result instanceof PlainService.CallCompleted answered) {
			ran(answered);
			return;
		}
		LOG.info("claimed_call_failed", "request", this.request.api().id(), "attempt", send.attempt(), "backend",
				send.backend(), "result", result);
		if (result instanceof PlainService.CallUnknown) {
			this.context.metrics().claim("unknown");
			settle(() -> this.claims.completeWithUnknownOutcome(this.claim), () -> ClaimRunner.answerUnknown(this.request.api()));
		}
		else if (this.sends < MAX_SENDS) {
			this.isSending.set(false);
			this.router.retry(this.traffic, send.attempt()).ifPresent(this::notRunUnlessSending);
		}
		else {
			notRun(new TrafficAction.Refuse(this.traffic.id(), TrafficAction.Reason.RETRIES_EXHAUSTED, RETRY_AFTER));
		}
	}

	private void ran(PlainService.CallCompleted answered) {
		this.context.metrics().claim("ran");
		Map<String, String> headers = PlainHandler.passedHeaders(answered.headers());
		StoredOutcome outcome = (answered.body().length <= MAX_KEPT_BYTES)
				? new StoredOutcome(answered.status(), headers, answered.body())
				: new StoredOutcome(answered.status(), Map.of(BODY_LEFT_OUT, "true"), new byte[0]);
		settle(() -> this.claims.complete(this.claim, outcome),
				() -> this.request.api().answer(answered.status(), "plain", headers, answered.body()));
	}

	private void notRun(TrafficAction.Refuse refuse) {
		this.context.metrics().claim("not_run");
		settle(() -> this.claims.withdraw(this.claim),
				() -> this.request.api().error(ApiError.of(refuse, Execution.NOT_RUN)));
	}

	// The caller is answered after the first try, whether or not the store took it.
	private void settle(Supplier<ClaimStore.CompleteResult> write, Runnable answer) {
		this.router.close(this.traffic.id());
		AtomicBoolean isAnswered = new AtomicBoolean();
		Supplier<ClaimStore.CompleteResult> writeAndAnswer = () -> {
			try {
				return write.get();
			}
			finally {
				if (!isAnswered.getAndSet(true)) {
					answer.run();
				}
			}
		};
		new StoreRetry(this.context).write(writeAndAnswer, this.onSettled);
	}

}
