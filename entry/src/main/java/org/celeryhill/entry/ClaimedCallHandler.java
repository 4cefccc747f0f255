package org.celeryhill.entry;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicInteger;

import org.apache.commons.codec.digest.DigestUtils;
import org.celeryhill.base.AttemptId;
import org.celeryhill.base.EventLog;
import org.celeryhill.base.Execution;
import org.celeryhill.state.ClaimStore;
import org.celeryhill.state.ServingSystem;
import org.celeryhill.state.StoreUnavailable;
import org.celeryhill.state.StoredOutcome;

/**
 * Serves non-idempotent calls. It claims the idempotency key, sends the call if the claim
 * is acquired, and otherwise responds with the stored outcome of the earlier call. A call
 * is not cancelled when its caller disconnects. Thread-safe.
 */
final class ClaimedCallHandler {

	/** Header of a response that repeats a stored outcome. */
	static final String REPLAYED_HEADER = "Idempotency-Replayed";

	/** Log of this class. */
	private static final EventLog LOG = EventLog.of(ClaimedCallHandler.class);

	/** Time between two reads of a claim whose call is still running. */
	private static final Duration POLL_PERIOD = Duration.ofMillis(200);

	/** Value of {@code Retry-After} for refused calls. */
	private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

	/** Store of claims. */
	private final ClaimStore claimStore;

	/** Repeats failed writes of claims. */
	private final ClaimWriteRetry writeRetry;

	/** Collaborators and limits shared by all plain-service calls. */
	private final PlainCallContext context;

	/** Maximum wait for another call with the same key. */
	private final Duration maxWait;

	/**
	 * Number of calls that are being claimed, or whose claim this daemon holds without a
	 * stored outcome.
	 */
	private final AtomicInteger heldCount = new AtomicInteger();

	ClaimedCallHandler(ClaimStore claims, PlainCallContext context, Duration maxWait) {
		this.claimStore = Objects.requireNonNull(claims, "claims");
		this.context = Objects.requireNonNull(context, "context");
		this.maxWait = Objects.requireNonNull(maxWait, "maxWait");
		this.writeRetry = new ClaimWriteRetry(context);
	}

	/**
	 * Serves a call. Does not block.
	 * @param api the exchange with the caller, not null
	 * @param target the validated call, not null
	 * @param key the idempotency key, not null
	 * @param body the request body, not null
	 */
	void serve(ApiExchange api, PlainCallTarget target, String key, byte[] body) {
		ServingSystem system = TrafficSplit.choose(target.organisation() + "/" + key,
				target.parameters().newSystemPercent());
		Request request = new Request(api, target, key, body, digest(target, body), RandomIds.attempt(), system,
				this.context.timer().nanoTime());
		submit(request);
	}

	/**
	 * Returns the number of calls that are being claimed, or whose claim this daemon
	 * holds without a stored outcome.
	 * @return the number of calls
	 */
	int heldClaims() {
		return this.heldCount.get();
	}

	private void submit(Request request) {
		// Counted before the claim is written, so that the shutdown waits for it.
		this.heldCount.incrementAndGet();
		try {
			this.context.workers().execute(() -> claimKey(request));
		}
		catch (RejectedExecutionException ex) {
			this.heldCount.decrementAndGet();
			request.api()
				.respondError(ApiError
					.notRun(ErrorCode.OVERLOADED, "This daemon has no free worker; retry with the same key.")
					.withRetryAfter(RETRY_AFTER));
		}
	}

	private void claimKey(Request request) {
		boolean isHeldByCall = false;
		try {
			PlainCallTarget target = request.target();
			ClaimStore.ClaimResult result = this.claimStore.claim(target.organisation(), request.key(),
					request.attempt(), request.digest(), request.system());
			isHeldByCall = result instanceof ClaimStore.Acquired
					|| result instanceof StoreUnavailable store && store.isOutcomeUnknown();
			onResult(request, result);
		}
		catch (RuntimeException ex) {
			LOG.warn("claim_fault", "request", request.api().id(), "fault", ex);
			request.api()
				.respondError(ApiError.of(ErrorCode.INTERNAL, "Unexpected fault; repeat the request with the same key.",
						Execution.UNKNOWN));
		}
		finally {
			if (!isHeldByCall) {
				this.heldCount.decrementAndGet();
			}
		}
	}

