package org.celeryhill.forward;

import java.io.IOException;
import java.util.stream.IntStream;

import org.celeryhill.base.KnownRedCondition;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.ExtendWith;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link Forwarder} with repeated responses whose bytes reach beyond a head:
 * within bodies, within streams, and after requests whose callers have left.
 */
@Timeout(60)
@ExtendWith(KnownRedCondition.class)
class RepeatedResponseBoundaryTests {

	private static final String BODY = "the whole body";

	private static final String FIRST_EVENTS = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

	private ForwardFixture fixture;

	@BeforeEach
	void start() throws Exception {
		this.fixture = new ForwardFixture();
		this.fixture.configure();
	}

	@AfterEach
	void stop() throws Exception {
		this.fixture.close();
	}

	private static String success(String id) {
		return "HTTP/1.1 200 OK\r\nsigned: s\r\nid: " + id + "\r\ncontent-length: " + BODY.length() + "\r\n\r\n" + BODY;
	}

	private static String chunkedSuccess(String id) {
		return "HTTP/1.1 200 OK\r\nsigned: s\r\nid: " + id + "\r\ntransfer-encoding: chunked\r\n\r\n"
				+ Integer.toHexString(BODY.length()) + "\r\n" + BODY + "\r\n0\r\n\r\n";
	}

	private static String failure(String id) {
		return "HTTP/1.1 500 Failed\r\nsigned: f\r\nid: " + id + "\r\ncontent-length: 0\r\n\r\n";
	}

	private static boolean isWholeSuccess(String response) {
		return response.startsWith("HTTP/1.1 200") && response.endsWith("\r\n\r\n" + BODY);
	}

	static IntStream lineEnds() {
		String text = success("first");
		return IntStream.rangeClosed(1, text.indexOf("\r\n\r\n") + 2)
			.filter((length) -> text.startsWith("\r\n", length - 2));
	}

	// Guards against a request that is sent on a connection with the first lines of a
	// copy: whole lines leave no bytes in the decoder, but it is within a head.
	@ParameterizedTest
	@MethodSource("lineEnds")
	void copyThatBreaksOffAtEndOfLineEndsIdleConnection(int length) throws Exception {
		try (ScriptedServer server = new ScriptedServer((request, connection) -> {
			String id = request.header("id", "");
			String copy = id.equals("first") ? success(id).substring(0, length) : "";
			connection.send((id.equals("first") ? success(id) : failure(id)) + copy);
		})) {
			this.fixture.addServer("s1", ForwardFixture.PLAIN_SERVICE, server);
			assertThat(call("/once/x", "first")).endsWith(BODY);
			Thread.sleep(60);
			assertThat(call("/once/x", "second")).startsWith("HTTP/1.1 500");
			assertThat(server.connectionCount()).isEqualTo(2);
		}
	}

	// Guards against a body that breaks off and is filled up with the head of the second
	// copy of its response: it would reach the caller as a whole success.
	@ParameterizedTest
	@ValueSource(longs = { 0, 10 })
	void bodyIsNotFilledUpWithCopyOfItsResponse(long delayMillis) throws Exception {
		for (boolean isChunked : new boolean[] { true, false }) {
			String id = "chunked-" + isChunked;
			try (ScriptedServer server = new ScriptedServer((request, connection) -> {
				String text = isChunked ? chunkedSuccess(id) : success(id);
				String part = text.substring(0, text.indexOf(BODY) + 4);
				if (delayMillis == 0) {
					connection.send(part + text);
					return;
				}
				connection.send(part);
				pause(delayMillis);
				connection.send(text);
			})) {
				this.fixture.addServer("s-" + isChunked, ForwardFixture.PLAIN_SERVICE, server);
				String response = call("/once/x", id);
				this.fixture.removeServer("s-" + isChunked);
				assertThat(isWholeSuccess(response) || !response.startsWith("HTTP/1.1 200"))
					.as("chunked %s: %s", isChunked, response)
					.isTrue();
			}
		}
	}

	// Guards against the same for a response that ends with its connection: its body
	// would be followed by the head and the body of the copy.
	@Test
	void bodyWithoutLengthIsNotFollowedByCopyOfItsResponse() throws Exception {
		try (ScriptedServer server = new ScriptedServer((request, connection) -> {
			String text = "HTTP/1.1 200 OK\r\nsigned: s\r\nid: " + request.header("id", "") + "\r\n\r\n" + BODY;
			connection.send(text);
			pause(10);
			connection.send(text);
			connection.endOutput();
		})) {
			this.fixture.addServer("s1", ForwardFixture.PLAIN_SERVICE, server);
			assertThat(call("/once/x", "first")).doesNotContain(BODY + "HTTP/1.1 200");
		}
	}

	// Guards against events that the caller gets twice, and against a head that it gets
	// as an event, where an engine repeats a response that ends with its connection.
	@ParameterizedTest
	@CsvSource({ "/stream/x, 0", "/stream/x, 10", "/resumable/x, 10" })
	void eventsOfRepeatedStreamAreNotPassedOnTwice(String path, long delayMillis) throws Exception {
		try (ScriptedServer server = new ScriptedServer((request, connection) -> {
			String text = "HTTP/1.1 200 OK\r\nsigned: s\r\nid: " + request.header("id", "") + "\r\n\r\n" + FIRST_EVENTS;
			if (request.header("after", "").isEmpty()) {
				connection.send(text);
				pause(delayMillis);
				connection.send(text);
			}
			connection.endOutput();
		})) {
			this.fixture.addServer("s1", ForwardFixture.ENGINE_SERVICE, server);
			String response = this.fixture.sendAndReadAll(ForwardFixture.generateRequest(path, "stream-1"));
			assertThat(response).containsOnlyOnce("data: a").containsOnlyOnce("HTTP/1.1 200");
		}
	}

