package org.celeryhill.forward;

import java.time.Duration;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the data path for requests with one answer.
 */
@Timeout(20)
class ForwarderTests {

	private static final String SIGNED = "signed: s\r\n";

	private ForwardFixture fixture;

	@BeforeEach
	void start() throws Exception {
		this.fixture = new ForwardFixture();
	}

	@AfterEach
	void stop() throws Exception {
		this.fixture.close();
	}

	// Guards against changes of method, path, query, body or headers on the way.
	@Test
	void passesRequestAndAnswerUnchanged() throws Exception {
		this.fixture.configured();
		try (RawEngine engine = new RawEngine(
				(request, connection) -> connection.answer(request, 200, SIGNED + "x-more: 1\r\n", "whole"))) {
			this.fixture.add("s1", ForwardFixture.PLAIN, engine);
			String answer = this.fixture.exchange(
					"POST /once/a%20b?q=1&q=2 HTTP/1.1\r\nHost: a.example\r\nid: r1\r\nX-Own: Value\r\nConnection: close, x-hop\r\n"
							+ "X-Hop: 1\r\nContent-Length: 4\r\n\r\nbody");
			assertThat(answer).startsWith("HTTP/1.1 200").contains("signed: s", "x-more: 1").endsWith("\r\n\r\nwhole");
			RawEngine.Received seen = engine.received().get(0);
			assertThat(seen.line()).isEqualTo("POST /once/a%20b?q=1&q=2 HTTP/1.1");
			assertThat(seen.body()).isEqualTo("body");
			assertThat(seen.head()).contains("X-Own: Value", "id: r1").doesNotContain("X-Hop: 1");
		}
	}

	// Guards against a 404, which callers do not repeat, before a configuration is known.
	@Test
	void refusesWithoutConfigurationAndRejectsUnknownRoutes() throws Exception {
		assertThat(this.fixture.exchange(ForwardFixture.get("/many/x", "r1"))).startsWith("HTTP/1.1 503")
			.contains("retry-after");
		this.fixture.configured();
		assertThat(this.fixture.exchange(ForwardFixture.get("/nowhere/", "r2"))).startsWith("HTTP/1.1 404");
	}

	// Guards against a second run of a request that may run once only.
	@Test
	void neverRepeatsUnsafeRequestThatMayHaveRun() throws Exception {
		this.fixture.configured();
		try (RawEngine one = new RawEngine((request, connection) -> connection.reset());
				RawEngine two = new RawEngine((request, connection) -> connection.reset())) {
			this.fixture.add("s1", ForwardFixture.PLAIN, one);
			this.fixture.add("s2", ForwardFixture.PLAIN, two);
			assertThat(this.fixture.exchange(ForwardFixture.post("/once/x", "r1", "b"))).startsWith("HTTP/1.1 502");
			assertThat(one.received().size() + two.received().size()).isEqualTo(1);
		}
	}

	// Guards against a lost answer that fails a request which may be repeated.
	@Test
	void repeatsSafeRequestAtAnotherServer() throws Exception {
		this.fixture.configured();
		RawEngine.Script firstFails = new RawEngine.Script() {

			private boolean hasFailed;

			@Override
			public synchronized void answer(RawEngine.Received request, RawEngine.Connection connection)
					throws java.io.IOException {
				if (!this.hasFailed) {
					this.hasFailed = true;
					connection.reset();
				}
				connection.answer(request, 200, SIGNED, "ok");
			}
		};
		try (RawEngine one = new RawEngine(firstFails); RawEngine two = new RawEngine(firstFails)) {
			this.fixture.add("s1", ForwardFixture.PLAIN, one);
			this.fixture.add("s2", ForwardFixture.PLAIN, two);
			assertThat(this.fixture.exchange(ForwardFixture.get("/many/x", "r1"))).startsWith("HTTP/1.1 200");
			assertThat(one.received()).hasSize(1);
			assertThat(two.received()).hasSize(1);
		}
	}

	// Guards against a lost booking where a backend server says that it did not run it,
	// and
	// against a refusal that would be untrue.
	@Test
	void goesOnAfterRefusalsThatStateNothingRan() throws Exception {
		this.fixture.configured();
		try (RawEngine full = new RawEngine(
				(request, connection) -> connection.answer(request, 503, "not-run: 1\r\n", ""))) {
			this.fixture.add("s1", ForwardFixture.PLAIN, full);
			assertThat(this.fixture.exchange(ForwardFixture.post("/once/x", "r1", "b"))).startsWith("HTTP/1.1 503");
			try (RawEngine free = new RawEngine(
					(request, connection) -> connection.answer(request, 200, SIGNED, "ok"))) {
				this.fixture.add("s2", ForwardFixture.PLAIN, free);
				assertThat(this.fixture.exchange(ForwardFixture.post("/once/x", "r2", "b"))).startsWith("HTTP/1.1 200");
				assertThat(free.received()).hasSize(1);
			}
		}
	}

