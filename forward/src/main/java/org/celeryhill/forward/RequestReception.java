package org.celeryhill.forward;

import java.time.Duration;
import java.util.Optional;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.celeryhill.access.AccessDecision;
import org.celeryhill.base.EventLog;
import org.celeryhill.base.RequestId;

/**
 * Decides whether a request of a caller is accepted. Must be used on the event loop.
 */
final class RequestReception {

	private static final EventLog LOG = EventLog.of(RequestReception.class);

	private static final Duration UNCONFIGURED_RETRY_AFTER = Duration.ofMillis(300);

	private static final String HOST_STOPPING = "host_stopping";

	private final Forwarder forwarder;

	private final HostStop stop;

	private long acceptedRequestCount;

	RequestReception(Forwarder forwarder, HostStop stop) {
		this.forwarder = forwarder;
		this.stop = stop;
	}

	// Returns the call of an accepted request. If it is empty, the request has been
	// refused.
	Optional<ForwardCall> accept(IncomingRequest request, ResponseChannel channel) {
		RequestMetadata metadata = this.forwarder.headerCodec().decodeRequest(request.headers());
		if (!this.stop.isAccepting()) {
			return refuse(request, metadata, channel, HttpResponseStatus.SERVICE_UNAVAILABLE, HOST_STOPPING);
		}
		if (this.forwarder.table().isEmpty()) {
			return refuse(request, metadata, channel, HttpResponseStatus.SERVICE_UNAVAILABLE, "no_configuration");
		}
		if (metadata.id().isEmpty()) {
			return refuse(request, metadata, channel, HttpResponseStatus.BAD_REQUEST, "no_request_id");
		}
		Optional<Route> route = this.forwarder.findRoute(request);
		if (route.isEmpty()) {
			return refuse(request, metadata, channel, HttpResponseStatus.NOT_FOUND, "no_route");
		}
		AccessDecision decision = this.forwarder.access().check(route.get(), metadata.keys());
		if (decision instanceof AccessDecision.Denied denied) {
			AccessGuard.Refusal refusal = this.forwarder.access().refusalOf(denied);
			return refuse(request, metadata, channel, refusal.status(), refusal.reason());
		}
		if (!this.stop.canEndInTime(route.get())) {
			return refuse(request, metadata, channel, HttpResponseStatus.SERVICE_UNAVAILABLE, HOST_STOPPING);
		}
		RequestId key = RequestId.of(metadata.id().get() + "." + this.acceptedRequestCount++);
		return Optional.of(new ForwardCall(this.forwarder, key, request, metadata, route.get(),
				((AccessDecision.Granted) decision).organisation(), channel));
	}

	private Optional<ForwardCall> refuse(IncomingRequest request, RequestMetadata metadata, ResponseChannel channel,
			HttpResponseStatus status, String reason) {
		request.body().release();
		this.forwarder.metrics().refused(reason);
		LOG.info("request_refused", "request", metadata.id().orElse("none"), "status", status.code(), "reason", reason,
				"target", request.target(), "version", this.forwarder.table().map(RoutingTable::version).orElse(0L));
		HttpHeaders headers = new DefaultHttpHeaders();
		if (status == HttpResponseStatus.SERVICE_UNAVAILABLE) {
			this.forwarder.headerCodec().encodeRetryAfter(headers, UNCONFIGURED_RETRY_AFTER);
		}
		AccessGuard.addChallenge(headers, status);
		channel.respond(status, headers, Unpooled.EMPTY_BUFFER);
		return Optional.empty();
	}

}
