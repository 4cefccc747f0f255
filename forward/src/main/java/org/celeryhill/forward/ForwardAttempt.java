package org.celeryhill.forward;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.celeryhill.base.AttemptId;
import org.celeryhill.base.EventLog;
import org.celeryhill.traffic.AttemptOutcome;

/**
 * One send of a caller's request to one backend server. Must be used on the event loop.
 */
final class ForwardAttempt implements ExchangeListener {

	private static final EventLog LOG = EventLog.of(ForwardAttempt.class);

	/** A request that may not be repeated avoids connections that a server may close. */
	private static final Duration MAX_IDLE_UNREPEATABLE = Duration.ofMillis(700);

	private static final Duration MAX_IDLE_REPEATABLE = Duration.ofSeconds(4);

	private static final int ENGINE_PRIORITY_STEP = 3;

	private final ForwardCall call;

	final AttemptId id;

	ServerEntry server;

	BackendClient.Exchange exchange;

	private HttpResponse head;

	private ResponseMetadata info;

	private ByteBuf body;

	private EventSplitter splitter;

	private int tokensPerEvent;

	private boolean isFinished;

	boolean isOrphaned;

	ForwardAttempt(ForwardCall call, AttemptId id) {
		this.call = call;
		this.id = id;
	}

	String serverId() {
		return (this.server != null) ? this.server.id().value() : "none";
	}

	boolean wasSent() {
		return this.exchange != null && this.exchange.isWriteStarted();
	}

	boolean isFinished() {
		return this.isFinished;
	}

	boolean isOpen() {
		return this.exchange != null && !this.isFinished && this.exchange.isWriteStarted();
	}