	// Guards against a 503 of a backend server that ran the request, as 503 says "not
	// run".
	@Test
	void doesNotPassOnAPromiseThatWasNotMade() throws Exception {
		this.fixture.configured();
		try (RawEngine engine = new RawEngine((request, connection) -> connection.answer(request, 503, SIGNED, ""))) {
			this.fixture.add("s1", ForwardFixture.PLAIN, engine);
			assertThat(this.fixture.exchange(ForwardFixture.post("/once/x", "r1", "b"))).startsWith("HTTP/1.1 502")
				.doesNotContain("signed");
		}
	}

	// Guards against a backend server's own failure under another status.
	@Test
	void keepsFailuresOfTheServer() throws Exception {
		this.fixture.configured();
		try (RawEngine engine = new RawEngine((request, connection) -> connection.answer(request, 500, SIGNED, "no"))) {
			this.fixture.add("s1", ForwardFixture.PLAIN, engine);
			assertThat(this.fixture.exchange(ForwardFixture.get("/many/x", "r1"))).startsWith("HTTP/1.1 500")
				.contains("signed: s")
				.endsWith("no");
		}
	}

	// Guards against the answer to another request.
	@Test
	void dropsAnswerWithAnotherId() throws Exception {
		this.fixture.configured();
		try (RawEngine engine = new RawEngine((request, connection) -> connection
			.send("HTTP/1.1 200 OK\r\nid: other\r\nsigned: s\r\ncontent-length: 5\r\n\r\nwrong"))) {
			this.fixture.add("s1", ForwardFixture.PLAIN, engine);
			assertThat(this.fixture.exchange(ForwardFixture.post("/once/x", "r1", "b"))).startsWith("HTTP/1.1 502")
				.doesNotContain("wrong");
		}
	}

	// Guards against a success without signature, with an encoding, or cut short.
	@ParameterizedTest
	@ValueSource(strings = { "unsigned", "encoded", "short", "noise", "unframed" })
	void dropsAnswersThatAreNotTheServersWholeBody(String kind) throws Exception {
		this.fixture.configured();
		try (RawEngine engine = new RawEngine((request, connection) -> {
			switch (kind) {
				case "unsigned" -> connection.answer(request, 200, "", "text");
				case "encoded" -> connection.answer(request, 200, SIGNED + "content-encoding: gzip\r\n", "text");
				case "short" -> {
					connection.send("HTTP/1.1 200 OK\r\nid: r1\r\nsigned: s\r\ncontent-length: 10\r\n\r\ntext");
					connection.socket().close();
				}
				case "noise" -> connection.send("these bytes are no answer\r\n\r\n");
				default -> {
					connection.send("HTTP/1.1 200 OK\r\nid: r1\r\nsigned: s\r\n\r\ntext");
					connection.reset();
				}
			}
		})) {
			this.fixture.add("s1", ForwardFixture.PLAIN, engine);
			assertThat(this.fixture.exchange(ForwardFixture.post("/once/x", "r1", "b"))).startsWith("HTTP/1.1 502")
				.doesNotContain("text");
		}
	}

	// Guards against an answer without length that is lost although its server ended it.
	@Test
	void takesAnswerThatEndsWithItsConnection() throws Exception {
		this.fixture.configured();
		try (RawEngine engine = new RawEngine((request, connection) -> {
			connection.send("HTTP/1.1 200 OK\r\nid: r1\r\nsigned: s\r\nconnection: close\r\n\r\ntext");
			connection.socket().close();
		})) {
			this.fixture.add("s1", ForwardFixture.PLAIN, engine);
			assertThat(this.fixture.exchange(ForwardFixture.post("/once/x", "r1", "b"))).startsWith("HTTP/1.1 200")
				.endsWith("text");
		}
	}

	// Guards against bytes after an answer that are taken for the next one.
	@Test
	void doesNotReuseConnectionWithExtraBytes() throws Exception {
		this.fixture.configured();
		try (RawEngine engine = new RawEngine((request, connection) -> {
			connection.answer(request, 200, SIGNED, "first");
			connection.send("HTTP/1.1 200 OK\r\nid: r2\r\nsigned: s\r\ncontent-length: 5\r\n\r\nextra");
		})) {
			this.fixture.add("s1", ForwardFixture.PLAIN, engine);
			assertThat(this.fixture.exchange(ForwardFixture.get("/many/x", "r1"))).endsWith("first");
			Thread.sleep(100);
			assertThat(this.fixture.exchange(ForwardFixture.get("/many/x", "r2"))).endsWith("first");
			assertThat(engine.connections()).isEqualTo(2);
		}
	}

