package org.celeryhill.forward;

import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.concurrent.Future;
import org.celeryhill.access.Organisation;
import org.celeryhill.base.BackendServerId;
import org.celeryhill.base.EventLog;
import org.celeryhill.base.RequestId;
import org.celeryhill.base.ServiceId;
import org.celeryhill.quota.QuotaDecision;
import org.celeryhill.traffic.AttemptOutcome;
import org.celeryhill.traffic.RequestBounds;
import org.celeryhill.traffic.RequestTraits;
import org.celeryhill.traffic.TrafficAction;
import org.celeryhill.traffic.TrafficRequest;

/**
 * A request of a caller, from its arrival to its final response, over all attempts. Must
 * be used on the event loop.
 */
final class ForwardCall implements RequestHandler.ActiveRequest {

	private static final EventLog LOG = EventLog.of(ForwardCall.class);

	/** Time after the deadline in which a response of a backend server is accepted. */
	private static final long EXPIRY_SLACK_MS = 60;

	private static final long NO_STATED_TOKENS = -1;

	private static final String QUARANTINED = "prompt_quarantined";

	/** Time after which a caller may ask again where this host could not decide. */
	private static final Duration UNDECIDED_RETRY_AFTER = Duration.ofMillis(300);

	/** Time after which a caller may ask again whose request no server could take. */
	private static final Duration UNSERVED_RETRY_AFTER = Duration.ofMillis(200);

	/** Part of the latency target that is left for the execution, as a divisor. */
	private static final int EXECUTION_TARGET_DIVISOR = 2;

	final Forwarder forwarder;

	final RequestId key;

	final IncomingRequest incoming;

	final RequestMetadata requestMetadata;

	final Route route;

	/** The organisation that the caller's key belongs to, empty if it needs none. */
	final Optional<Organisation> organisation;

	final ServiceId service;

	final ResponseChannel channel;

	final TrafficRequest request;

	final List<Long> prefixBlockHashes;

	/** What identifies the content of the request. */
	final RequestTraits traits;

	final long deadlineNanos;

	private final CallRecord record;

	final ModelDemand demand;

	/** Whether the caller has been refused before. */
	private final boolean isReturn;

	private Future<?> expiryTimer;

	private final QuotaAdmission quota = new QuotaAdmission();

	private ForwardAttempt attempt;

	int executionCount;

	int sendCount;

	/**
	 * Whether a backend server may have executed the request, so that a response which
	 * states that it was not executed would be wrong.
	 */
	boolean mayHaveRun;

	boolean isStreaming;

	private boolean isEnded;

	Optional<String> lastEventId;

	int eventCount;

	ForwardCall(Forwarder forwarder, RequestId key, IncomingRequest incoming, RequestMetadata requestMetadata,
			Route route, Optional<Organisation> organisation, ResponseChannel channel) {
		this.forwarder = forwarder;
		this.key = key;
		this.incoming = incoming;
		this.requestMetadata = requestMetadata;
		this.route = route;
		this.organisation = organisation;
		this.channel = channel;
		this.service = route.selectService(requestMetadata.id().orElseThrow());
		this.lastEventId = requestMetadata.resumeAfter();
		CallRequest described = new CallRequest(key, requestMetadata, route, this.service, organisation,
				incoming.arrivedNanos());
		this.deadlineNanos = described.deadlineNanos();
		this.traits = RequestFingerprint.traitsOf(incoming, requestMetadata);
		this.prefixBlockHashes = PromptBlockHashes.of(requestMetadata.prompt());
		RequestBounds.Arrival arrival = described.arrival(forwarder.callerPatience());
		this.isReturn = arrival.isReturn();
		this.request = described.toTrafficRequest(forwarder, this.prefixBlockHashes, arrival);
		this.record = new CallRecord(this, arrival);
		this.demand = new ModelDemand(this);
		long delay = this.deadlineNanos - System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(EXPIRY_SLACK_MS);
		this.expiryTimer = forwarder.loop().schedule(this::expire, delay, TimeUnit.NANOSECONDS);
	}

	boolean isEnded() {
		return this.isEnded;
	}

	void submit() {
		Optional<Duration> quarantine = this.forwarder.promptGuard().check(this.traits, System.nanoTime());
		if (quarantine.isPresent()) {
			refuse(QUARANTINED, quarantine.get());
			return;
		}
		if (this.organisation.isEmpty()) {
			offer();
			return;
		}
		long tokens = this.requestMetadata.statedTokens().orElse(NO_STATED_TOKENS);
		this.quota.ask(this.forwarder.quotaGate(), this.organisation.get().id(), tokens, System.nanoTime(),
				this::handleQuotaDecision);
		Duration target = this.route.targetLatency().isZero() ? this.route.timeout() : this.route.targetLatency();
		this.quota.limitWait(this.forwarder.loop(), target.toNanos() / EXECUTION_TARGET_DIVISOR,
				() -> refuse("quota_undecided", UNDECIDED_RETRY_AFTER));
	}

