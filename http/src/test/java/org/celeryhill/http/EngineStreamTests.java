package org.celeryhill.http;

import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.reactivex.rxjava3.subscribers.TestSubscriber;
import okhttp3.OkHttpClient;
import org.celeryhill.base.AttemptId;
import org.celeryhill.base.BackendServerId;
import org.celeryhill.base.ModelId;
import org.celeryhill.base.PriorityClass;
import org.celeryhill.port.GenerateEvent;
import org.celeryhill.port.GenerateEvent.Failure;
import org.celeryhill.port.GenerateRequest;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against engine streams that are truncated or out of order but reported as
 * complete.
 */
class EngineStreamTests {

	/** Response head of a stream without Content-Length. */
	private static final String RESPONSE_HEAD = "HTTP/1.1 200 x\r\nContent-Type: text/event-stream\r\n\r\n";

	private static final AttemptId ATTEMPT = AttemptId.of("a1");

	private static final OkHttpClient CLIENT = new OkHttpClient();

	@AfterAll
	static void closeClient() {
		CLIENT.dispatcher().executorService().shutdown();
		CLIENT.connectionPool().evictAll();
	}

	// Guards against events that are lost, reordered or altered when their text contains
	// special characters or when they are received one byte at a time.
	@Test
	void allEventsArriveInOrder() throws IOException {
		List<GenerateEvent> sent = List.of(token(0, "line\nbreak \"quoted\""), token(1, " fibre \u00e9\u4e2d"), end(2));
		try (RawServer server = RawServer.start((connection) -> {
			connection.readRequest();
			connection.writeText(RESPONSE_HEAD);
			for (GenerateEvent event : sent) {
				for (byte b : GenerateEventCodec.encode(event)) {
					connection.socket().getOutputStream().write(b);
				}
			}
		})) {
			assertThat(generateEvents(server.uri())).isEqualTo(sent);
		}
	}

	// Guards against reporting a stream as complete if it ends without an end marker.
	@Test
	void missingEndMarkerIsBroken() throws IOException {
		assertFailsAfterToken("", Failure.BROKEN);
	}

	// Guards against delivering a truncated event or any event after malformed data.
	@Test
	void malformedEventIsBroken() throws IOException {
		assertFailsAfterToken("event:token\ndata:{\"attempt\":\"a1\",\"offset\":1", Failure.BROKEN);
		assertFailsAfterToken("event:token\ndata:{\"attempt\":\"a1\",\"offset\":1\n\n", Failure.BROKEN);
		assertFailsAfterToken("event:end\ndata:{\"attempt\":\"a1\"}\n\n", Failure.BROKEN);
	}

	// Guards against events without a size limit, which could exhaust the memory of an
	// entry host.
	@Test
	void oversizedEventIsBroken() throws IOException {
		assertFailsAfterToken("data:" + "x".repeat(GenerateEventCodec.MAX_EVENT_BYTES + 1), Failure.BROKEN);
	}

	private static void assertFailsAfterToken(String rest, Failure failure) throws IOException {
		try (RawServer server = RawServer.start((connection) -> {
			connection.readRequest();
			connection.writeText(RESPONSE_HEAD
					+ new String(GenerateEventCodec.encode(token(0, "one")), StandardCharsets.UTF_8) + rest);
		})) {
			List<GenerateEvent> events = generateEvents(server.uri());
			assertThat(events).hasSize(2).startsWith(token(0, "one"));
			assertThat(failureOf(events)).isEqualTo(failure);
		}
	}

	// Guards against confusing failures before the first token: a request may have run if
	// the connection broke before the response head, but certainly did not run if it was
	// refused or never sent.
	@Test
	void failuresBeforeFirstTokenAreDistinguished() throws IOException {
		URI closed;
		try (RawServer lost = RawServer.start(RawServer.Connection::readRequest);
				RawServer refused = RawServer.start((connection) -> {
					connection.readRequest();
					connection.respond(503, "X-Execution: not_run\r\n", "{}");
				});
				RawServer failed = RawServer.start((connection) -> {
					connection.readRequest();
					connection.respond(500, "", "{}");
				})) {
			closed = lost.uri();
			assertThat(failureOf(generateEvents(lost.uri()))).isEqualTo(Failure.BROKEN);
			assertThat(failureOf(generateEvents(refused.uri()))).isEqualTo(Failure.REFUSED);
			assertThat(failureOf(generateEvents(failed.uri()))).isEqualTo(Failure.BROKEN);
		}
		assertThat(failureOf(generateEvents(closed))).isEqualTo(Failure.NOT_SENT);
	}