	// Guards against a request that is held past its route's time, and against a deadline
	// for the backend server that is longer than what is left.
	@Test
	void endsRequestsAtTheTimeOfTheirRoute() throws Exception {
		this.fixture.configured(Duration.ofMillis(400));
		try (RawEngine engine = new RawEngine((request, connection) -> connection.awaitClose())) {
			this.fixture.add("s1", ForwardFixture.PLAIN, engine);
			long start = System.nanoTime();
			assertThat(this.fixture.exchange(ForwardFixture.post("/once/x", "r1", "b"))).startsWith("HTTP/1.1 504");
			assertThat(System.nanoTime() - start).isLessThan(900_000_000L);
			assertThat(Integer.parseInt(engine.received().get(0).header("deadline", "9999"))).isBetween(100, 400);
		}
	}

	// Guards against work for a caller that has gone, and against a request that a
	// leaving
	// caller breaks off though it may run once only.
	@Test
	void stopsRepeatableWorkOfCallersThatLeft() throws Exception {
		this.fixture.configured();
		try (RawEngine engine = new RawEngine((request, connection) -> connection.awaitClose())) {
			this.fixture.add("s1", ForwardFixture.PLAIN, engine);
			try (ForwardFixture.Caller caller = this.fixture.caller()) {
				caller.send(ForwardFixture.get("/many/x", "r1"));
				Thread.sleep(200);
			}
			assertThat(engine.awaitClose(500)).isEqualTo("closed");
			try (ForwardFixture.Caller caller = this.fixture.caller()) {
				caller.send(ForwardFixture.post("/once/x", "r2", "b"));
				Thread.sleep(200);
			}
			assertThat(engine.awaitClose(500)).isNull();
		}
	}

	// Guards against requests hidden in others, and against heads without limit.
	@Test
	void rejectsMalformedRequests() throws Exception {
		this.fixture.configured();
		try (RawEngine engine = new RawEngine((request, connection) -> connection.answer(request, 200, SIGNED, "ok"))) {
			this.fixture.add("s1", ForwardFixture.PLAIN, engine);
			String both = "POST /many/x HTTP/1.1\r\nHost: a.example\r\nid: r1\r\nContent-Length: 5\r\n"
					+ "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /many/y HTTP/1.1\r\nHost: a.example\r\nid: r2\r\n\r\n";
			assertThat(this.fixture.exchange(both)).startsWith("HTTP/1.1 400");
			String large = "GET /many/x HTTP/1.1\r\nHost: a.example\r\nid: r3\r\nx: " + "y".repeat(20_000) + "\r\n\r\n";
			assertThat(this.fixture.exchange(large)).startsWith("HTTP/1.1 431");
			String huge = "POST /many/x HTTP/1.1\r\nHost: a.example\r\nid: r4\r\nContent-Length: 99999999\r\n\r\n";
			assertThat(this.fixture.exchange(huge)).startsWith("HTTP/1.1 413");
			assertThat(engine.received()).isEmpty();
		}
	}

	// Guards against requests to a backend server that leaves.
	@Test
	void sendsNothingToALeavingServer() throws Exception {
		this.fixture.configured();
		try (RawEngine leaving = new RawEngine((request, connection) -> connection.answer(request, 200, SIGNED, "a"));
				RawEngine staying = new RawEngine(
						(request, connection) -> connection.answer(request, 200, SIGNED, "b"))) {
			this.fixture.add("s1", ForwardFixture.PLAIN, leaving);
			this.fixture.add("s2", ForwardFixture.PLAIN, staying);
			this.fixture.put("s1", ForwardFixture.PLAIN, leaving, true);
			for (int i = 0; i < 10; i++) {
				assertThat(this.fixture.exchange(ForwardFixture.get("/many/x", "r" + i))).endsWith("b");
			}
			assertThat(leaving.received()).isEmpty();
		}
	}

	// Guards against answers out of order and requests lost on a kept connection.
	@Test
	void answersPipelinedRequestsInOrder() throws Exception {
		this.fixture.configured();
		try (RawEngine engine = new RawEngine(
				(request, connection) -> connection.answer(request, 200, SIGNED, "for-" + request.header("id", "")));
				ForwardFixture.Caller caller = this.fixture.caller()) {
			this.fixture.add("s1", ForwardFixture.PLAIN, engine);
			String first = ForwardFixture.get("/many/x", "r1").replace("Connection: close\r\n", "");
			caller.send(first + ForwardFixture.get("/many/x", "r2"));
			assertThat(caller.readAll()).containsSubsequence("for-r1", "for-r2");
			assertThat(this.fixture.activeCount()).isZero();
		}
	}

}
