package org.celeryhill.forward;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.concurrent.Future;
import org.celeryhill.base.EventLog;
import org.celeryhill.base.ModelId;
import org.celeryhill.base.PriorityClass;
import org.celeryhill.base.RequestId;
import org.celeryhill.base.ServiceId;
import org.celeryhill.traffic.AttemptOutcome;
import org.celeryhill.traffic.TrafficAction;
import org.celeryhill.traffic.TrafficRequest;

/**
 * One request of a caller from its arrival to its final answer. Must be used on the event
 * loop.
 */
final class ForwardCall implements RequestHandler.ActiveRequest {

	private static final EventLog LOG = EventLog.of(ForwardCall.class);

	/** Time after the end of a request in which its backend server may still answer. */
	private static final long EXPIRY_SLACK_MS = 60;

	private static final Duration DEFAULT_DEADLINE = Duration.ofSeconds(30);

	/** Time until a model can be used that no engine loads yet. */
	private static final Duration UNPLANNED_LOAD = Duration.ofMillis(2500);

	private static final Duration LEAST_PATIENCE = Duration.ofSeconds(2);

	final Forwarder forwarder;

	final RequestId key;

	final IncomingRequest incoming;

	final RequestMetadata caller;

	final Route route;

	final ServiceId service;

	final ResponseChannel channel;

	final TrafficRequest request;

	final List<Long> prefix;

	final long endNanos;

	private final Future<?> expiry;

	private ForwardAttempt attempt;

	int runs;

	int sends;

	/** Whether a backend server may have run the request, so that "not run" is untrue. */
	boolean mayHaveRun;

	boolean isStreaming;

	private boolean isEnded;

	Optional<String> lastEventId;

	int events;

	ForwardCall(Forwarder forwarder, RequestId key, IncomingRequest incoming, RequestMetadata caller, Route route,
			ResponseChannel channel) {
		this.forwarder = forwarder;
		this.key = key;
		this.incoming = incoming;
		this.caller = caller;
		this.route = route;
		this.channel = channel;
		this.service = route.selectService(caller.id().orElseThrow());
		this.lastEventId = caller.resumeAfter();
		Duration deadline = caller.deadline().orElse(DEFAULT_DEADLINE);
		Duration limit = (deadline.compareTo(route.timeout()) < 0) ? deadline : route.timeout();
		this.endNanos = incoming.arrivedNanos() + limit.toNanos();
		this.prefix = PromptBlocks.of(caller.prompt());
		this.request = new TrafficRequest(key, RevisionMapping.ORGANISATION, this.service,
				caller.model().map(RequestMetadata.ModelName::toId), RevisionMapping.priority(route),
				caller.promptTokens(), caller.maxTokens(), this.prefix, true, incoming.arrivedNanos());
		long delay = this.endNanos - System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(EXPIRY_SLACK_MS);
		this.expiry = forwarder.loop().schedule(this::expire, delay, TimeUnit.NANOSECONDS);
	}

	RequestId key() {
		return this.key;
	}

	void offer() {
		this.caller.model()
			.ifPresent((name) -> this.forwarder.demand()
				.onRequest(this.service, name.model(), value(this.request.priority())));
		Optional<Duration> absence = absence();
		if (absence.isPresent()) {
			refuse("model_absent", absence.get());
			return;
		}
		Optional<TrafficAction.Refuse> refusal = this.forwarder.traffic().offer(this.request, System.nanoTime());
		if (refusal.isPresent()) {
			refused(refusal.get());
		}
		else {
			this.forwarder.scheduleDispatch();
		}
	}

	// Returns after what time to come back where no engine can serve the model before the
	// caller would give up.
	private Optional<Duration> absence() {
		if (this.caller.model().isEmpty()) {
			return Optional.empty();
		}
		ModelId model = this.caller.model().get().model();
		if (this.forwarder.directory().isServed(this.service, model)) {
			return Optional.empty();
		}
		Duration wait = this.forwarder.forecast().timeUntilReady(model).orElse(UNPLANNED_LOAD);
		boolean isInTime = wait.compareTo(patience().multipliedBy(2).dividedBy(3)) < 0;
		return isInTime ? Optional.empty() : Optional.of(wait);
	}

	// The time after which callers leave a stream that has no event.
	private Duration patience() {
		Duration byTarget = this.route.targetLatency().multipliedBy(4);
		Duration byGap = this.route.targetEventGap().multipliedBy(8);
		Duration longer = (byTarget.compareTo(byGap) > 0) ? byTarget : byGap;
		return (longer.compareTo(LEAST_PATIENCE) > 0) ? longer : LEAST_PATIENCE;
	}

	void noteLate() {
		this.caller.model()
			.ifPresent(
					(name) -> this.forwarder.demand().onLateRequest(this.service, name.model(), value(this.request.priority())));
	}

	private static double value(PriorityClass priority) {
		return 1 << (PriorityClass.values().length - 1 - priority.ordinal());
	}

