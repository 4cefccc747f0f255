package org.celeryhill.forward;

import java.io.IOException;
import java.time.Duration;
import java.util.List;

import org.celeryhill.base.KnownRedCondition;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.ExtendWith;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link Forwarder} with servers that send a response twice, the second time
 * late or in part.
 */
@Timeout(60)
@ExtendWith(KnownRedCondition.class)
class RepeatedResponseTests {

	private static final String BODY = "whole";

	/** Well before the deadline of the requests, 5 s. */
	private static final Duration MAX_WAIT = Duration.ofSeconds(2);

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
		return "HTTP/1.1 200 OK\r\nsigned: s\r\ncontent-type: text/plain\r\nid: " + id + "\r\ncontent-length: "
				+ BODY.length() + "\r\n\r\n" + BODY;
	}

	private static String failure(int status, String id) {
		String execution = (status == 503) ? "not-run: 1" : "signed: f";
		return "HTTP/1.1 " + status + " Failed\r\n" + execution + "\r\nid: " + id + "\r\ncontent-length: 0\r\n\r\n";
	}

	private String call(String path, String id) throws IOException {
		return this.fixture.sendAndReadAll(ForwardFixture.postRequest(path, id, "b"));
	}

	// Guards against a success in place of a failure: the copy of an earlier success that
	// breaks off within its head, when the next request has been read, is decoded as one
	// head with the response that follows it.
	@ParameterizedTest
	@ValueSource(ints = { 500, 504, 404, 503 })
	void copyThatBreaksOffBeforeFailureDoesNotMakeItSuccess(int status) throws Exception {
		try (ScriptedServer server = new ScriptedServer((request, connection) -> {
			String id = request.header("id", "");
			if (id.startsWith("first")) {
				connection.send(success(id));
				return;
			}
			int length = Integer.parseInt(id.substring("second".length()));
			connection.send(success("first" + length).substring(0, length) + failure(status, id));
		})) {
			this.fixture.addServer("s1", ForwardFixture.PLAIN_SERVICE, server);
			int headLength = success("first100").indexOf("\r\n\r\n");
			for (int length = 1; length < headLength; length++) {
				assertThat(call("/once/x", "first" + length)).startsWith("HTTP/1.1 200").endsWith(BODY);
				String response = call("/once/x", "second" + length);
				assertThat(response).as("copy of %d bytes", length).startsWith("HTTP/1.1 502");
			}
		}
	}

	// Guards against the same if the copy arrives while the connection is idle, after the
	// response or together with it. The next request goes out on another connection.
	@ParameterizedTest
	@CsvSource({ "10, /many/x", "10, /once/x", "0, /many/x", "0, /once/x" })
	void copyThatBreaksOffOnIdleConnectionEndsIt(long delayMillis, String path) throws Exception {
		int length = "HTTP/1.1 200 OK".length();
		try (ScriptedServer server = new ScriptedServer((request, connection) -> {
			String id = request.header("id", "");
			if (id.equals("second")) {
				connection.send(failure(500, id));
				return;
			}
			String copy = success(id).substring(0, length);
			if (delayMillis == 0) {
				connection.send(success(id) + copy);
				return;
			}
			connection.send(success(id));
			pause(delayMillis);
			connection.send(copy);
		})) {
			this.fixture.addServer("s1", ForwardFixture.PLAIN_SERVICE, server);
			assertThat(call(path, "first")).endsWith(BODY);
			Thread.sleep(60);
			assertThat(call(path, "second")).startsWith("HTTP/1.1 500");
			assertThat(server.connectionCount()).isEqualTo(2);
		}
	}

	// Guards against a response that is attributed to a second send of the same request:
	// the id is that of the caller's request and does not name the send. The copy of the
	// first response, a success, would be taken for the response to the second.
	@ParameterizedTest
	@CsvSource({ "200, 500, /many/x", "200, 504, /once/x", "500, 200, /many/x", "503, 200, /once/x" })
	void copyIsNotTakenForResponseToSecondSendOfSameRequest(int first, int second, String path) throws Exception {
		List<Integer> statuses = List.of(first, second);
		int[] sends = new int[1];
		try (ScriptedServer server = new ScriptedServer((request, connection) -> {
			String id = request.header("id", "");
			String copy = (sends[0] == 1 && connection.isReused()) ? response(first, id) : "";
			int status = statuses.get(Math.min(sends[0], 1));
			sends[0]++;
			connection.send(copy + response(status, id));
		})) {
			this.fixture.addServer("s1", ForwardFixture.PLAIN_SERVICE, server);
			assertThat(call(path, "same")).startsWith("HTTP/1.1 " + first);
			assertThat(call(path, "same")).startsWith("HTTP/1.1 " + second);
		}
	}

	private static String response(int status, String id) {
		return (status == 200) ? success(id) : failure(status, id);
	}

	// Guards against a request that fails, or that runs at another server once more,
	// because the server sends the response to an earlier request before its own.
	@ParameterizedTest
	@CsvSource({ "200, /many/x", "500, /many/x", "503, /many/x", "200, /once/x", "500, /once/x", "503, /once/x" })
	void wholeCopyBeforeResponseIsSkipped(int copied, String path) throws Exception {
		try (ScriptedServer server = new ScriptedServer((request, connection) -> {
			String id = request.header("id", "");
			connection.send(id.equals("second") ? response(copied, "first") + success(id) : response(copied, id));
		})) {
			this.fixture.addServer("s1", ForwardFixture.PLAIN_SERVICE, server);
			assertThat(call(path, "first")).startsWith("HTTP/1.1 " + copied);
			assertThat(call(path, "second")).startsWith("HTTP/1.1 200").contains("id: second").endsWith(BODY);
			assertThat(server.receivedRequests()).hasSize(2);
		}
	}

	// Guards against the same with streams, and against events of the copy in the stream.
	@ParameterizedTest
	@ValueSource(strings = { "/stream/x", "/resumable/x" })
	void wholeCopyOfStreamIsSkipped(String path) throws Exception {
		try (ScriptedServer server = new ScriptedServer((request, connection) -> {
			String id = request.header("id", "");
			connection.send(id.equals("second") ? stream("first") + stream(id) : stream(id));
		})) {
			this.fixture.addServer("e1", ForwardFixture.ENGINE_SERVICE, server);
			assertThat(this.fixture.sendAndReadAll(ForwardFixture.generateRequest(path, "first")))
				.contains("data: for first")
				.endsWith("0\r\n\r\n");
			assertThat(this.fixture.sendAndReadAll(ForwardFixture.generateRequest(path, "second")))
				.contains("data: for second")
				.doesNotContain("for first")
				.endsWith("0\r\n\r\n");
			assertThat(server.receivedRequests()).hasSize(2);
		}
	}

	private static String stream(String id) {
		String event = "id: 1\ndata: for " + id + "\n\n";
		return "HTTP/1.1 200 OK\r\nid: " + id + "\r\nsigned: s\r\ntransfer-encoding: chunked\r\n\r\n"
				+ Integer.toHexString(event.length()) + "\r\n" + event + "\r\n0\r\n\r\n";
	}

	// Guards against a request that waits until its deadline, because a copy that breaks
	// off in its body takes up the response behind it.
	@Test
	void copyThatBreaksOffInItsBodyEndsTheExchangeAtOnce() throws Exception {
		try (ScriptedServer server = new ScriptedServer((request, connection) -> {
			String id = request.header("id", "");
			String copy = success("first").replace("content-length: 5", "content-length: 5000");
			connection.send(id.equals("second") ? copy + success(id) : success(id));
		})) {
			this.fixture.addServer("s1", ForwardFixture.PLAIN_SERVICE, server);
			assertThat(call("/once/x", "first")).endsWith(BODY);
			long start = System.nanoTime();
			assertThat(call("/once/x", "second")).startsWith("HTTP/1.1 502");
			assertThat(Duration.ofNanos(System.nanoTime() - start)).isLessThan(MAX_WAIT);
		}
	}

	// Guards against connections that are given up without need: a server that answers
	// each request once keeps its connection.
	@Test
	void soundServerKeepsItsConnection() throws Exception {
		try (ScriptedServer server = new ScriptedServer((request, connection) -> {
			int number = Integer.parseInt(request.header("id", ""));
			connection.send(response((number % 5 == 1) ? 500 : 200, request.header("id", "")));
		})) {
			this.fixture.addServer("s1", ForwardFixture.PLAIN_SERVICE, server);
			for (int i = 0; i < 40; i++) {
				assertThat(call("/many/x", String.valueOf(i))).startsWith("HTTP/1.1 " + ((i % 5 == 1) ? 500 : 200));
			}
			assertThat(server.connectionCount()).isEqualTo(1);
		}
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