	private void onResult(Request request, ClaimStore.ClaimResult result) {
		ApiExchange api = request.api();
		if (result instanceof ClaimStore.Acquired acquired) {
			this.context.metrics().countClaim("won");
			new ClaimedCall(request, this.claimStore, acquired, this.context, this.heldCount::decrementAndGet).start();
		}
		else if (result instanceof ClaimStore.Finished finished) {
			this.context.metrics().countClaim("replayed");
			respondStored(api, finished.outcome());
		}
		else if (result instanceof ClaimStore.OutcomeUnknown) {
			this.context.metrics().countClaim("unknown");
			respondUnknown(api);
		}
		else if (result instanceof ClaimStore.KeyReused) {
			this.context.metrics().countClaim("key_reused");
			api.respondError(ApiError.notRun(ErrorCode.IDEMPOTENCY_KEY_REUSED,
					"This Idempotency-Key was used for another request; use a new key for a new call."));
		}
		else if (result instanceof StoreUnavailable store) {
			onStoreUnavailable(request, store);
		}
		else {
			waitForOtherCall(request);
		}
	}

	private void onStoreUnavailable(Request request, StoreUnavailable store) {
		this.context.metrics().countClaim("store_unavailable");
		LOG.info("claim_unavailable", "request", request.api().id(), "reason", store.reason(), "unknown",
				store.isOutcomeUnknown());
		request.api()
			.respondError(ApiError
				.notRun(ErrorCode.STORE_UNAVAILABLE,
						"The call was not sent since it cannot be recorded now; retry with the same key.")
				.withRetryAfter(RETRY_AFTER));
		if (store.isOutcomeUnknown()) {
			// The write may still take effect. The claim is abandoned, since repeated
			// requests would otherwise wait for a call that nobody sends.
			PlainCallTarget target = request.target();
			this.writeRetry.writeUntilStored(() -> this.claimStore.abandon(target.organisation(), request.key(),
					request.attempt(), request.digest(), request.system()), this.heldCount::decrementAndGet);
		}
	}

	private void waitForOtherCall(Request request) {
		long waited = this.context.timer().nanoTime() - request.startedNanos();
		if (waited > this.maxWait.toNanos()) {
			this.context.metrics().countClaim("in_progress");
			request.api()
				.respondError(ApiError
					.of(ErrorCode.CALL_IN_PROGRESS,
							"A call with this key is still running; repeat with the same key for its outcome.",
							Execution.UNKNOWN)
					.withRetryAfter(RETRY_AFTER));
			return;
		}
		this.context.timer().after(POLL_PERIOD, () -> submit(request));
	}

	private static void respondStored(ApiExchange api, StoredOutcome outcome) {
		if (outcome.headers().containsKey(ClaimedCall.BODY_OMITTED_HEADER)) {
			api.respondError(ApiError.of(ErrorCode.OUTCOME_NOT_STORED,
					"The call ran with status " + outcome.status()
							+ ", but its answer was too large to be kept; ask the service for the result.",
					Execution.RAN));
			return;
		}
		Map<String, String> headers = new HashMap<>(outcome.headers());
		headers.put(REPLAYED_HEADER, "true");
		api.respond(outcome.status(), "replayed", headers, outcome.body());
	}

	static void respondUnknown(ApiExchange api) {
		api.respondError(ApiError.of(ErrorCode.OUTCOME_UNKNOWN,
				"It cannot be determined whether the call ran; check with the service before using a new key.",
				Execution.UNKNOWN));
	}

	private static String digest(PlainCallTarget target, byte[] body) {
		java.security.MessageDigest sha = DigestUtils.getSha256Digest();
		String head = target.service() + "\n" + target.method() + "\n" + target.rawPath() + "\n";
		sha.update(head.getBytes(StandardCharsets.UTF_8));
		return org.apache.commons.codec.binary.Hex.encodeHexString(sha.digest(body));
	}

	/**
	 * A non-idempotent call with its idempotency key.
	 *
	 * @param api the exchange with the caller, not null
	 * @param target the validated call, not null
	 * @param key the idempotency key, not null
	 * @param body the request body, not null
	 * @param digest the digest that identifies a repetition of the same request, not null
	 * @param attempt the unique id of this attempt to acquire the claim, not null
	 * @param system the serving system chosen by the traffic split, not null
	 * @param startedNanos the arrival time of the request, in monotonic nanoseconds
	 */
	record Request(ApiExchange api, PlainCallTarget target, String key, byte[] body, String digest, AttemptId attempt,
			ServingSystem system, long startedNanos) {

	}

}
