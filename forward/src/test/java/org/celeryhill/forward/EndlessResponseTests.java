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
 * Tests of backend servers that send bytes until the connection is closed.
 */
@Timeout(60)
class EndlessResponseTests {

	private static final String CHUNK = "2000\r\n" + "x".repeat(0x2000) + "\r\n";

	/** Timeout of the routes; a response must be given up long before. */
	private static final Duration ROUTE_TIMEOUT = Duration.ofSeconds(30);

	private static final long MAX_MILLIS = 7000;

	/** Less than half of the heap of an edge daemon, which is 160 MB. */
	private static final long MAX_BYTES = 64 << 20;

	private ForwardFixture fixture;

	@BeforeEach
	void start() throws Exception {
		this.fixture = new ForwardFixture();
		this.fixture.configure(ROUTE_TIMEOUT);
	}

	@AfterEach
	void stop() throws Exception {
		this.fixture.close();
	}

	// Guards against a process that runs out of memory on a body without end.
	@Test
	void givesUpOnEndlessChunkedBody() throws Exception {
		assertGivenUp("signed: s\r\ntransfer-encoding: chunked\r\n\r\n", CHUNK);
	}

	// Guards against a process that runs out of memory on a body that ends with the
	// connection, but never does.
	@Test
	void givesUpOnEndlessBodyWithoutLength() throws Exception {
		assertGivenUp("signed: s\r\n\r\n", "x".repeat(0x2000));
	}

	// Guards against a length that no body can have.
	@Test
	void givesUpOnExcessiveContentLength() throws Exception {
		assertGivenUp("signed: s\r\ncontent-length: 1000000000000\r\n\r\n", "x".repeat(0x2000));
	}

	// Guards against a head without end that keeps the connection and a caller waiting.
	@Test
	void givesUpOnEndlessHead() throws Exception {
		assertGivenUp("signed: s\r\n", "x-more: 1\r\n");
		assertGivenUp("x-more: ", "x".repeat(0x2000));
	}

	// Guards against interim responses without end that keep a caller waiting.
	@Test
	void givesUpOnEndlessInterimResponses() throws Exception {
		try (ScriptedServer server = new ScriptedServer(
				(request, connection) -> connection.sendUntilClosed("HTTP/1.1 100 Continue\r\n\r\n", MAX_BYTES))) {
			assertGivenUp(server);
		}
	}

	// Guards against trailers without end after a whole body.
	@Test
	void givesUpOnEndlessTrailers() throws Exception {
		assertGivenUp("signed: s\r\ntransfer-encoding: chunked\r\n\r\n0\r\n", "x-more: 1\r\n");
	}

	// Guards against bytes without end that are no response, or that stand where a
	// response has a single line.
	@ParameterizedTest
	@ValueSource(strings = { "", "HTTP/1.1 ", "HTTP/1.1 200 ", "HTTP/1.1 200 OK\r\n",
			"HTTP/1.1 200 OK\r\nsigned: s\r\ntransfer-encoding: chunked\r\n\r\n",
			"HTTP/1.1 200 OK\r\nsigned: s\r\ntransfer-encoding: chunked\r\n\r\n5;",
			"HTTP/1.1 200 OK\r\nsigned: s\r\ntransfer-encoding: chunked\r\n\r\n1\r\nx",
			"HTTP/1.1 200 OK\r\nsigned: s\r\ntransfer-encoding: chunked\r\n\r\n0\r\n" })
	void givesUpOnEndlessLine(String start) throws Exception {
		try (ScriptedServer server = new ScriptedServer((request, connection) -> {
			connection.send(start.replace("signed:", "id: " + request.header("id", "") + "\r\nsigned:"));
			connection.sendUntilClosed("0".repeat(0x2000), MAX_BYTES);
		})) {
			assertGivenUp(server);
		}
	}

	// Guards against bytes without end after a complete response: the caller gets the
	// response, and the connection is closed.
	@Test
	void closesConnectionWithBytesAfterResponse() throws Exception {
		try (ScriptedServer server = new ScriptedServer((request, connection) -> {
			connection.respond(request, 200, "signed: s\r\n", "whole");
			connection.sendUntilClosed("x".repeat(0x2000), MAX_BYTES);
		})) {
			this.fixture.addServer("s1", ForwardFixture.PLAIN_SERVICE, server);
			assertThat(this.fixture.sendAndReadAll(ForwardFixture.postRequest("/once/x", "r1", "b")))
				.startsWith("HTTP/1.1 200")
				.endsWith("whole");
			assertThat(server.pollCloseEvent(MAX_MILLIS)).isEqualTo("closed");
		}
	}

	// Guards against one event of a stream without end.
	@Test
	void givesUpOnEndlessEvent() throws Exception {
		try (ScriptedServer server = new ScriptedServer((request, connection) -> {
			connection.startStream(request);
			connection.sendUntilClosed(CHUNK, MAX_BYTES);
		})) {
			this.fixture.addServer("s1", ForwardFixture.ENGINE_SERVICE, server);
			this.fixture.sendAndReadAll(ForwardFixture.generateRequest("/stream/x", "r1"));
			assertThat(server.pollCloseEvent(MAX_MILLIS)).isEqualTo("closed");
		}
	}

	private void assertGivenUp(String head, String repeated) throws Exception {
		try (ScriptedServer server = new ScriptedServer((request, connection) -> {
			connection.send("HTTP/1.1 200 OK\r\nid: " + request.header("id", "") + "\r\n" + head);
			connection.sendUntilClosed(repeated, MAX_BYTES);
		})) {
			assertGivenUp(server);
		}
	}

	private void assertGivenUp(ScriptedServer server) throws Exception {
		this.fixture.addServer("s1", ForwardFixture.PLAIN_SERVICE, server);
		assertThat(this.fixture.sendAndReadAll(ForwardFixture.postRequest("/once/x", "r1", "b")))
			.startsWith("HTTP/1.1 502");
		assertThat(server.pollCloseEvent(MAX_MILLIS)).isEqualTo("closed");
		// Another connection without a request may follow, which checks that the server
		// still listens.
		assertThat(server.receivedRequests()).hasSize(1);
	}

}
