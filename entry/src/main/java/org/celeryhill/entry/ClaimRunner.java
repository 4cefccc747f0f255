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
 * Serves non-idempotent calls: claims the key, lets the winner send the call, and answers
 * repeated keys from the claim. A caller that leaves does not stop its call. Thread-safe.
 */
final class ClaimRunner {

	/** Header of an answer that was stored before. */
	static final String REPLAYED = "Idempotency-Replayed";

	/** Log of this class. */
	private static final EventLog LOG = EventLog.of(ClaimRunner.class);

	/** Time between two looks at a claim that runs elsewhere. */
	private static final Duration POLL_PERIOD = Duration.ofMillis(200);

	/** Time after which a caller may try again. */
	private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

	/** Claims. */
	private final ClaimStore claims;

	/** Repeats writes that the store did not take. */
	private final StoreRetry retry;

	/** What all plain calls share. */
	private final PlainContext context;

	/** Longest wait for a claim that runs elsewhere. */
	private final Duration wait;

	/** Calls whose claim this daemon holds and whose outcome is not stored yet. */
	private final AtomicInteger held = new AtomicInteger();

	ClaimRunner(ClaimStore claims, PlainContext context, Duration wait) {
		this.claims = Objects.requireNonNull(claims, "claims");
		this.context = Objects.requireNonNull(context, "context");
		this.wait = Objects.requireNonNull(wait, "wait");
		this.retry = new StoreRetry(context);
	}

	/**
	 * Serves a call.
	 * @param api the exchange, not null
	 * @param target what is called, not null
	 * @param key the idempotency key, not null
	 * @param body the body, not null
	 */
	void start(ApiExchange api, PlainTarget target, String key, byte[] body) {
		ServingSystem system = TrafficSplit.choose(target.organisation() + "/" + key,
				target.parameters().newSystemPercent());
		Request request = new Request(api, target, key, body, digest(target, body), Ids.attempt(), system,
				this.context.timer().nanoTime());
		submit(request);
	}

	/**
	 * Returns the claims of this daemon whose outcome is not stored yet.
	 * @return the number
	 */
	int heldClaims() {
		return this.held.get();
	}

	private void submit(Request request) {
		// Counted before the claim is written, so that shutdown waits for it.
		this.held.incrementAndGet();
		try {
			this.context.workers().execute(() -> claim(request));
		}
		catch (RejectedExecutionException ex) {
			this.held.decrementAndGet();
			request.api()
				.error(ApiError.notRun(ErrorCode.OVERLOADED, "This daemon has no free worker; retry with the same key.")
					.withRetryAfter(RETRY_AFTER));
		}
	}

	private void claim(Request request) {
		boolean isHandedOn = false;
		try {
			PlainTarget target = request.target();
			ClaimStore.ClaimResult result = this.claims.claim(target.organisation(), request.key(), request.attempt(),
					request.digest(), request.system());
			isHandedOn = result instanceof ClaimStore.Acquired
					|| result instanceof StoreUnavailable store && store.isOutcomeUnknown();
			onResult(request, result);
		}
		catch (RuntimeException ex) {
			LOG.warn("claim_fault", "request", request.api().id(), "fault", ex);
			request.api()
				.error(ApiError.of(ErrorCode.INTERNAL, "Unexpected fault; repeat the request with the same key.",
						Execution.UNKNOWN));
		}
		finally {
			if (!isHandedOn) {
				this.held.decrementAndGet();
			}
		}
	}

	private void onResult(Request request, ClaimStore.ClaimResult result) {
		ApiExchange api = request.api();
		if (result instanceof ClaimStore.Acquired won) {
			this.context.metrics().claim("won");
			new ClaimedCall(request, this.claims, won, this.context, this.held::decrementAndGet).start();
		}
		else if (result instanceof ClaimStore.Finished finished) {
			this.context.metrics().claim("replayed");
			answerStored(api, finished.outcome());
		}
		else if (result instanceof ClaimStore.OutcomeUnknown) {
			this.context.metrics().claim("unknown");
			answerUnknown(api);
		}
		else if (result instanceof ClaimStore.KeyReused) {
			this.context.metrics().claim("key_reused");
			api.error(ApiError.notRun(ErrorCode.IDEMPOTENCY_KEY_REUSED,
					"This Idempotency-Key was used for another request; use a new key for a new call."));
		}
		else if (result instanceof StoreUnavailable store) {
			onStoreUnavailable(request, store);
		}
		else {
			waitForOther(request);
		}
	}

	private void onStoreUnavailable(Request request, StoreUnavailable store) {
		this.context.metrics().claim("store_unavailable");
		LOG.info("claim_unavailable", "request", request.api().id(), "reason", store.reason(), "unknown",
				store.isOutcomeUnknown());
		request.api()
			.error(ApiError
				.notRun(ErrorCode.STORE_UNAVAILABLE,
						"The call was not sent since it cannot be recorded now; retry with the same key.")
				.withRetryAfter(RETRY_AFTER));
		if (store.isOutcomeUnknown()) {
			// The write may still arrive; the key would then wait for a call that nobody
			// sends.
			PlainTarget target = request.target();
			this.retry.write(() -> this.claims.abandon(target.organisation(), request.key(), request.attempt(),
					request.digest(), request.system()), this.held::decrementAndGet);
		}
	}

	private void waitForOther(Request request) {
		long waited = this.context.timer().nanoTime() - request.startedNanos();
		if (waited > this.wait.toNanos()) {
			this.context.metrics().claim("in_progress");
			request.api()
				.error(ApiError
					.of(ErrorCode.CALL_IN_PROGRESS,
							"A call with this key is still running; repeat with the same key for its outcome.",
							Execution.UNKNOWN)
					.withRetryAfter(RETRY_AFTER));
			return;
		}
		this.context.timer().after(POLL_PERIOD, () -> submit(request));
	}

	private static void answerStored(ApiExchange api, StoredOutcome outcome) {
		if (outcome.headers().containsKey(ClaimedCall.BODY_LEFT_OUT)) {
			api.error(ApiError.of(ErrorCode.OUTCOME_NOT_STORED,
					"The call ran with status " + outcome.status()
							+ ", but its answer was too large to be kept; ask the service for the result.",
					Execution.RAN));
			return;
		}
		Map<String, String> headers = new HashMap<>(outcome.headers());
		headers.put(REPLAYED, "true");
		api.answer(outcome.status(), "replayed", headers, outcome.body());
	}

	static void answerUnknown(ApiExchange api) {
		api.error(ApiError.of(ErrorCode.OUTCOME_UNKNOWN,
				"It cannot be determined whether the call ran; check with the service before using a new key.",
				Execution.UNKNOWN));
	}

	private static String digest(PlainTarget target, byte[] body) {
		java.security.MessageDigest sha = DigestUtils.getSha256Digest();
		String head = target.service() + "\n" + target.method() + "\n" + target.rawPath() + "\n";
		sha.update(head.getBytes(StandardCharsets.UTF_8));
		return org.apache.commons.codec.binary.Hex.encodeHexString(sha.digest(body));
	}

	/**
	 * A call with its key.
	 *
	 * @param api the exchange, not null
	 * @param target what is called, not null
	 * @param key the idempotency key, not null
	 * @param body the body, not null
	 * @param digest the digest of the request, not null
	 * @param attempt the unique id of the claim, not null
	 * @param system the system that the traffic split chooses, not null
	 * @param startedNanos when the request arrived, monotonic nanoseconds
	 */
	record Request(ApiExchange api, PlainTarget target, String key, byte[] body, String digest, AttemptId attempt,
			ServingSystem system, long startedNanos) {

	}

}
