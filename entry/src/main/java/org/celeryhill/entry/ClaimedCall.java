package org.celeryhill.entry;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.BooleanSupplier;

import org.celeryhill.base.EventLog;
import org.celeryhill.base.Execution;
import org.celeryhill.base.RequestId;
import org.celeryhill.port.PlainService;
import org.celeryhill.traffic.AttemptOutcome;
import org.celeryhill.traffic.TrafficAction;

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

	/** Time between two tries to store an outcome. */
	private static final Duration STORE_PERIOD = Duration.ofMillis(500);

	/** Tries to store an outcome before it is given up; about five minutes. */
	private static final int MAX_STORE_TRIES = 600;

	/** Time after which a caller may try again. */
	private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

	/** Call. */
	private final ClaimRunner.Request request;

	/** Claim. */
	private final CallClaims.Won claim;

	/** Decides where the call is sent. */
	private final AttemptRouter router;

	/** What all plain calls share. */
	private final PlainContext context;

	/** Called once when the outcome is stored or given up. */
	private final Runnable onSettled;

	/** Backend servers that were tried. */
	private int sends;

	/** Id under which the router knows the current send. */
	private RequestId routed;

	ClaimedCall(ClaimRunner.Request request, CallClaims.Won claim, PlainContext context, Runnable onSettled) {
		this.request = Objects.requireNonNull(request, "request");
		this.claim = Objects.requireNonNull(claim, "claim");
		this.context = Objects.requireNonNull(context, "context");
		this.router = context.router(claim.system());
		this.onSettled = Objects.requireNonNull(onSettled, "onSettled");
	}

	/**
	 * Asks for a backend server. Each send has its own id, since the router never
	 * repeats.
	 */
	void start() {
		this.routed = Ids.request();
		Optional<TrafficAction.Refuse> refused = this.router
			.offer(PlainHandler.toTraffic(this.routed, this.request.target(), this.context.timer().nanoTime()), this);
		refused.ifPresent(this::notRun);
	}

	@Override
	public void onSend(TrafficAction.Send send) {
		try {
			this.context.workers().execute(() -> run(send));
		}
		catch (RejectedExecutionException ex) {
			this.router.finish(send.attempt(), AttemptOutcome.CANCELLED);
			this.router.close(this.routed);
			// Settling blocks, so it must not run on the thread of the router.
			this.context.timer()
				.after(Duration.ZERO, () -> notRun(
						new TrafficAction.Refuse(this.routed, TrafficAction.Reason.QUEUE_FULL, RETRY_AFTER)));
		}
	}

	@Override
	public void onRefuse(TrafficAction.Refuse refuse) {
		try {
			this.context.workers().execute(() -> notRun(refuse));
		}
		catch (RejectedExecutionException ex) {
			this.context.timer().after(Duration.ZERO, () -> notRun(refuse));
		}
	}

	private void run(TrafficAction.Send send) {
		this.sends++;
		PlainService.CallResult result;
		try {
			result = this.context.send(send.backend(), PlainHandler.toCall(send.attempt(), this.request.api().id(),
					this.request.target(), this.request.body()));
		}
		catch (RuntimeException ex) {
			result = new PlainService.CallUnknown("fault of the adapter: " + ex);
		}
		this.router.finish(send.attempt(), IdempotentCall.outcome(result));
		this.router.close(this.routed);
		onResult(send, result);
	}

	private void onResult(TrafficAction.Send send, PlainService.CallResult result) {
		if (result instanceof PlainService.Answered answered) {
			settle(CallOutcome.ran(answered.status(), PlainHandler.passedHeaders(answered.headers()), answered.body()));
			return;
		}
		LOG.info("claimed_call_failed", "request", this.request.api().id(), "attempt", send.attempt(), "backend",
				send.backend(), "result", result);
		if (result instanceof PlainService.CallUnknown) {
			settle(CallOutcome.unknown());
		}
		else if (this.sends < MAX_SENDS) {
			start();
		}
		else {
			notRun(new TrafficAction.Refuse(this.routed, TrafficAction.Reason.RETRIES_EXHAUSTED, RETRY_AFTER));
		}
	}

	private void notRun(TrafficAction.Refuse refuse) {
		this.context.metrics().claim("not_run");
		store(this.claim::release, () -> this.request.api().error(ApiError.of(refuse, Execution.NOT_RUN)));
	}

	private void settle(CallOutcome outcome) {
		this.context.metrics().claim(outcome.execution().toCode());
		CallOutcome stored = outcome.toStored();
		store(() -> this.claim.complete(stored), () -> ClaimRunner.answer(this.request.api(), outcome, false));
	}

	// The caller is answered whether or not storing worked; storing is repeated if not.
	private void store(BooleanSupplier write, Runnable answer) {
		boolean isStored = tryStore(write);
		answer.run();
		if (isStored) {
			this.onSettled.run();
			return;
		}
		storeLater(write, 1);
	}

	private void storeLater(BooleanSupplier write, int tries) {
		this.context.timer().after(STORE_PERIOD, () -> {
			try {
				this.context.workers().execute(() -> storeAgain(write, tries));
			}
			catch (RejectedExecutionException ex) {
				storeLater(write, tries + 1);
			}
		});
	}

	private void storeAgain(BooleanSupplier write, int tries) {
		if (tryStore(write)) {
			this.onSettled.run();
		}
		else if (tries >= MAX_STORE_TRIES) {
			LOG.warn("outcome_not_stored", "request", this.request.api().id(), "tries", tries);
			this.onSettled.run();
		}
		else {
			storeLater(write, tries + 1);
		}
	}

	private boolean tryStore(BooleanSupplier write) {
		try {
			return write.getAsBoolean();
		}
		catch (RuntimeException ex) {
			LOG.warn("outcome_store_fault", "request", this.request.api().id(), "fault", ex);
			return false;
		}
	}

}