	void start() {
		boolean isFirst = this.call.sends == 0;
		this.call.sends++;
		FullHttpRequest copy = copyRequest();
		BackendClient.PoolKey pool = new BackendClient.PoolKey(this.server.address(), this.server.incarnationId());
		Duration idle = this.call.route.isRetryable() ? MAX_IDLE_REPEATABLE : MAX_IDLE_UNREPEATABLE;
		this.call.forwarder.metrics().recordSend(isFirst);
		LOG.info("request_sent", "request", this.call.key, "attempt", this.id, "server", serverId(), "route",
				this.call.route.name(), "send", this.call.sends, "waited_ms",
				TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.call.incoming.arrivedNanos()));
		this.exchange = this.call.forwarder.client().send(pool, copy, idle, this);
	}

	private FullHttpRequest copyRequest() {
		IncomingRequest original = this.call.incoming;
		HttpHeaders headers = HopHeaders.endToEnd(original.headers());
		long left = Math.max(1, this.call.endNanos - System.nanoTime());
		int priority = this.call.request.priority().ordinal() * ENGINE_PRIORITY_STEP;
		this.call.forwarder.dialect()
			.encodeBackendRequest(headers,
					new HeaderCodec.BackendRequestValues(this.server.id(), Duration.ofNanos(left), priority, this.call.lastEventId));
		ByteBuf bytes = original.body().retainedDuplicate();
		HopHeaders.setLength(headers, original, bytes.readableBytes());
		return new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, original.method(), original.target(), bytes, headers,
				EmptyHttpHeaders.INSTANCE);
	}

	@Override
	public void onHead(HttpResponse response) {
		this.head = response;
		this.info = this.call.forwarder.dialect().decodeResponse(response);
		this.info.load().ifPresent((load) -> this.call.forwarder.directory().observeLoad(this.server.id(), load));
		if (this.isOrphaned) {
			return;
		}
		Optional<String> expected = this.call.caller.id();
		if (!this.info.isNotExecuted() && !this.info.attemptId().equals(expected)) {
			broken("answer belongs to another request: " + this.info.attemptId().orElse("none"));
			return;
		}
		boolean isStream = this.call.route.kind() == Route.Kind.STREAM && isSuccess();
		if (isStream && this.info.isSigned()) {
			this.splitter = new EventSplitter();
			this.tokensPerEvent = tokensPerEvent();
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
		if (!this.call.isStreaming) {
			this.call.isStreaming = true;
			this.call.channel.startStream(this.head.status(), HopHeaders.endToEnd(this.head.headers()));
			firstEvent();
		}
		this.call.events++;
		if (event.id().isPresent()) {
			this.call.lastEventId = event.id();
		}
		this.call.forwarder.traffic().progress(this.id, this.call.events * this.tokensPerEvent, System.nanoTime());
		if (!this.call.channel.write(event.bytes())) {
			this.exchange.setReading(false);
		}
	}

	private int tokensPerEvent() {
		return this.call.forwarder.table()
			.flatMap((table) -> table.service(this.call.service))
			.flatMap(ServiceProfile::engine)
			.map(EngineProfile::tokensPerEvent)
			.orElse(1);
	}

	private void firstEvent() {
		long waited = System.nanoTime() - this.call.incoming.arrivedNanos();
		this.call.forwarder.metrics().recordFirstEvent(waited / 1e9);
		if (waited > this.call.route.targetLatency().toNanos()) {
			this.call.noteLate();
		}
		this.call.request.model()
			.ifPresent((model) -> this.call.forwarder.learnPrefix(this.server.id(), model, this.call.prefix));
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
			this.call.caller.model()
				.filter((name) -> name.adapter().isPresent())
				.ifPresent((name) -> this.call.forwarder.directory().removeAdapter(this.server.id(), name.toId()));
		}
		this.call.again("not_executed:" + this.head.status().code());
	}

	private void endStream() {
		if (this.splitter.hasPartialEvent() || this.call.events == 0) {
			broken("stream ended within an event");
			return;
		}
		finish(AttemptOutcome.COMPLETED);
		this.call.finish(this.head.status().code(), "complete");
		this.call.channel.endStream();
	}

	private void passAnswer() {
		finish(AttemptOutcome.COMPLETED);
		this.call.runs++;
		this.call.mayHaveRun = true;
		ByteBuf bytes = (this.body != null) ? this.body : Unpooled.EMPTY_BUFFER;
		HttpHeaders headers = HopHeaders.endToEnd(this.head.headers());
		int status = this.head.status().code();
		boolean isPromise = status == 429 || status == 503 || status == 408 || status == 421;
		if ((isPromise || !this.info.isSigned()) && !isSuccess()) {
			// The status would say that the request has not run, or is not the
			// backend server's own.
			this.call.fail(HttpResponseStatus.BAD_GATEWAY, "answer:" + status);
			return;
		}
		this.call.finish(status, "complete");
		this.call.channel.respond(this.head.status(), headers, bytes);
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
			this.call.again("not_sent");
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
		this.call.runs++;
		this.call.mayHaveRun = true;
		logBroken(detail);
		this.call.again("broken");
	}

	private void logBroken(String detail) {
		LOG.warn("attempt_failed", "request", this.call.key, "attempt", this.id, "server", serverId(), "events",
				this.call.events, "cause", detail);
	}

	void cancel() {
		if (this.exchange != null && !this.isFinished) {
			this.exchange.cancel();
		}
		finish(AttemptOutcome.CANCELLED);
	}

	void finish(AttemptOutcome outcome) {
		if (!this.isFinished) {
			this.isFinished = true;
			this.call.forwarder.traffic().finish(this.id, outcome, System.nanoTime());
			this.call.forwarder.scheduleDispatch();
		}
	}

	void orphan(AttemptId attemptId) {
		long delay = this.call.endNanos - System.nanoTime();
		this.call.forwarder.loop().schedule(() -> {
			if (!this.isFinished) {
				this.exchange.cancel();
				finish(AttemptOutcome.CANCELLED);
			}
		}, Math.max(0, delay), TimeUnit.NANOSECONDS);
	}

}
