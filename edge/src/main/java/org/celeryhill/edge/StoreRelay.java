package org.celeryhill.edge;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.celeryhill.base.EventLog;
import org.celeryhill.platform.JsonHttpClient;
import org.celeryhill.platform.ResponseMatching;
import org.celeryhill.platform.StoreClient;
import org.celeryhill.platform.StoreVersions;

/**
 * Sends calls to the store, and relays them through another host if the store does not
 * answer this one or refuses its calls. A lease holder that is partitioned from the store
 * thus keeps the lease and continues placement. A call may reach the store twice, which
 * is safe because writes are conditional. Thread-safe.
 */
final class StoreRelay implements StoreClient.Sender {

	static final String PATH = "/store";

	private static final EventLog LOG = EventLog.of(StoreRelay.class);

	/**
	 * Time without a response after which a call is also sent through another host. Short
	 * because a renewal must complete within a third of the lease duration.
	 */
	private static final Duration RELAY_DELAY = Duration.ofMillis(300);

	/** Time for which calls are relayed at once after a relayed call has succeeded. */
	private static final long RELAYING_PERIOD_NANOS = TimeUnit.SECONDS.toNanos(10);

	/**
	 * Number of hosts that a call is relayed through in turn while the store refuses it,
	 * as the store may refuse the calls of some of the hosts.
	 */
	private static final int MAX_RELAYS = 4;

	/**
	 * Time for which no call is relayed after all relays of a call have failed, as the
	 * store may be down.
	 */
	private static final long RELAY_BACKOFF_NANOS = TimeUnit.SECONDS.toNanos(1);

	/** Added to the timeout of a relayed call for the hop to the other host. */
	private static final Duration RELAY_HOP_TIME = Duration.ofMillis(200);

	private final EventLoop loop;

	private final JsonHttpClient calls;

	private final InetSocketAddress store;

	private final StoreVersions versions;

	private Supplier<Optional<InetSocketAddress>> hosts = Optional::empty;

	private Optional<InetSocketAddress> lastRelayHost = Optional.empty();

	private boolean isRelaying;

	private long relayingSinceNanos;

	private boolean hasRelayFailed;

	private long relayFailedNanos;

	StoreRelay(EventLoop loop, JsonHttpClient calls, InetSocketAddress store, StoreVersions versions) {
		this.loop = loop;
		this.calls = calls;
		this.store = store;
		this.versions = versions;
	}

	// Sets the supplier of the next host to relay a call through. It is called on the
	// event loop and returns an empty value if calls must not be relayed.
	void setRelayHosts(Supplier<Optional<InetSocketAddress>> next) {
		this.hosts = next;
	}

	@Override
	public CompletableFuture<JsonHttpClient.Response> send(JsonHttpClient.Call call, Duration wait) {
		Attempt attempt = new Attempt(call);
		this.loop.execute(() -> {
			boolean isRecent = this.isRelaying && System.nanoTime() - this.relayingSinceNanos < RELAYING_PERIOD_NANOS;
			if (!isRecent || !attempt.sendRelayed()) {
				this.isRelaying = false;
				attempt.sendDirect();
				this.loop.schedule(attempt::sendRelayed, wait.plus(RELAY_DELAY).toMillis(), TimeUnit.MILLISECONDS);
			}
		});
		return attempt.result;
	}

	// Makes a call to the store for another host, on a new connection, as this host does
	// not know what an earlier response would change there. Passes on its response, or
	// an empty value if there is none or if it belongs to an earlier write.
	void processRelayedCall(JsonNode body, Consumer<Optional<ObjectNode>> done) {
		Optional<JsonNode> content = Optional.of(body.path("body")).filter(JsonNode::isObject);
		JsonHttpClient.Call call = new JsonHttpClient.Call(this.store, StoreClient.CONNECTION_OWNER,
				ResponseMatching.NEW_CONNECTION, body.path("method").asText(), body.path("target").asText(), Map.of(),
				content, Duration.ofMillis(body.path("timeoutMs").asLong()));
		long newestBefore = this.versions.newest();
		this.calls.send(call).whenComplete((reply, failure) -> {
			LOG.info("store_call_relayed", "target", call.target(), "status",
					(failure != null) ? failure : reply.status());
			if (failure != null || !StoreClient.acceptsRelayed(call, reply, this.versions, newestBefore)) {
				done.accept(Optional.empty());
				return;
			}
			ObjectNode response = JsonHttpClient.MAPPER.createObjectNode().put("status", reply.status());
			response.set("body", reply.body());
			done.accept(Optional.of(response));
		});
	}

	private static boolean isAccepted(JsonHttpClient.Response reply) {
		return reply.status() != HttpResponseStatus.SERVICE_UNAVAILABLE.code()
				&& reply.status() != HttpResponseStatus.TOO_MANY_REQUESTS.code();
	}

	private final class Attempt {

		private final JsonHttpClient.Call call;

		private final CompletableFuture<JsonHttpClient.Response> result = new CompletableFuture<>();

		private Optional<CompletableFuture<JsonHttpClient.Response>> directReply = Optional.empty();

		private Optional<CompletableFuture<JsonHttpClient.Response>> relayedReply = Optional.empty();