	private void handleQuotaDecision(QuotaDecision decision) {
		if (decision instanceof QuotaDecision.Rejected rejection) {
			String reason = "quota_" + rejection.reason().name().toLowerCase(Locale.ROOT);
			refuse(HttpResponseStatus.TOO_MANY_REQUESTS, reason, rejection.retryAfter());
		}
		else {
			offer();
		}
	}

	private void offer() {
		this.demand.recordRequest();
		Optional<Duration> retryDelay = this.requestMetadata.model()
			.flatMap((name) -> AbsentModelCheck.findRetryDelay(this.forwarder, this.route, this.service, name.model(),
					this.isReturn));
		if (retryDelay.isPresent()) {
			refuse("model_absent", retryDelay.get());
			return;
		}
		dispatchUnless(this.forwarder.traffic().offer(this.request, System.nanoTime()));
	}

	private void dispatchUnless(Optional<TrafficAction.Refuse> refusal) {
		refusal.ifPresentOrElse(this::refused, this.forwarder::scheduleDispatch);
	}

	void send(TrafficAction.Send send) {
		if (this.isEnded) {
			this.forwarder.traffic().finish(send.attempt(), AttemptOutcome.CANCELLED, System.nanoTime());
			return;
		}
		ForwardAttempt newAttempt = new ForwardAttempt(this, send.attempt());
		this.attempt = newAttempt;
		Optional<ServerEntry> server = this.forwarder.directory().find(send.backend());
		if (server.isEmpty() || server.get().isDraining()) {
			newAttempt.finish(AttemptOutcome.REFUSED);
			retryOrEnd("server_left");
			return;
		}
		newAttempt.server = server.get();
		AdapterStep.prepare(this.forwarder, this.requestMetadata, send.backend(),
				(isLoaded) -> handleAdapterResult(newAttempt, isLoaded));
	}

	private void handleAdapterResult(ForwardAttempt loadingAttempt, boolean isLoaded) {
		// The request of a finished attempt is queued again and may have been refused.
		if (this.isEnded || this.attempt != loadingAttempt || loadingAttempt.isFinished()) {
			return;
		}
		if (isLoaded) {
			loadingAttempt.start();
			return;
		}
		loadingAttempt.finish(AttemptOutcome.REFUSED);
		retryOrEnd("adapter_not_loaded");
	}

	// Queues the request for another server if it has not been sent to this one yet.
	void rerouteUnsent(BackendServerId server, String reason) {
		if (this.isEnded || this.attempt == null || !this.attempt.isUnsentTo(server)) {
			return;
		}
		this.attempt.abandon();
		retryOrEnd(reason);
	}

	void refused(TrafficAction.Refuse refusal) {
		if (this.isEnded) {
			return;
		}
		String reason = refusal.reason().name();
		if (this.isStreaming) {
			abort("stream_not_resumed:" + reason);
		}
		else {
			endUnserved(reason, () -> refuse(reason, refusal.retryAfter()));
		}
	}

	// Ends the request, which is not served: it fails if a backend server may have run
	// it, else it is refused.
	private void endUnserved(String reason, Runnable refusal) {
		if (this.isStreaming) {
			abort(reason);
		}
		else if (this.mayHaveRun) {
			fail(HttpResponseStatus.BAD_GATEWAY, reason);
		}
		else {
			refusal.run();
		}
	}

	private void refuse(String reason, Duration retryAfter) {
		refuse(HttpResponseStatus.SERVICE_UNAVAILABLE, reason, Optional.of(retryAfter));
	}

