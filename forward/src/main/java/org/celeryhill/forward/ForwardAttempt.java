package org.celeryhill.forward;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.celeryhill.base.AttemptId;
import org.celeryhill.base.BackendServerId;
import org.celeryhill.base.EventLog;
import org.celeryhill.traffic.AttemptOutcome;

/**
 * An attempt to execute a caller's request on one backend server. Must be used on the
 * event loop.
 */
final class ForwardAttempt implements ExchangeListener {

	private static final EventLog LOG = EventLog.of(ForwardAttempt.class);

	private final ForwardCall call;

	final AttemptId id;

	private final ResponseBody body;

	ServerEntry server;

	Exchange exchange;

	private HttpResponse response;

	private ResponseMetadata responseMetadata;

	/** Relays the response if it is a stream to pass on, else null. */
	private StreamRelay streamRelay;

	/** What this attempt shows about the prompt, null until it starts. */
	AttemptEvidence evidence;

	/** Takes note of what the server says, null until the attempt starts. */
	private ServerStatements statements;

	private boolean isFinished;

	private boolean isDetached;

	ForwardAttempt(ForwardCall call, AttemptId id) {
		this.call = call;
		this.id = id;
		this.body = new ResponseBody(this, call.channel, call.forwarder.responseBuffers());
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

	boolean isInFlight() {
		return this.exchange != null && !this.isFinished && this.exchange.isWriteStarted();
	}

	// Returns whether the attempt is meant for a server and waits for an adapter or a
	// connection.
	boolean isUnsentTo(BackendServerId id) {
		return !this.isFinished && this.server != null && this.server.id().equals(id) && !wasSent();
	}

	// Ends an attempt that has not been sent.
	void abandon() {
		if (this.exchange != null) {
			this.exchange.cancel();
		}
		finish(AttemptOutcome.REFUSED);
	}

	void start() {
		boolean isFirst = this.call.sendCount == 0;
		this.call.sendCount++;
		long startNanos = System.nanoTime();
		this.evidence = new AttemptEvidence(this.call, startNanos);
		this.statements = new ServerStatements(this.call.forwarder, this.server);
		FullHttpRequest backendRequest = BackendRequests.create(this.call, this.server);
		BackendClient.PoolKey poolKey = poolKey();
		this.call.forwarder.metrics().recordSend(isFirst);
		this.call.forwarder.metrics().recordChoice(this.server.dataCentre());
		this.exchange = this.call.forwarder.client()
			.send(poolKey, backendRequest, this.call.requestMetadata.id().orElseThrow(),
					BackendRequests.maxIdle(this.call.route), this);
		LOG.info("request_sent", "request", this.call.key, "attempt", this.id, "server", serverId(), "connection",
				this.exchange.connectionUse(), "route", this.call.route.name(), "send", this.call.sendCount,
				"waited_ms", TimeUnit.NANOSECONDS.toMillis(startNanos - this.call.incoming.arrivedNanos()));
	}

	private BackendClient.PoolKey poolKey() {
		return new BackendClient.PoolKey(this.server.address(), this.server.incarnationId());
	}

	@Override
	public Optional<String> requestIdOf(HttpResponse response) {
		return this.call.forwarder.headerCodec().decodeResponse(response).attemptId();
	}

	@Override
	public void onHead(HttpResponse response) {
		this.response = response;
		this.responseMetadata = this.call.forwarder.headerCodec().decodeResponse(response);
		if (!this.responseMetadata.attemptId().equals(this.call.requestMetadata.id())) {
			rejectForeignResponse();
			return;
		}
		this.statements.observe(this.responseMetadata);
		boolean isStream = this.call.route.kind() == Route.Kind.STREAM && isSuccess();
		if (isStream && this.responseMetadata.isSigned() && !this.isDetached) {
			this.streamRelay = new StreamRelay(this, this.call, response);
		}
	}

	private void rejectForeignResponse() {
		String detail = "response belongs to another request: " + this.responseMetadata.attemptId().orElse("none");
		if (!this.isDetached) {
			abortExchange(detail);
			return;
		}
		logFailure(detail);
		this.exchange.cancel();
		finish(AttemptOutcome.BROKEN);
	}

	private boolean isSuccess() {
		return this.response.status().code() / 100 == 2;
	}

	@Override
	public void onBody(ByteBuf bytes) {
		if (this.isDetached || this.isFinished) {
			return;
		}
		if (this.streamRelay != null) {
			relayEvents(bytes);
		}
		else if (this.body.isPassedOn()) {
			passOn(bytes);
		}
		else {
			this.body.keep(bytes).ifPresent(ForwardAttempt::reduceMemory);
		}
	}

	// Keeps the response in memory no longer: it is passed on as it arrives, or given up.
	private void reduceMemory() {
		if (this.isDetached) {
			this.body.dropKept();
			return;
		}
		if (ResponseBuffers.isTooLong(this.body.keptSize()) || !isSuccess() || !isDeliverable()) {
			abortExchange("response is too long");
			return;
		}
		LOG.info("response_passed_on", "request", this.call.key, "attempt", this.id, "server", serverId(), "bytes",
				this.body.keptSize());
		startStream();
		passOn(this.body.startPassing());
	}

	private void passOn(ByteBuf bytes) {
		if (this.body.addPassed(bytes)) {
			abortExchange("response is too long");
			return;
		}
		this.exchange.setReading(this.body.writePassed());
	}

	// Sends the head of the response to the caller, ahead of its body.
	void startStream() {
		this.call.isStreaming = true;
		this.call.channel.startStream(this.response.status(), endToEndHeaders());
	}

	private HttpHeaders endToEndHeaders() {
		return HopByHopHeaders.copyEndToEnd(this.response.headers(), this.call.forwarder.headerCodec());
	}

	// Goes on with a response that was paused because the caller was slow.
	void resume() {
		if (!this.body.isPassedOn()) {
			this.exchange.setReading(true);
			return;
		}
		boolean isWritten = this.body.writePassed();
		if (this.isFinished) {
			endPassedResponse();
		}
		else {
			this.exchange.setReading(isWritten);
		}
	}

	boolean isPassedOn() {
		return this.body.isPassedOn();
	}

	// Returns whether the caller took bytes of the response since the last call.
	boolean hasCallerProgressed() {
		return this.body.hasCallerProgressed();
	}

	private void relayEvents(ByteBuf bytes) {
		Optional<String> fault = this.streamRelay.add(bytes);
		if (fault.isPresent()) {
			abortExchange(fault.get());
		}
		else if (this.streamRelay.isWriteDue()) {
			writeEvents();
		}
	}

	@Override
	public void onReadComplete() {
		writeEvents();
	}

	// Writes the events that arrived together, and pauses reading if the caller is slow.
	private void writeEvents() {
		if (this.streamRelay != null && !this.streamRelay.write()) {
			this.exchange.setReading(false);
		}
	}

	@Override
	public void onEnd() {
		writeEvents();
		if (this.isDetached) {
			finish(AttemptOutcome.COMPLETED);
			return;
		}
		if (this.responseMetadata.isNotExecuted()) {
			retryNotExecuted();
		}
		else if (this.streamRelay != null) {
			endStream();
		}
		else if (this.body.isPassedOn()) {
			finish(AttemptOutcome.COMPLETED);
			endPassedResponse();
		}
		else if (this.call.isStreaming) {
			handleFailureAfterSend("stream not continued: status " + this.response.status().code());
		}
		else if (this.body.holdsHead(this.exchange.textBehind(), this.call.requestMetadata.id().orElseThrow())) {
			abortExchange("body holds a second copy of the response");
		}
		else if (isSuccess() && !isDeliverable()) {
			abortExchange("successful response without signature or with a content encoding");
		}
		else {
			forwardResponse();
		}
	}

	// Returns whether the response is one of a backend server in a form that the caller
	// asked for.
	private boolean isDeliverable() {
		return this.responseMetadata.isSigned() && !HopByHopHeaders.hasContentEncoding(this.response.headers());
	}

	private void endPassedResponse() {
		if (!this.body.isPassedWritten() || this.call.isEnded()) {
			return;
		}
		this.evidence.recordServed();
		this.call.finish(this.response.status().code(), "complete");
		this.call.channel.endStream();
	}

	private void retryNotExecuted() {
		finish(AttemptOutcome.REFUSED);
		this.statements.observeNotExecuted(this.response.status(), this.call.requestMetadata);
		this.call.retryOrEnd("not_executed:" + this.response.status().code());
	}

	private void endStream() {
		if (!this.streamRelay.mayEnd()) {
			abortExchange("stream ended within an event or without any");
			return;
		}
		this.evidence.recordServed();
		finish(AttemptOutcome.COMPLETED);
		this.call.finish(this.response.status().code(), "complete");
		this.call.channel.endStream();
	}

	private void forwardResponse() {
		if (isSuccess()) {
			this.evidence.recordServed();
		}
		finish(AttemptOutcome.COMPLETED);
		this.call.executionCount++;
		this.call.mayHaveRun = true;
		HttpHeaders headers = endToEndHeaders();
		int status = this.response.status().code();
		boolean isNotExecutedStatus = status == 429 || status == 503 || status == 408 || status == 421;
		if ((isNotExecutedStatus || !this.responseMetadata.isSigned()) && !isSuccess()) {
			// The status would wrongly tell the caller that the request was not
			// executed, or the response is not from the backend server itself.
			this.call.fail(HttpResponseStatus.BAD_GATEWAY, "answer:" + status);
			return;
		}
		this.call.finish(status, "complete");
		this.call.channel.respond(this.response.status(), headers, this.body.keptBytes());
	}

	@Override
	public void onFailure(Failure failure, String detail) {
		writeEvents();
		if (this.isDetached) {
			finish(AttemptOutcome.BROKEN);
			return;
		}
		if (failure == Failure.NOT_SENT) {
			finish(AttemptOutcome.UNREACHABLE);
			logFailure(detail);
			this.call.retryOrEnd("not_sent");
			return;
		}
		boolean isRunConfirmed = this.streamRelay != null && this.streamRelay.isRunConfirmed();
		this.evidence.recordBroken(poolKey(), isRunConfirmed);
		handleFailureAfterSend(detail);
	}

	private void abortExchange(String detail) {
		writeEvents();
		this.exchange.cancel();
		handleFailureAfterSend(detail);
	}

	private void handleFailureAfterSend(String detail) {
		finish(AttemptOutcome.BROKEN);
		this.call.executionCount++;
		this.call.mayHaveRun = true;
		logFailure(detail);
		this.call.retryOrEnd("broken");
	}

	private void logFailure(String detail) {
		LOG.warn("attempt_failed", "request", this.call.key, "attempt", this.id, "server", serverId(), "connection",
				this.exchange.connectionUse(), "status", (this.response != null) ? this.response.status().code() : 0,
				"events", this.call.eventCount, "cause", detail);
	}

	boolean isDetached() {
		return this.isDetached;
	}

	void cancel() {
		this.body.releasePassed();
		if (this.exchange != null && !this.isFinished) {
			this.exchange.cancel();
		}
		finish(AttemptOutcome.CANCELLED);
	}

	void finish(AttemptOutcome outcome) {
		if (!this.isFinished) {
			this.isFinished = true;
			this.call.mayHaveRun |= wasSent() && outcome.mayHaveRun();
			this.body.stopCounting();
			this.call.forwarder.traffic().finish(this.id, outcome, System.nanoTime());
			this.call.forwarder.scheduleDispatch();
		}
	}

	// Lets the request run to its end or to the deadline, without a caller.
	void detach() {
		this.isDetached = true;
		this.body.releasePassed();
		this.exchange.setReading(true);
		long delay = this.call.deadlineNanos - System.nanoTime();
		this.call.forwarder.loop().schedule(() -> {
			if (!this.isFinished) {
				this.exchange.cancel();
				finish(AttemptOutcome.CANCELLED);
			}
		}, Math.max(0, delay), TimeUnit.NANOSECONDS);
	}

}