	// Guards against reporting a stream that the engine does not know as a broken
	// connection: the output must be continued on another engine immediately.
	@Test
	void unknownStreamIsDistinguishedFromBreak() throws IOException {
		try (RawServer server = RawServer.start((connection) -> {
			connection.readRequest();
			connection.respond(404, "", "{\"error\":{\"code\":\"unknown_stream\"}}");
		})) {
			List<GenerateEvent> events = engine(server.uri()).resume(ATTEMPT, 3).toList().blockingGet();
			assertThat(failureOf(events)).isEqualTo(Failure.UNKNOWN_STREAM);
		}
	}

	// Guards against delivering more events than requested, which would buffer the
	// complete output for a slow caller, and against losing events meanwhile.
	@Test
	void noMoreThanRequestedIsDelivered() throws Exception {
		int count = 1000;
		try (RawServer server = RawServer.start((connection) -> {
			connection.readRequest();
			connection.writeText(RESPONSE_HEAD);
			for (int i = 0; i < count; i++) {
				connection.socket().getOutputStream().write(GenerateEventCodec.encode(token(i, "t")));
			}
			connection.socket().getOutputStream().write(GenerateEventCodec.encode(end(count)));
		})) {
			TestSubscriber<GenerateEvent> subscriber = new TestSubscriber<>(3);
			engine(server.uri()).generate(request()).subscribe(subscriber);
			subscriber.awaitCount(3);
			Thread.sleep(50);
			subscriber.assertValueCount(3);
			subscriber.request(Long.MAX_VALUE);
			assertThat(subscriber.await(5, TimeUnit.SECONDS)).isTrue();
			subscriber.assertValueCount(count + 1);
		}
	}

	// Guards against a cancelled subscription that keeps its connection open and
	// continues to read.
	@Test
	void cancelClosesTheConnection() throws Exception {
		java.util.concurrent.CountDownLatch closed = new java.util.concurrent.CountDownLatch(1);
		try (RawServer server = RawServer.start((connection) -> {
			connection.readRequest();
			connection.writeText(
					RESPONSE_HEAD + new String(GenerateEventCodec.encode(token(0, "one")), StandardCharsets.UTF_8));
			try {
				connection.socket().getInputStream().read();
			}
			finally {
				closed.countDown();
			}
		})) {
			TestSubscriber<GenerateEvent> subscriber = new TestSubscriber<>();
			engine(server.uri()).generate(request()).subscribe(subscriber);
			subscriber.awaitCount(1);
			subscriber.cancel();
			assertThat(closed.await(3, TimeUnit.SECONDS)).isTrue();
		}
	}

	private static List<GenerateEvent> generateEvents(URI uri) {
		return engine(uri).generate(request()).toList().timeout(10, TimeUnit.SECONDS).blockingGet();
	}

	private static HttpEngine engine(URI uri) {
		return HttpEngine.create(BackendServerId.of("e"), uri, CLIENT, ClientSettings.defaults());
	}

	private static GenerateRequest request() {
		return new GenerateRequest(ATTEMPT, ModelId.of("m@1"), "prompt", "", 0, 8, 1, PriorityClass.URGENT);
	}

	private static GenerateEvent token(int offset, String text) {
		return new GenerateEvent.Token(ATTEMPT, offset, text);
	}

	private static GenerateEvent end(int tokens) {
		return new GenerateEvent.End(ATTEMPT, tokens, "length");
	}

	private static Failure failureOf(List<GenerateEvent> events) {
		GenerateEvent last = events.get(events.size() - 1);
		assertThat(last).isInstanceOf(GenerateEvent.Failed.class);
		return ((GenerateEvent.Failed) last).failure();
	}

}