	private void refuse(HttpResponseStatus status, String reason, Optional<Duration> retryAfter) {
		HttpHeaders headers = new DefaultHttpHeaders();
		retryAfter.ifPresent((delay) -> this.forwarder.headerCodec().encodeRetryAfter(headers, delay));
		AccessGuard.addChallenge(headers, status);
		this.forwarder.metrics().refused(reason);
		if (status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)) {
			this.record.recordAdmissionRefusal(reason);
		}
		finish(status.code(), reason);
		this.channel.respond(status, headers, Unpooled.EMPTY_BUFFER);
	}

	void fail(HttpResponseStatus status, String reason) {
		finish(status.code(), reason);
		this.channel.respond(status, EmptyHttpHeaders.INSTANCE, Unpooled.EMPTY_BUFFER);
	}

	private void abort(String reason) {
		finish(0, reason);
		this.channel.abort();
	}

	// Ends the request after a part of its prompt came into quarantine, unless its engine
	// has begun to respond.
	void endQuarantined() {
		if (this.isEnded || (this.isStreaming && isInFlight())) {
			return;
		}
		if (isInFlight()) {
			fail(HttpResponseStatus.BAD_GATEWAY, QUARANTINED);
			return;
		}
		endUnserved(QUARANTINED,
				() -> this.forwarder.promptGuard()
					.check(this.traits, System.nanoTime())
					.ifPresent((delay) -> refuse(QUARANTINED, delay)));
	}

	// Ends the request if the configuration no longer allows it, unless a backend server
	// works on it or has responded.
	void recheckAccess() {
		if (!this.isEnded && !isInFlight() && !isResponsePassedOn()) {
			endIfDenied();
		}
	}

	// Ends the request if it may not be sent any more. Returns whether it has ended.
	private boolean endIfDenied() {
		Optional<AccessGuard.Refusal> refusal = this.forwarder.recheckAccess(this);
		if (refusal.isEmpty()) {
			return false;
		}
		String reason = refusal.get().reason();
		endUnserved(reason, () -> refuse(refusal.get().status(), reason, refusal.get().retryAfter()));
		return true;
	}

	// Queues the request for another attempt if that is allowed, else ends it.
	void retryOrEnd(String reason) {
		if (isResponsePassedOn()) {
			abort(reason);
			return;
		}
		if (endIfDenied()) {
			return;
		}
		boolean isAllowed = !this.mayHaveRun
				|| (this.route.isRetryable() && this.executionCount < this.route.maxAttempts());
		boolean isQuarantined = this.forwarder.promptGuard().isQuarantined(this.traits);
		if (isAllowed && !isQuarantined && System.nanoTime() < this.deadlineNanos) {
			long now = System.nanoTime();
			Optional<TrafficAction.Refuse> refusal = this.attempt.wasSent()
					? this.forwarder.traffic().retry(this.request, this.attempt.id, now)
					: this.forwarder.traffic().reroute(this.request, this.attempt.id, now);
			LOG.info("request_again", "request", this.key, "reason", reason, "attempt", this.attempt.id, "server",
					this.attempt.serverId(), "runs", this.executionCount, "refused",
					refusal.map((retryRefusal) -> retryRefusal.reason().name()).orElse("no"));
			dispatchUnless(refusal);
			return;
		}
		endUnserved(reason, () -> refuse(reason, UNSERVED_RETRY_AFTER));
	}

	private boolean isInFlight() {
		return this.attempt != null && this.attempt.isInFlight();
	}

	private boolean isResponsePassedOn() {
		return this.attempt != null && this.attempt.isPassedOn();
	}

	void expire() {
		if (this.isEnded) {
			return;
		}
		if (isResponsePassedOn() && this.attempt.hasCallerProgressed()) {
			// The caller takes a response that has arrived in time, if slowly.
			long delay = this.forwarder.limits().idleTimeout().toNanos();
			this.expiryTimer = this.forwarder.loop().schedule(this::expire, delay, TimeUnit.NANOSECONDS);
		}
		else if (this.isStreaming) {
			abort("timeout");
		}
		else if (this.mayHaveRun || isInFlight()) {
			fail(HttpResponseStatus.GATEWAY_TIMEOUT, "timeout");
		}
		else {
			refuse("timeout_in_queue", Duration.ofMillis(500));
		}
	}

	@Override
	public void onCallerDisconnected() {
		if (this.isEnded) {
			return;
		}
		if (this.route.kind() == Route.Kind.NON_IDEMPOTENT && isInFlight()) {
			// The attempt is not cancelled: the request may not be executed again, so
			// its outcome could not be obtained otherwise.
			this.attempt.detach();
		}
		finish(0, "caller_left");
	}

	@Override
	public void onCallerWritable() {
		if (this.attempt != null && this.attempt.exchange != null) {
			this.attempt.resume();
		}
	}

	void finish(int status, String reason) {
		this.isEnded = true;
		this.expiryTimer.cancel(false);
		if (this.eventCount == 0 && this.quota.isOpen()) {
			this.demand.recordLate();
		}
		this.incoming.body().release();
		boolean isDetached = this.attempt != null && this.attempt.isDetached();
		if (this.attempt != null && !isDetached) {
			this.attempt.cancel();
		}
		this.quota.end(this.mayHaveRun || isDetached, System.nanoTime());
		this.forwarder.traffic().cancel(this.key);
		this.forwarder.removeCall(this);
		this.record.recordEnd(status, reason, (this.attempt != null) ? this.attempt.serverId() : "none");
		this.forwarder.scheduleDispatch();
	}

}
