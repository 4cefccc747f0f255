package org.celeryhill.edge;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.celeryhill.base.EventLog;
import org.celeryhill.platform.JsonHttpClient;
import org.celeryhill.platform.StoreClient;

/**
 * Sends calls to the store, through another host where the store does not answer this
 * one. So a holder of the lease that is cut off from the store, or turned away, keeps the
 * lease and goes on with placement. A call may reach the store twice; writes are
 * conditional. Thread-safe.
 */
final class StoreRelay implements StoreClient.Sender {

	static final String PATH = "/store";

	private static final EventLog LOG = EventLog.of(StoreRelay.class);

	/**
	 * Time without an answer after which another host is asked. A renewal has to be done
	 * within a third of the lease.
	 */
	private static final Duration HEDGE = Duration.ofMillis(300);

	/** Time for which calls go through another host once that was of help. */
	private static final long RELAY_NANOS = TimeUnit.SECONDS.toNanos(10);

	/** Pause after another host could not help either, as the store may be down. */
	private static final long FAILED_NANOS = TimeUnit.SECONDS.toNanos(1);

	private static final Duration HOP = Duration.ofMillis(200);

	private final EventLoop loop;

	private final JsonHttpClient calls;

	private final InetSocketAddress store;

	private Supplier<Optional<InetSocketAddress>> hosts = Optional::empty;

	private boolean isRelaying;

	private long relayedNanos;

	private boolean isFailed;

	private long failedNanos;

	StoreRelay(EventLoop loop, JsonHttpClient calls, InetSocketAddress store) {
		this.loop = loop;
		this.calls = calls;
		this.store = store;
	}

	// Sets who names the host to ask, called on the event loop; none if the call is not
	// worth it.
	void setHosts(Supplier<Optional<InetSocketAddress>> next) {
		this.hosts = next;
	}

	@Override
	public CompletableFuture<JsonHttpClient.Response> send(JsonHttpClient.Call call, Duration wait) {
		Attempt attempt = new Attempt(call);
		this.loop.execute(() -> {
			boolean isRecent = this.isRelaying && System.nanoTime() - this.relayedNanos < RELAY_NANOS;
			if (!isRecent || !attempt.relay()) {
				this.isRelaying = false;
				attempt.direct();
				this.loop.schedule(attempt::relay, wait.plus(HEDGE).toMillis(), TimeUnit.MILLISECONDS);
			}
		});
		return attempt.result;
	}

	// Makes a call for another host. The answer is the store's, or none.
	void answer(JsonNode body, Consumer<Optional<ObjectNode>> done) {
		Optional<JsonNode> content = Optional.of(body.path("body")).filter(JsonNode::isObject);
		JsonHttpClient.Call call = new JsonHttpClient.Call(this.store, StoreClient.CONNECTION_OWNER, body.path("method").asText(),
				body.path("target").asText(), Map.of(), content, Duration.ofMillis(body.path("timeoutMs").asLong()));
		this.calls.send(call).whenComplete((reply, failure) -> {
			LOG.info("store_call_relayed", "target", call.target(), "status",
					(failure != null) ? failure : reply.status());
			if (failure != null) {
				done.accept(Optional.empty());
				return;
			}
			ObjectNode answer = JsonHttpClient.MAPPER.createObjectNode().put("status", reply.status());
			answer.set("body", reply.body());
			done.accept(Optional.of(answer));
		});
	}

	private static boolean isServed(JsonHttpClient.Response reply) {
		return reply.status() != HttpResponseStatus.SERVICE_UNAVAILABLE.code()
				&& reply.status() != HttpResponseStatus.TOO_MANY_REQUESTS.code();
	}

	private final class Attempt {

		private final JsonHttpClient.Call call;

		private final CompletableFuture<JsonHttpClient.Response> result = new CompletableFuture<>();

		private Optional<CompletableFuture<JsonHttpClient.Response>> direct = Optional.empty();

		private Optional<CompletableFuture<JsonHttpClient.Response>> relayed = Optional.empty();

		Attempt(JsonHttpClient.Call call) {
			this.call = call;
		}

		void direct() {
			CompletableFuture<JsonHttpClient.Response> sent = StoreRelay.this.calls.send(this.call);
			this.direct = Optional.of(sent);
			sent.whenComplete((reply, failure) -> {
				if (failure == null && isServed(reply)) {
					this.result.complete(reply);
				}
				else if (this.relayed.isPresent() || !relay()) {
					fail();
				}
			});
		}

		// Asks another host, once; returns whether that was possible.
		boolean relay() {
			boolean isPausing = StoreRelay.this.isFailed
					&& System.nanoTime() - StoreRelay.this.failedNanos < FAILED_NANOS;
			Optional<InetSocketAddress> host = isPausing ? Optional.empty() : StoreRelay.this.hosts.get();
			if (this.result.isDone() || this.relayed.isPresent() || host.isEmpty()) {
				return false;
			}
			ObjectNode body = JsonHttpClient.MAPPER.createObjectNode()
				.put("method", this.call.method())
				.put("target", this.call.target())
				.put("timeoutMs", this.call.timeout().toMillis());
			this.call.body().ifPresent((content) -> body.set("body", content));
			CompletableFuture<JsonHttpClient.Response> sent = StoreRelay.this.calls
				.send(new JsonHttpClient.Call(host.get(), "peer", "POST", PATH, Map.of(), Optional.of(body),
						this.call.timeout().plus(HOP)))
				.thenApply((reply) -> new JsonHttpClient.Response(reply.body().path("status").asInt(reply.status()),
						reply.body().path("body")));
			this.relayed = Optional.of(sent);
			sent.whenComplete((reply, failure) -> relayed(host.get(), reply, failure));
			return true;
		}

		private void relayed(InetSocketAddress host, JsonHttpClient.Response reply, Throwable failure) {
			boolean isHelp = failure == null && isServed(reply)
					&& reply.status() != HttpResponseStatus.BAD_GATEWAY.code();
			StoreRelay.this.isFailed = !isHelp;
			StoreRelay.this.failedNanos = System.nanoTime();
			if (isHelp) {
				if (!StoreRelay.this.isRelaying) {
					LOG.warn("store_relayed", "host", host, "target", this.call.target());
					StoreRelay.this.isRelaying = true;
					StoreRelay.this.relayedNanos = System.nanoTime();
				}
				this.result.complete(reply);
			}
			else if (this.direct.isEmpty()) {
				StoreRelay.this.isRelaying = false;
				direct();
			}
			else {
				fail();
			}
		}

		// Tells of the way whose outcome is unknown, if there is one, once both have
		// failed.
		private void fail() {
			boolean isPending = this.direct.filter((one) -> !one.isDone()).isPresent()
					|| this.relayed.filter((one) -> !one.isDone()).isPresent();
			if (isPending || this.result.isDone()) {
				return;
			}
			CompletableFuture<JsonHttpClient.Response> told = this.direct.orElseThrow();
			if (!told.isCompletedExceptionally() && this.relayed.isPresent()) {
				told = this.relayed.get();
			}
			told.whenComplete((reply, failure) -> {
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