	// Guards against a request that is sent while the one before still runs: its caller
	// has left, and the response to an earlier request is taken for its end.
	@Test
	void copyDoesNotEndRequestWhoseCallerHasLeft() throws Exception {
		try (ScriptedServer server = new ScriptedServer((request, connection) -> {
			String id = request.header("id", "");
			if (id.equals("left")) {
				pause(100);
				connection.send(success("first"));
				pause(300);
			}
			connection.send(success(id));
		})) {
			this.fixture.addServer("s1", ForwardFixture.PLAIN_SERVICE, server);
			assertThat(call("/once/x", "first")).endsWith(BODY);
			try (ForwardFixture.RawCaller caller = this.fixture.connect()) {
				caller.send(ForwardFixture.postRequest("/once/x", "left", "b"));
				Thread.sleep(50);
			}
			Thread.sleep(150);
			assertThat(call("/once/x", "next")).startsWith("HTTP/1.1 200").endsWith(BODY);
		}
	}

	// Guards against a server that is left without requests because it repeats an earlier
	// refusal: what a response to another request says of its server is out of date.
	@Test
	void copyOfRefusalDoesNotPauseServerAgain() throws Exception {
		try (ScriptedServer server = new ScriptedServer((request, connection) -> {
			String id = request.header("id", "");
			String refusal = "HTTP/1.1 503 Full\r\nnot-run: 1\r\npause: 300\r\nid: first\r\ncontent-length: 0\r\n\r\n";
			if (id.equals("first")) {
				connection.send(refusal);
			}
			else {
				connection.send((id.equals("second") && connection.isReused()) ? refusal : success(id));
			}
		})) {
			this.fixture.addServer("s1", ForwardFixture.PLAIN_SERVICE, server);
			call("/once/x", "first");
			Thread.sleep(600);
			call("/once/x", "second");
			long start = System.nanoTime();
			assertThat(call("/once/x", "third")).startsWith("HTTP/1.1 200");
			assertThat((System.nanoTime() - start) / 1_000_000).as("ms until served").isLessThan(200);
		}
	}

	// Guards against connections that are given up without need: a response without body
	// has no length, and its end is still known.
	@ParameterizedTest
	@CsvSource({ "204 No Content, POST", "304 Not Modified, POST", "200 OK, HEAD" })
	void responseWithoutBodyKeepsConnection(String status, String method) throws Exception {
		try (ScriptedServer server = new ScriptedServer((request, connection) -> connection
			.send("HTTP/1.1 " + status + "\r\nsigned: s\r\nid: " + request.header("id", "") + "\r\n\r\n"))) {
			this.fixture.addServer("s1", ForwardFixture.PLAIN_SERVICE, server);
			for (int i = 0; i < 5; i++) {
				String request = ForwardFixture.postRequest("/once/x", "r" + i, "").replaceFirst("POST", method);
				assertThat(this.fixture.sendAndReadAll(request)).startsWith("HTTP/1.1 " + status.substring(0, 3));
			}
			assertThat(server.connectionCount()).isEqualTo(1);
		}
	}

	// Guards against a success in place of a failure with copies of other forms than
	// those of RepeatedResponseTests: without length, chunked, without body, interim.
	// They break off anywhere, also within their bodies.
	@ParameterizedTest
	@ValueSource(strings = { "length", "chunked", "none", "empty", "interim" })
	void partOfCopyBeforeFailureDoesNotMakeItSuccess(String form) throws Exception {
		try (ScriptedServer server = new ScriptedServer((request, connection) -> {
			String id = request.header("id", "");
			if (id.startsWith("first")) {
				connection.send(success(id));
				return;
			}
			int length = Integer.parseInt(id.substring("second".length()));
			connection.send(copy(form, "first" + length).substring(0, length) + failure(id));
		})) {
			this.fixture.addServer("s1", ForwardFixture.PLAIN_SERVICE, server);
			for (int length = 1; length <= copy(form, "first100").length() - 2; length++) {
				assertThat(call("/once/x", "first" + length)).as("before %d bytes", length).endsWith(BODY);
				assertThat(call("/once/x", "second" + length)).as("copy of %d bytes", length)
					.startsWith("HTTP/1.1 50")
					.doesNotContain("HTTP/1.1 200");
			}
		}
	}

	private static String copy(String form, String id) {
		String head = "\r\nsigned: s\r\nid: " + id + "\r\n\r\n";
		return switch (form) {
			case "length" -> success(id);
			case "chunked" -> chunkedSuccess(id);
			case "none" -> "HTTP/1.1 200 OK" + head + BODY;
			case "empty" -> "HTTP/1.1 204 No Content" + head;
			default -> "HTTP/1.1 103 Early Hints" + head + success(id);
		};
	}

	private String call(String path, String id) throws IOException {
		return this.fixture.sendAndReadAll(ForwardFixture.postRequest(path, id, "b"));
	}

	private static void pause(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

}
