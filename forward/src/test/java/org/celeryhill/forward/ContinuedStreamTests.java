package org.celeryhill.forward;

import java.io.IOException;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Tests of {@link Forwarder} with streams that break after their first events and that
 * the next engine does not continue.
 */
@Timeout(20)
class ContinuedStreamTests {

	private static final String ERROR_TEXT = "engine-error-text";

	private static final String LAST_CHUNK = "0\r\n\r\n";

	private ForwardFixture fixture;

	@BeforeEach
	void start() throws Exception {
		this.fixture = new ForwardFixture().configure();
	}

	@AfterEach
	void stop() throws Exception {
		this.fixture.close();
	}

	private static String eventText(int id) {
		return "id: " + id + "\ndata: t" + id + "\n\n";
	}

	// Sends two events and breaks; a request that continues the stream gets the second
	// script.
	private static ScriptedServer.Script breakThen(ScriptedServer.Script second) {
		return (request, connection) -> {
			if (!request.header("after", "").isEmpty()) {
				second.handle(request, connection);
				return;
			}
			connection.startStream(request);
			connection.sendChunk(eventText(1) + eventText(2));
			pause();
			connection.reset();
		};
	}

	private static void pause() {
		try {
			Thread.sleep(50);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private String sendTo(ScriptedServer.Script script, boolean isConnectionKept) throws Exception {
		try (ScriptedServer first = new ScriptedServer(script); ScriptedServer second = new ScriptedServer(script)) {
			this.fixture.addServer("e1", ForwardFixture.ENGINE_SERVICE, first);
			this.fixture.addServer("e2", ForwardFixture.ENGINE_SERVICE, second);
			String request = ForwardFixture.generateRequest("/resumable/x", "r1");
			if (isConnectionKept) {
				request = request.replace("Connection: close\r\n", "");
			}
			return this.fixture.sendAndReadAll(request);
		}
	}

	private static ScriptedServer.Script error(int status, String headers) {
		return (request, connection) -> connection.respond(request, status, headers, ERROR_TEXT);
	}

	private static void assertBrokenOff(String response) {
		assertThat(response).containsOnlyOnce("HTTP/1.1")
			.contains("data: t2")
			.doesNotContain(ERROR_TEXT)
			.doesNotEndWith(LAST_CHUNK);
	}

	// Guards against the text or the head of an engine's error in the middle of a stream,
	// against a stream that ends as if it were complete, and against one that stays open.
	@ParameterizedTest
	@ValueSource(ints = { 400, 404, 429, 500, 503, 504 })
	void errorOfNextEngineBreaksStreamOff(int status) throws Exception {
		assertBrokenOff(sendTo(breakThen(error(status, "signed: s\r\n")), false));
		assertBrokenOff(sendTo(breakThen(error(status, "signed: s\r\n")), true));
	}

	// Guards against a broken stream that looks complete to a caller of HTTP/1.0, which
	// takes the regular end of the connection for that of the stream.
	@Test
	void brokenStreamOfCallerWithoutChunksIsReset() throws Exception {
		String request = ForwardFixture.generateRequest("/stream/x", "r1").replace("HTTP/1.1", "HTTP/1.0");
		try (ScriptedServer engine = new ScriptedServer(breakThen(error(500, "")));
				ForwardFixture.RawCaller caller = this.fixture.connect()) {
			this.fixture.addServer("e1", ForwardFixture.ENGINE_SERVICE, engine);
			caller.send(request);
			assertThat(caller.readUntil("data: t2\n\n")).startsWith("HTTP/1.1 200").doesNotContain("chunked");
			assertThatThrownBy(caller::readAll).hasMessage("Connection reset");
		}
	}

	// Guards against the same for errors without the signature of an engine.
	@ParameterizedTest
	@ValueSource(ints = { 302, 500, 502 })
	void unsignedErrorOfNextEngineBreaksStreamOff(int status) throws Exception {
		assertBrokenOff(sendTo(breakThen(error(status, "")), true));
	}

	// Guards against the body of a successful response without signature in the middle of
	// a stream.
	@Test
	void unsignedSuccessOfNextEngineBreaksStreamOff() throws Exception {
		assertBrokenOff(sendTo(breakThen(error(200, "")), true));
	}

	// Guards against a stream that ends as if it were complete because the next engine
	// closed the connection after the head of its response, without any event.
	@ParameterizedTest
	@ValueSource(strings = { "", "transfer-encoding: chunked\r\n" })
	void headWithoutEventsBreaksStreamOff(String framing) throws Exception {
		assertBrokenOff(sendTo(breakThen((request, connection) -> {
			connection
				.send("HTTP/1.1 200 OK\r\nid: " + request.header("id", "") + "\r\nsigned: s\r\n" + framing + "\r\n");
			throw new IOException("closes the connection");
		}), true));
	}

	// Guards against a response that is taken for whole although its head broke off, on
	// the first attempt and on one that continues a stream.
	@ParameterizedTest
	@ValueSource(strings = { "HTT", "HTTP/1.1 200", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nid: r1\r\nsig",
			"HTTP/1.1 200 OK\r\nid: r1\r\nsigned: s\r\n", "HTTP/1.1 200 OK\r\nid: r1\r\nsigned: s\r\n\r",
			"HTTP/1.1 200 OK\r\nid: r1\r\nsigned: s\r\ncontent-length: 1" })
	void headThatBreaksOffIsNoResponse(String head) throws Exception {
		ScriptedServer.Script brokenHead = (request, connection) -> {
			connection.send(head);
			throw new IOException("closes the connection");
		};
		assertBrokenOff(sendTo(breakThen(brokenHead), true));
		assertThat(sendTo(brokenHead, false)).startsWith("HTTP/1.1 502").containsOnlyOnce("HTTP/1.1");
	}

	// Guards against the same on a connection that has carried a response before, and for
	// whole responses in place of streams.
	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 200", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nid: r2\r\nsigned: s\r\n" })
	void headThatBreaksOffOnKeptConnectionIsNoResponse(String head) throws Exception {
		ScriptedServer.Script script = (request, connection) -> {
			if (request.header("id", "").equals("r1")) {
				connection.respond(request, 200, "signed: s\r\n", "ok");
				return;
			}
			connection.send(head);
			throw new IOException("closes the connection");
		};
		try (ScriptedServer server = new ScriptedServer(script)) {
			this.fixture.addServer("p1", ForwardFixture.PLAIN_SERVICE, server);
			assertThat(this.fixture.sendAndReadAll(ForwardFixture.getRequest("/once/x", "r1"))).contains("200");
			assertThat(this.fixture.sendAndReadAll(ForwardFixture.getRequest("/once/x", "r2")))
				.startsWith("HTTP/1.1 502");
			assertThat(server.connectionCount()).isEqualTo(1);
		}
	}

}
