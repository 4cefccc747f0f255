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
 * Guards against answers that are truncated or mixed up and still look whole.
 */
class EngineStreamTests {

	/** Head of a stream without a length. */
	private static final String HEAD = "HTTP/1.1 200 x\r\nContent-Type: text/event-stream\r\n\r\n";

	/** Attempt of all requests. */
	private static final AttemptId ATTEMPT = AttemptId.of("a1");

	/** Client of all tests. */
	private static final OkHttpClient CLIENT = new OkHttpClient();

	@AfterAll
	static void closeClient() {
		CLIENT.dispatcher().executorService().shutdown();
		CLIENT.connectionPool().evictAll();
	}

	// Every event must arrive, in order, whatever its text and however the bytes are cut.
	@Test
	void wholeStreamArrives() throws IOException {
		List<GenerateEvent> sent = List.of(token(0, "line\nbreak \"quoted\""), token(1, " fibre \u00e9\u4e2d"), end(2));
		try (RawServer server = RawServer.start((connection) -> {
			connection.readRequest();
			connection.write(HEAD);
			for (GenerateEvent event : sent) {
				for (byte b : GenerateEventCodec.encode(event)) {
					connection.socket().getOutputStream().write(b);
				}
			}
		})) {
			assertThat(generate(server.uri())).isEqualTo(sent);
		}
	}

	// A stream that just ends must not pass for a complete answer.
	@Test
	void missingEndMarkerIsBroken() throws IOException {
		assertFailsAfterToken("", Failure.BROKEN);
	}

	// An event that is cut off must not be delivered, nor anything after garbage.
	@Test
	void malformedEventIsBroken() throws IOException {
		assertFailsAfterToken("event:token\ndata:{\"attempt\":\"a1\",\"offset\":1", Failure.BROKEN);
		assertFailsAfterToken("event:token\ndata:{\"attempt\":\"a1\",\"offset\":1\n\n", Failure.BROKEN);
		assertFailsAfterToken("event:end\ndata:{\"attempt\":\"a1\"}\n\n", Failure.BROKEN);
	}

	// An event without a bound on its size would exhaust the memory of an entry host.
	@Test
	void oversizedEventIsBroken() throws IOException {
		assertFailsAfterToken("data:" + "x".repeat(GenerateEventCodec.MAX_EVENT_BYTES + 1), Failure.BROKEN);
	}

	private static void assertFailsAfterToken(String rest, Failure failure) throws IOException {
		try (RawServer server = RawServer.start((connection) -> {
			connection.readRequest();
			connection.write(HEAD + new String(GenerateEventCodec.encode(token(0, "one")), StandardCharsets.UTF_8) + rest);
		})) {
			List<GenerateEvent> events = generate(server.uri());
			assertThat(events).hasSize(2).startsWith(token(0, "one"));
			assertThat(failureOf(events)).isEqualTo(failure);
		}
	}

	// A broken connection before the head may have run; only a refusal certainly did not.
	@Test
	void failuresBeforeTheFirstTokenAreToldApart() throws IOException {
		URI closed;
		try (RawServer lost = RawServer.start(RawServer.Connection::readRequest);
				RawServer refused = RawServer.start((connection) -> {
					connection.readRequest();
					connection.answer(503, "X-Execution: not_run\r\n", "{}");
				});
				RawServer failed = RawServer.start((connection) -> {
					connection.readRequest();
					connection.answer(500, "", "{}");
				})) {
			closed = lost.uri();
			assertThat(failureOf(generate(lost.uri()))).isEqualTo(Failure.BROKEN);
			assertThat(failureOf(generate(refused.uri()))).isEqualTo(Failure.REFUSED);
			assertThat(failureOf(generate(failed.uri()))).isEqualTo(Failure.BROKEN);
		}
		assertThat(failureOf(generate(closed))).isEqualTo(Failure.NOT_SENT);
	}

	// A resume that meets an engine without the stream must be told apart from a break,
	// so
	// that the answer is continued elsewhere at once.
	@Test
	void unknownStreamIsToldApart() throws IOException {
		try (RawServer server = RawServer.start((connection) -> {
			connection.readRequest();
			connection.answer(404, "", "{\"error\":{\"code\":\"unknown_stream\"}}");
		})) {
			List<GenerateEvent> events = engine(server.uri()).resume(ATTEMPT, 3).toList().blockingGet();
			assertThat(failureOf(events)).isEqualTo(Failure.UNKNOWN_STREAM);
		}
	}

	// A slow caller must not make the client buffer the complete answer, nor lose events.
	@Test
	void noMoreThanRequestedIsDelivered() throws Exception {
		int count = 1000;
		try (RawServer server = RawServer.start((connection) -> {
			connection.readRequest();
			connection.write(HEAD);
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

	// A cancelled subscription must close its connection instead of reading on.
	@Test
	void cancelClosesTheConnection() throws Exception {
		java.util.concurrent.CountDownLatch closed = new java.util.concurrent.CountDownLatch(1);
		try (RawServer server = RawServer.start((connection) -> {
			connection.readRequest();
			connection.write(HEAD + new String(GenerateEventCodec.encode(token(0, "one")), StandardCharsets.UTF_8));
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

	private static List<GenerateEvent> generate(URI uri) {
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
