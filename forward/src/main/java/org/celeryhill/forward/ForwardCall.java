package org.celeryhill.forward;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import org.celeryhill.base.AttemptId;
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
final class ForwardCall implements RequestHandler.Running {

	private static final EventLog LOG = EventLog.of(ForwardCall.class);

	/** Time after the end of a request in which its backend server may still answer. */
	private static final long EXPIRY_SLACK_MS = 60;

	private static final Duration DEFAULT_DEADLINE = Duration.ofSeconds(30);

	/** A request that may not be repeated avoids connections that a server may close. */
	private static final Duration MAX_IDLE_UNREPEATABLE = Duration.ofMillis(700);

	private static final Duration MAX_IDLE_REPEATABLE = Duration.ofSeconds(4);

	private static final int ENGINE_PRIORITY_STEP = 3;

	/** Time until a model can be used that no engine loads yet. */
	private static final Duration UNPLANNED_LOAD = Duration.ofMillis(2500);

	private static final Duration LEAST_PATIENCE = Duration.ofSeconds(2);

	private final Forwarder forwarder;

	private final RequestId key;

	private final IncomingRequest incoming;

	private final CallerRequest caller;

	private final Route route;

	private final ServiceId service;

	private final ResponseChannel channel;

	private final TrafficRequest request;

	private final List<Long> prefix;

	private final long endNanos;

	private final Future<?> expiry;

	private Attempt attempt;

	private int runs;

	private int sends;

	/** Whether a backend server may have run the request, so that "not run" is untrue. */
	private boolean mayHaveRun;

	private boolean isStreaming;

	private boolean isEnded;

	private Optional<String> lastEventId;

	private int events;

	ForwardCall(Forwarder forwarder, RequestId key, IncomingRequest incoming, CallerRequest caller, Route route,
			ResponseChannel channel) {
		this.forwarder = forwarder;
		this.key = key;
		this.incoming = incoming;
		this.caller = caller;
		this.route = route;
		this.channel = channel;
		this.service = route.destination(caller.id().orElseThrow());
		this.lastEventId = caller.resumeAfter();
		Duration deadline = caller.deadline().orElse(DEFAULT_DEADLINE);
		Duration limit = (deadline.compareTo(route.timeout()) < 0) ? deadline : route.timeout();
		this.endNanos = incoming.arrivedNanos() + limit.toNanos();
		this.prefix = PromptBlocks.of(caller.prompt());
		this.request = new TrafficRequest(key, RevisionMapping.ORGANISATION, this.service,
				caller.model().map(CallerRequest.ModelName::toId), RevisionMapping.priority(route),
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
				.requested(this.service, name.model(), value(this.request.priority())));
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
		Duration wait = this.forwarder.forecast().timeUntil(model).orElse(UNPLANNED_LOAD);
		boolean isInTime = wait.compareTo(patience().multipliedBy(2).dividedBy(3)) < 0;
		return isInTime ? Optional.empty() : Optional.of(wait);
	}

	// The time after which callers leave a stream that has no event.
	private Duration patience() {
		Duration byTarget = this.route.targetLatency().multipliedBy(4);
		Duration byGap = this.route.gapTarget().multipliedBy(8);
		Duration longer = (byTarget.compareTo(byGap) > 0) ? byTarget : byGap;
		return (longer.compareTo(LEAST_PATIENCE) > 0) ? longer : LEAST_PATIENCE;
	}

	private void noteLate() {
		this.caller.model()
			.ifPresent(
					(name) -> this.forwarder.demand().late(this.service, name.model(), value(this.request.priority())));
	}

	private static double value(PriorityClass priority) {
		return 1 << (PriorityClass.values().length - 1 - priority.ordinal());
	}