	void send(TrafficAction.Send send) {
		if (this.isEnded) {
			this.forwarder.traffic().finish(send.attempt(), AttemptOutcome.CANCELLED, System.nanoTime());
			return;
		}
		ForwardAttempt next = new ForwardAttempt(this, send.attempt());
		this.attempt = next;
		Optional<ServerEntry> server = this.forwarder.directory().find(send.backend());
		if (server.isEmpty() || server.get().isDraining()) {
			next.finish(AttemptOutcome.REFUSED);
			again("server_left");
			return;
		}
		next.server = server.get();
		Optional<RequestMetadata.ModelName> adapter = this.caller.model().filter((name) -> name.adapter().isPresent());
		if (adapter.isEmpty() || this.forwarder.directory().hasAdapter(send.backend(), adapter.get().toId())) {
			adapter.ifPresent((name) -> this.forwarder.adapters().recordUse(send.backend(), name));
			next.start();
			return;
		}
		this.forwarder.adapters().load(send.backend(), adapter.get(), (isLoaded) -> adapterDone(next, isLoaded));
	}

	private void adapterDone(ForwardAttempt next, boolean isLoaded) {
		// A finished attempt is back in the queue, where its request may be refused.
		if (this.isEnded || this.attempt != next || next.isFinished()) {
			return;
		}
		if (isLoaded) {
			next.start();
			return;
		}
		next.finish(AttemptOutcome.REFUSED);
		again("adapter_not_loaded");
	}

	void refused(TrafficAction.Refuse refusal) {
		if (this.isEnded) {
			return;
		}
		String reason = refusal.reason().name();
		if (this.isStreaming) {
			abort("stream_not_resumed:" + reason);
		}
		else if (this.mayHaveRun) {
			fail(HttpResponseStatus.BAD_GATEWAY, reason);
		}
		else {
			refuse(reason, refusal.retryAfter());
		}
	}

	private void refuse(String reason, Duration retryAfter) {
		HttpHeaders headers = new DefaultHttpHeaders();
		this.forwarder.dialect().encodeRetryAfter(headers, retryAfter);
		this.forwarder.metrics().refused(reason);
		finish(HttpResponseStatus.SERVICE_UNAVAILABLE.code(), reason);
		this.channel.respond(HttpResponseStatus.SERVICE_UNAVAILABLE, headers, Unpooled.EMPTY_BUFFER);
	}

	void fail(HttpResponseStatus status, String reason) {
		finish(status.code(), reason);
		this.channel.respond(status, EmptyHttpHeaders.INSTANCE, Unpooled.EMPTY_BUFFER);
	}

	private void abort(String reason) {
		finish(0, reason);
		this.channel.abort();
	}

	// Sends the request again if that is allowed, else gives it its final answer.
	void again(String reason) {
		boolean isAllowed = !this.mayHaveRun || (this.route.isRetryable() && this.runs < this.route.maxAttempts());
		if (isAllowed && System.nanoTime() < this.endNanos) {
			long now = System.nanoTime();
			Optional<TrafficAction.Refuse> refusal = this.attempt.wasSent()
					? this.forwarder.traffic().retry(this.request, this.attempt.id, now)
					: this.forwarder.traffic().reroute(this.request, this.attempt.id, now);
			LOG.info("request_again", "request", this.key, "reason", reason, "attempt", this.attempt.id, "server",
					this.attempt.serverId(), "runs", this.runs, "refused",
					refusal.map((one) -> one.reason().name()).orElse("no"));
			if (refusal.isPresent()) {
				refused(refusal.get());
			}
			else {
				this.forwarder.scheduleDispatch();
			}
			return;
		}
		if (this.isStreaming) {
			abort(reason);
		}
		else if (this.mayHaveRun) {
			fail(HttpResponseStatus.BAD_GATEWAY, reason);
		}
		else {
			refuse(reason, Duration.ofMillis(200));
		}
	}

	void expire() {
		if (this.isEnded) {
			return;
		}
		if (this.isStreaming) {
			abort("timeout");
		}
		else if (this.mayHaveRun || (this.attempt != null && this.attempt.isOpen())) {
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
		boolean isKept = this.route.kind() == Route.Kind.NON_IDEMPOTENT && this.attempt != null
				&& this.attempt.isOpen();
		if (isKept) {
			// The run is not broken off, as its outcome cannot be had in another way.
			this.attempt.isOrphaned = true;
			this.attempt.orphan(this.attempt.id);
		}
		finish(0, "caller_left");
	}

	@Override
	public void onCallerWritable() {
		if (this.attempt != null && this.attempt.exchange != null) {
			this.attempt.exchange.setReading(true);
		}
	}

	void finish(int status, String reason) {
		this.isEnded = true;
		this.expiry.cancel(false);
		if (this.events == 0) {
			noteLate();
		}
		this.incoming.body().release();
		if (this.attempt != null && !this.attempt.isOrphaned) {
			this.attempt.cancel();
		}
		this.forwarder.traffic().cancel(this.key);
		this.forwarder.ended(this);
		double seconds = (System.nanoTime() - this.incoming.arrivedNanos()) / 1e9;
		this.forwarder.metrics().recordEnd(status, seconds);
		LOG.info("request_ended", "request", this.key, "route", this.route.name(), "service", this.service, "model",
				this.caller.model().map((name) -> name.toId().value()).orElse("none"), "status", status, "reason",
				reason, "server", (this.attempt != null) ? this.attempt.serverId() : "none", "sends", this.sends,
				"events", this.events, "ms", Math.round(seconds * 1e3));
		this.forwarder.scheduleDispatch();
	}

}