		private int relayCount;

		Attempt(JsonHttpClient.Call call) {
			this.call = call;
		}

		void sendDirect() {
			CompletableFuture<JsonHttpClient.Response> sent = StoreRelay.this.calls.send(this.call);
			this.directReply = Optional.of(sent);
			sent.whenComplete((reply, failure) -> {
				if (failure == null && isAccepted(reply)) {
					this.result.complete(reply);
				}
				else if (this.relayedReply.isPresent() || !sendRelayed()) {
					completeAfterFailures();
				}
			});
		}

		// Sends the call through another host unless that was done before. Returns
		// whether it was sent.
		boolean sendRelayed() {
			boolean isBackingOff = StoreRelay.this.hasRelayFailed
					&& System.nanoTime() - StoreRelay.this.relayFailedNanos < RELAY_BACKOFF_NANOS;
			return !isBackingOff && !this.result.isDone() && this.relayedReply.isEmpty() && sendThroughNextHost();
		}

		// Sends the call through the host that relayed one last, else through the next
		// one. Returns whether there was such a host.
		private boolean sendThroughNextHost() {
			Optional<InetSocketAddress> host = StoreRelay.this.hosts.get()
				.map((next) -> StoreRelay.this.lastRelayHost.orElse(next));
			if (host.isEmpty()) {
				return false;
			}
			this.relayCount++;
			ObjectNode body = JsonHttpClient.MAPPER.createObjectNode()
				.put("method", this.call.method())
				.put("target", this.call.target())
				.put("timeoutMs", this.call.timeout().toMillis());
			this.call.body().ifPresent((content) -> body.set("body", content));
			long sentNanos = System.nanoTime();
			CompletableFuture<JsonHttpClient.Response> sent = StoreRelay.this.calls
				.send(new JsonHttpClient.Call(host.get(), "peer", ResponseMatching.CALL_ID, "POST", PATH, Map.of(),
						Optional.of(body), this.call.timeout().plus(RELAY_HOP_TIME)))
				.thenApply((reply) -> new JsonHttpClient.Response(reply.body().path("status").asInt(reply.status()),
						reply.body().path("body"), false));
			this.relayedReply = Optional.of(sent);
			sent.whenComplete((reply, failure) -> {
				boolean isAnswered = failure == null && reply.status() != HttpResponseStatus.BAD_GATEWAY.code();
				if (isAnswered && isAccepted(reply)) {
					handleRelayed(host.get(), reply);
					return;
				}
				boolean isRepeatable = isAnswered || this.call.method().equals("GET") || isNotSent(failure);
				LOG.info("store_relay_failed", "host", host.get(), "target", this.call.target(), "relays",
						this.relayCount, "cause", (failure != null) ? failure : reply.status());
				handleRelayFailure(isRepeatable && System.nanoTime() - sentNanos < RELAY_DELAY.toNanos());
			});
			return true;
		}

		private static boolean isNotSent(Throwable failure) {
			Throwable cause = (failure instanceof CompletionException) ? failure.getCause() : failure;
			return cause instanceof JsonHttpClient.CallFailedException failed && failed.isNotSent();
		}

		private void handleRelayed(InetSocketAddress host, JsonHttpClient.Response reply) {
			StoreRelay.this.hasRelayFailed = false;
			StoreRelay.this.lastRelayHost = Optional.of(host);
			if (!StoreRelay.this.isRelaying) {
				LOG.warn("store_relayed", "host", host, "target", this.call.target());
				StoreRelay.this.isRelaying = true;
				StoreRelay.this.relayingSinceNanos = System.nanoTime();
			}
			this.result.complete(reply);
		}

		// Relays the call through another host if that is allowed. A write whose outcome
		// is unknown is not, as a later refusal would hide that it may have been applied.
		private void handleRelayFailure(boolean isRepeatable) {
			StoreRelay.this.lastRelayHost = Optional.empty();
			if (isRepeatable && this.relayCount < MAX_RELAYS && !this.result.isDone() && sendThroughNextHost()) {
				return;
			}
			StoreRelay.this.hasRelayFailed = true;
			StoreRelay.this.relayFailedNanos = System.nanoTime();
			if (this.directReply.isEmpty()) {
				StoreRelay.this.isRelaying = false;
				sendDirect();
			}
			else {
				completeAfterFailures();
			}
		}

		// Completes the call once neither path is pending. Reports the path whose
		// outcome is unknown, if there is one.
		private void completeAfterFailures() {
			boolean isPending = this.directReply.filter((one) -> !one.isDone()).isPresent()
					|| this.relayedReply.filter((one) -> !one.isDone()).isPresent();
			if (isPending || this.result.isDone()) {
				return;
			}
			CompletableFuture<JsonHttpClient.Response> reported = this.directReply.orElseThrow();
			if (!reported.isCompletedExceptionally() && this.relayedReply.isPresent()) {
				reported = this.relayedReply.get();
			}
			reported.whenComplete((reply, failure) -> {
				if (failure != null) {
					this.result.completeExceptionally((failure.getCause() != null) ? failure.getCause() : failure);
				}
				else {
					this.result.complete(reply);
				}
			});
		}

	}

}