	void send(TrafficAction.Send send) {
		if (this.isEnded) {
			this.forwarder.traffic().finish(send.attempt(), AttemptOutcome.CANCELLED, System.nanoTime());
			return;
		}
		Attempt next = new Attempt(send.attempt());
		this.attempt = next;
		Optional<ServerEntry> server = this.forwarder.directory().find(send.backend());
		if (server.isEmpty() || server.get().isDraining()) {
			next.finish(AttemptOutcome.REFUSED);
			again("server_left");
			return;
		}
		next.server = server.get();
		Optional<CallerRequest.ModelName> adapter = this.caller.model().filter((name) -> name.adapter().isPresent());
		if (adapter.isEmpty() || this.forwarder.directory().hasAdapter(send.backend(), adapter.get().toId())) {
			adapter.ifPresent((name) -> this.forwarder.adapters().used(send.backend(), name));
			next.start();
			return;
		}
		this.forwarder.adapters().load(send.backend(), adapter.get(), (isLoaded) -> adapterDone(next, isLoaded));
	}

	private void adapterDone(Attempt next, boolean isLoaded) {
		if (this.isEnded || this.attempt != next) {
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
		this.channel.answer(HttpResponseStatus.SERVICE_UNAVAILABLE, headers, Unpooled.EMPTY_BUFFER);
	}

	private void fail(HttpResponseStatus status, String reason) {
		finish(status.code(), reason);
		this.channel.answer(status, EmptyHttpHeaders.INSTANCE, Unpooled.EMPTY_BUFFER);
	}

	private void abort(String reason) {
		finish(0, reason);
		this.channel.abort();
	}

	// Sends the request again if that is allowed, else gives it its final answer.
	private void again(String reason) {
		boolean isAllowed = !this.mayHaveRun || (this.route.isRepeatable() && this.runs < this.route.maxAttempts());
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
	public void callerLeft() {
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
	public void callerReads() {
		if (this.attempt != null && this.attempt.exchange != null) {
			this.attempt.exchange.setReading(true);
		}
	}

	private void finish(int status, String reason) {
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
		this.forwarder.metrics().ended(status, seconds);
		LOG.info("request_ended", "request", this.key, "route", this.route.name(), "service", this.service, "model",
				this.caller.model().map((name) -> name.toId().value()).orElse("none"), "status", status, "reason",
				reason, "server", (this.attempt != null) ? this.attempt.serverId() : "none", "sends", this.sends,
				"events", this.events, "ms", Math.round(seconds * 1e3));
		this.forwarder.scheduleDispatch();
	}

	/**
	 * One send of the request to one backend server.
	 */
	private final class Attempt implements ExchangeListener {

		private final AttemptId id;

		private ServerEntry server;

		private BackendClient.Exchange exchange;

		private HttpResponse head;

		private AnswerInfo info;

		private ByteBuf body;

		private EventSplitter splitter;

		private boolean isFinished;

		private boolean isOrphaned;

		private Attempt(AttemptId id) {
			this.id = id;
		}

		private String serverId() {
			return (this.server != null) ? this.server.id().value() : "none";
		}

		private boolean wasSent() {
			return this.exchange != null && this.exchange.isWritten();
		}

		private boolean isOpen() {
			return this.exchange != null && !this.isFinished && this.exchange.isWritten();
		}

		private void start() {
			boolean isFirst = ForwardCall.this.sends == 0;
			ForwardCall.this.sends++;
			FullHttpRequest copy = copyRequest();
			BackendClient.PoolKey pool = new BackendClient.PoolKey(this.server.address(),
					this.server.id().value() + "@" + this.server.incarnation());
			Duration idle = ForwardCall.this.route.isRepeatable() ? MAX_IDLE_REPEATABLE : MAX_IDLE_UNREPEATABLE;
			ForwardCall.this.forwarder.metrics().sent(isFirst);
			LOG.info("request_sent", "request", ForwardCall.this.key, "attempt", this.id, "server", serverId(), "route",
					ForwardCall.this.route.name(), "send", ForwardCall.this.sends, "waited_ms",
					TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - ForwardCall.this.incoming.arrivedNanos()));
			this.exchange = ForwardCall.this.forwarder.client().send(pool, copy, idle, this);
		}

		private FullHttpRequest copyRequest() {
			IncomingRequest original = ForwardCall.this.incoming;
			HttpHeaders headers = HopHeaders.endToEnd(original.headers());
			long left = Math.max(1, ForwardCall.this.endNanos - System.nanoTime());
			int priority = ForwardCall.this.request.priority().ordinal() * ENGINE_PRIORITY_STEP;
			ForwardCall.this.forwarder.dialect()
				.encode(headers, new HeaderDialect.Send(this.server.id(), Duration.ofNanos(left), priority,
						ForwardCall.this.lastEventId));
			ByteBuf bytes = original.body().retainedDuplicate();
			HopHeaders.setLength(headers, original, bytes.readableBytes());
			return new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, original.method(), original.target(), bytes,
					headers, EmptyHttpHeaders.INSTANCE);
		}

		@Override
		public void onHead(HttpResponse response) {
			this.head = response;
			this.info = ForwardCall.this.forwarder.dialect().decodeAnswer(response);
			this.info.load()
				.ifPresent((load) -> ForwardCall.this.forwarder.directory().observeLoad(this.server.id(), load));
			if (this.isOrphaned) {
				return;
			}
			Optional<String> expected = ForwardCall.this.caller.id();
			if (!this.info.isNotExecuted() && !this.info.attemptId().equals(expected)) {
				broken("answer belongs to another request: " + this.info.attemptId().orElse("none"));
				return;
			}
			boolean isStream = ForwardCall.this.route.kind() == Route.Kind.STREAM && isSuccess();
			if (isStream && this.info.isSigned()) {
				this.splitter = new EventSplitter();
			}
		}

		private boolean isSuccess() {
			return this.head.status().code() / 100 == 2;
		}

		@Override
		public void onBody(ByteBuf bytes) {
			if (this.isOrphaned) {
				return;
			}
			if (this.splitter != null) {
				relay(bytes);
				return;
			}
			if (this.body == null) {
				this.body = Unpooled.buffer(bytes.readableBytes());
			}
			this.body.writeBytes(bytes);
		}

		private void relay(ByteBuf bytes) {
			List<EventSplitter.Event> parts;
			try {
				parts = this.splitter.add(bytes);
			}
			catch (IllegalStateException ex) {
				broken(ex.getMessage());
				return;
			}
			for (EventSplitter.Event event : parts) {
				pass(event);
			}
		}

		private void pass(EventSplitter.Event event) {
			if (!ForwardCall.this.isStreaming) {
				ForwardCall.this.isStreaming = true;
				ForwardCall.this.channel.startStream(this.head.status(), HopHeaders.endToEnd(this.head.headers()));
				firstEvent();
			}
			ForwardCall.this.events++;
			if (event.id().isPresent()) {
				ForwardCall.this.lastEventId = event.id();
			}
			ForwardCall.this.forwarder.traffic()
				.progress(this.id, ForwardCall.this.events * tokensPerEvent(), System.nanoTime());
			if (!ForwardCall.this.channel.write(event.bytes())) {
				this.exchange.setReading(false);
			}
		}

		private int tokensPerEvent() {
			return ForwardCall.this.forwarder.table()
				.flatMap((table) -> table.service(ForwardCall.this.service))
				.flatMap(ServiceProfile::engine)
				.map(EngineProfile::tokensPerEvent)
				.orElse(1);
		}

		private void firstEvent() {
			long waited = System.nanoTime() - ForwardCall.this.incoming.arrivedNanos();
			ForwardCall.this.forwarder.metrics().firstEvent(waited / 1e9);
			if (waited > ForwardCall.this.route.targetLatency().toNanos()) {
				noteLate();
			}
			ForwardCall.this.request.model()
				.ifPresent((model) -> ForwardCall.this.forwarder.learnPrefix(this.server.id(), model,
						ForwardCall.this.prefix));
		}

		@Override
		public void onEnd() {
			if (this.isOrphaned) {
				finish(AttemptOutcome.COMPLETED);
				return;
			}
			if (this.info.isNotExecuted()) {
				notExecuted();
			}
			else if (this.splitter != null) {
				endStream();
			}
			else if (isSuccess() && (!this.info.isSigned() || HopHeaders.isEncoded(this.head.headers()))) {
				broken("successful answer without signature or with an encoding");
			}
			else {
				passAnswer();
			}
		}

		private void notExecuted() {
			finish(AttemptOutcome.REFUSED);
			boolean isMisdirected = this.head.status().code() == HttpResponseStatus.MISDIRECTED_REQUEST.code();
			if (isMisdirected) {
				ForwardCall.this.caller.model()
					.filter((name) -> name.adapter().isPresent())
					.ifPresent((name) -> ForwardCall.this.forwarder.directory()
						.removeAdapter(this.server.id(), name.toId()));
			}
			again("not_executed:" + this.head.status().code());
		}

		private void endStream() {
			if (this.splitter.hasPartialEvent() || ForwardCall.this.events == 0) {
				broken("stream ended within an event");
				return;
			}
			finish(AttemptOutcome.COMPLETED);
			ForwardCall.this.finish(this.head.status().code(), "complete");
			ForwardCall.this.channel.endStream();
		}

		private void passAnswer() {
			finish(AttemptOutcome.COMPLETED);
			ForwardCall.this.runs++;
			ForwardCall.this.mayHaveRun = true;
			ByteBuf bytes = (this.body != null) ? this.body : Unpooled.EMPTY_BUFFER;
			HttpHeaders headers = HopHeaders.endToEnd(this.head.headers());
			int status = this.head.status().code();
			boolean isPromise = status == 429 || status == 503 || status == 408 || status == 421;
			if ((isPromise || !this.info.isSigned()) && !isSuccess()) {
				// The status would say that the request has not run, or is not the
				// backend server's own.
				fail(HttpResponseStatus.BAD_GATEWAY, "answer:" + status);
				return;
			}
			ForwardCall.this.finish(status, "complete");
			ForwardCall.this.channel.answer(this.head.status(), headers, bytes);
		}

		@Override
		public void onFailure(Failure failure, String detail) {
			if (this.isOrphaned) {
				finish(AttemptOutcome.BROKEN);
				return;
			}
			if (failure == Failure.NOT_SENT) {
				finish(AttemptOutcome.UNREACHABLE);
				logBroken(detail);
				again("not_sent");
				return;
			}
			ranAndBroke(detail);
		}

		private void broken(String detail) {
			this.exchange.cancel();
			ranAndBroke(detail);
		}

		private void ranAndBroke(String detail) {
			finish(AttemptOutcome.BROKEN);
			ForwardCall.this.runs++;
			ForwardCall.this.mayHaveRun = true;
			logBroken(detail);
			again("broken");
		}

		private void logBroken(String detail) {
			LOG.warn("attempt_failed", "request", ForwardCall.this.key, "attempt", this.id, "server", serverId(),
					"events", ForwardCall.this.events, "cause", detail);
		}

		private void cancel() {
			if (this.exchange != null && !this.isFinished) {
				this.exchange.cancel();
			}
			finish(AttemptOutcome.CANCELLED);
		}

		private void finish(AttemptOutcome outcome) {
			if (!this.isFinished) {
				this.isFinished = true;
				ForwardCall.this.forwarder.traffic().finish(this.id, outcome, System.nanoTime());
				ForwardCall.this.forwarder.scheduleDispatch();
			}
		}

		private void orphan(AttemptId attemptId) {
			long delay = ForwardCall.this.endNanos - System.nanoTime();
			ForwardCall.this.forwarder.loop().schedule(() -> {
				if (!this.isFinished) {
					this.exchange.cancel();
					finish(AttemptOutcome.CANCELLED);
				}
			}, Math.max(0, delay), TimeUnit.NANOSECONDS);
		}

	}

}
