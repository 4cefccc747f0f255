package org.celeryhill.forward;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import java.util.stream.IntStream;
import java.util.stream.Stream;

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
 * Tests for {@link Forwarder} with servers that send heads that are not valid HTTP.
 */
@Timeout(60)
@ExtendWith(KnownRedCondition.class)
class MalformedResponseHeadTests {

	private static final String BODY = "whole";

	private static final String STATUS_LINE = "HTTP/1.1 200 OK\r\n";

	private static final String INVALID_STATUS_LINE = "HTTP/1.1 000 OK\r\n";

	private static final String HEADERS = "signed: s\r\nid: r1\r\ncontent-length: " + BODY.length() + "\r\n";

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

	static Stream<String> invalidStatusLines() {
		Stream<String> codes = IntStream.of(0, 1, 20, 99, 600, 999)
			.mapToObj((code) -> String.format("HTTP/1.1 %03d OK", code));
		Stream<String> others = Stream.of("HTTP/1.1 000", "HTTP/1.1 000 ", "HTTP/1.0 000 OK", "HTTP/1.1 20 OK",
				"HTTP/1.1 0200 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 +200 OK", "HTTP/1.1 -200 OK", "HTTP/1.1 2e2 OK",
				"HTTP/1.1  200 OK", "HTTP/1.1\t200 OK", "HTTP/1.1 200\tOK", " HTTP/1.1 200 OK", "\r\nHTTP/1.1 200 OK",
				"\u0001HTTP/1.1 200 OK", "HTTP/2.0 200 OK", "HTTP/1.10 200 OK", "http/1.1 200 OK", "ICY 200 OK",
				"HTTP/1.1 200 O\u0000K", "HTTP/1.1 200 O\u0001K", "HTTP/1.1 200 O\u007fK", "HTTP/1.1 200 O\rK",
				"HTTP/1.1 200 OK\r");
		return Stream.concat(codes, others);
	}

	// Guards against a status that no response has, such as 000, which reaches the caller
	// as an answer, and against a line that is taken for another one.
	@ParameterizedTest(name = "{index}")
	@MethodSource("invalidStatusLines")
	void responseWithInvalidStatusLineIsNotPassedOn(String line) throws Exception {
		assertThat(callServerThatSends(line + "\r\n" + HEADERS + "\r\n" + BODY)).startsWith("HTTP/1.1 502")
			.doesNotContain(BODY);
	}

	// Guards against a status of 000 behind a sound interim response.
	@Test
	void responseWithInvalidStatusLineBehindInterimResponseIsNotPassedOn() throws Exception {
		assertThat(callServerThatSends(
				"HTTP/1.1 103 Early Hints\r\nx: v\r\n\r\n" + INVALID_STATUS_LINE + HEADERS + "\r\n" + BODY))
			.startsWith("HTTP/1.1 502")
			.doesNotContain(BODY);
	}

	// Guards against a stream with a status of 000 that is taken for an answer, and
	// against one that is taken for the continuation of another stream.
	@ParameterizedTest
	@ValueSource(strings = { "", "1" })
	void streamWithInvalidStatusLineIsNotPassedOn(String lastEventId) throws Exception {
		try (ScriptedServer engine = new ScriptedServer((request, connection) -> {
			boolean isInvalid = request.header("after", "").equals(lastEventId);
			connection.send((isInvalid ? INVALID_STATUS_LINE : STATUS_LINE) + "signed: s\r\nid: "
					+ request.header("id", "") + "\r\ntransfer-encoding: chunked\r\n\r\n");
			connection.sendChunk(isInvalid ? "id: 2\ndata: odd\n\n" : "id: 1\ndata: a\n\n");
			if (isInvalid) {
				connection.endStream();
			}
			connection.endOutput();
		})) {
			this.fixture.addServer("s1", ForwardFixture.ENGINE_SERVICE, engine);
			String response = this.fixture.sendAndReadAll(ForwardFixture.generateRequest("/resumable/x", "r1"));
			assertThat(response).startsWith(lastEventId.isEmpty() ? "HTTP/1.1 502" : STATUS_LINE)
				.doesNotContain("odd")
				.doesNotEndWith("0\r\n\r\n");
		}
	}

	// Guards against a caller that gets a failure although another server could respond.
	@Test
	void idempotentRequestIsSentAgain() throws Exception {
		AtomicInteger sends = new AtomicInteger();
		ScriptedServer.Script script = (request, connection) -> connection
			.send(((sends.incrementAndGet() == 1) ? INVALID_STATUS_LINE : STATUS_LINE) + HEADERS + "\r\n" + BODY);
		try (ScriptedServer first = new ScriptedServer(script); ScriptedServer second = new ScriptedServer(script)) {
			this.fixture.addServer("s1", ForwardFixture.PLAIN_SERVICE, first);
			this.fixture.addServer("s2", ForwardFixture.PLAIN_SERVICE, second);
			assertThat(call("/many/x")).startsWith(STATUS_LINE).endsWith(BODY);
			assertThat(sends).hasValue(2);
		}
	}

	// Guards against another request on a connection whose bytes cannot be told apart.
	@Test
	void connectionIsClosedAfterInvalidStatusLine() throws Exception {
		try (ScriptedServer server = new ScriptedServer((request, connection) -> {
			connection.send(INVALID_STATUS_LINE + HEADERS + "\r\n" + BODY);
			connection.awaitClientClose();
		})) {
			this.fixture.addServer("s1", ForwardFixture.PLAIN_SERVICE, server);
			assertThat(call("/once/x")).startsWith("HTTP/1.1 502");
			assertThat(server.pollCloseEvent(1000)).isEqualTo("closed");
		}
	}

	// Guards against sound responses that are rejected, and against a head that is only
	// read when it arrives at once.
	@ParameterizedTest(name = "{index}")
	@ValueSource(strings = { "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 \r\n", "HTTP/1.1 200\r\n", "HTTP/1.0 200 OK\r\n",
			"HTTP/1.1 201 Cr\u00e9\u00e9\r\n", "HTTP/1.1 299 a\tb  c\r\n", "HTTP/1.1 404 Not Found\r\n",
			"HTTP/1.1 599 Odd\r\n" })
	void responseWithValidStatusLineIsPassedOn(String line) throws Exception {
		String response = line + HEADERS + "\r\n" + BODY;
		String expected = line.substring("HTTP/1.1 ".length(), "HTTP/1.1 200".length());
		assertThat(callServerThatSends(response)).startsWith("HTTP/1.1 " + expected).endsWith(BODY);
		assertThat(callServerThatSendsBytewise(response)).startsWith("HTTP/1.1 " + expected).endsWith(BODY);
	}

	// Guards against a success in place of an answer with an invalid status line: the
	// copy
	// of an earlier success that breaks off within its head takes it up.
	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 000 Odd", "HTTP/1.1 099 Odd", "HTTP/1.1 2000 Odd", "HTTP/2.0 500 Odd" })
	void partOfCopyBeforeInvalidStatusLineDoesNotMakeItSuccess(String line) throws Exception {
		String copy = STATUS_LINE + HEADERS + "\r\n" + BODY;
		for (int length = 1; length < (STATUS_LINE + HEADERS).length(); length++) {
			String part = copy.substring(0, length);
			assertThat(callServerThatSends(part + line + "\r\n" + HEADERS + "\r\n" + BODY)).as(part)
				.startsWith("HTTP/1.1 502");
		}
	}

	static Stream<String> invalidHeaderLines() {
		Stream<String> names = IntStream.concat(IntStream.rangeClosed(0, ' '), IntStream.of(0x7f, 0x85, 0xa0))
			.filter((character) -> character != '\n')
			.mapToObj((character) -> String.valueOf((char) character))
			.flatMap((character) -> Stream.of("x" + character + "y: v", "x" + character + ": v", character + "x: v",
					"content" + character + "length: 3"));
		Stream<String> values = IntStream.concat(IntStream.range(0, ' '), IntStream.of(0x7f))
			.filter((character) -> character != '\n' && character != '\t')
			.mapToObj((character) -> "x: v" + (char) character + "w");
		Stream<String> others = Stream.of(": v", "x", "x(y): v", "x/y: v", "\"x\": v", "content-length x: 3",
				"content-length : 3", "content-length\t: 3", " content-length: 3", "\tcontent-length: 3",
				"transfer-encoding x: chunked", " transfer-encoding: chunked", "connection x: close", "id x: r2");
		return Stream.of(names, values, others).flatMap(Function.identity());
	}

	// Guards against a line that reaches the caller as it is or under a shorter name, and
	// against a body whose end is found by it.
	@ParameterizedTest(name = "{index}")
	@MethodSource("invalidHeaderLines")
	void responseWithInvalidHeaderLineIsNotPassedOn(String line) throws Exception {
		String withoutLength = "signed: s\r\nid: r1\r\n";
		for (String head : List.of(line + "\r\n" + HEADERS, HEADERS + line + "\r\n", line + "\r\n" + withoutLength,
				withoutLength + line + "\r\n")) {
			assertThat(callServerThatSends(STATUS_LINE + head + "\r\n" + BODY)).as(head)
				.startsWith("HTTP/1.1 502")
				.doesNotContain("who");
		}
	}

	// Guards against a success without signature that is passed on, an id that is taken
	// for the request's, and a request that is sent again although it ran.
	@ParameterizedTest
	@CsvSource({ "200, id: r1, signed x: s", "200, signed: s, id x: r1", "503, id: r1, not-run x: 1",
			"503, id: r1, not-run : 1" })
	void invalidHeaderLineIsNotReadAsAnother(int status, String validLine, String invalidLine) throws Exception {
		AtomicInteger sends = new AtomicInteger();
		String response = callServer((request, connection) -> {
			sends.incrementAndGet();
			connection.send("HTTP/1.1 " + status + " Status\r\n" + validLine + "\r\n" + invalidLine
					+ "\r\ncontent-length: 5\r\n\r\n" + BODY);
		});
		assertThat(response).startsWith("HTTP/1.1 502").doesNotContain(BODY);
		assertThat(sends).hasValue(1);
	}

	// Guards against an interim response with such a line, whose end is not where the
	// decoder finds it.
	@Test
	void invalidHeaderLineOfInterimResponseEndsExchange() throws Exception {
		assertThat(callServerThatSends(
				"HTTP/1.1 103 Early Hints\r\nx y: v\r\n\r\n" + STATUS_LINE + HEADERS + "\r\n" + BODY))
			.startsWith("HTTP/1.1 502")
			.doesNotContain(BODY);
	}

	// Guards against sound headers that are rejected or changed.
	@ParameterizedTest(name = "{index}")
	@ValueSource(strings = { "X-Any: v", "x:v", "x:  v", "x: v w", "x: v\tw", "x: \u00e9\u00e8", "x: a:b", "x: ",
			"!#$%&'*+-.^_`|~09az: v", "x: \"quoted, (text)\"" })
	void responseWithValidHeaderLineIsPassedOn(String line) throws Exception {
		String name = line.substring(0, line.indexOf(':'));
		String value = line.substring(name.length() + 1).strip();
		String response = STATUS_LINE + line + "\r\n" + HEADERS + "\r\n" + BODY;
		String expected = "\r\n" + name + ": " + value + "\r\n";
		assertThat(callServerThatSends(response)).startsWith(STATUS_LINE).contains(expected).endsWith(BODY);
		assertThat(callServerThatSendsBytewise(response)).startsWith(STATUS_LINE).contains(expected).endsWith(BODY);
	}

	// Guards against a body in a coding that the caller does not learn of, as the header
	// that names it applies to one connection only.
	@ParameterizedTest
	@ValueSource(strings = { "gzip, chunked", "gzip,chunked", "chunked, chunked", "gzip\r\ntransfer-encoding: chunked",
			"chunked, gzip", "gzip", "chunkedx", "x, chunked;q=1", "chunked;q=1" })
	void responseWithUnknownTransferEncodingIsNotPassedOn(String value) throws Exception {
		String head = STATUS_LINE + "signed: s\r\nid: r1\r\ntransfer-encoding: " + value + "\r\n\r\n";
		assertThat(callServerThatSends(head + "5\r\n" + BODY + "\r\n0\r\n\r\n")).startsWith("HTTP/1.1 502");
		assertThat(callServerThatSends(head + BODY)).startsWith("HTTP/1.1 502");
	}

	// Guards against chunked responses that are rejected.
	@ParameterizedTest
	@ValueSource(strings = { "chunked", "Chunked", "chunked  " })
	void chunkedResponseIsPassedOn(String value) throws Exception {
		assertThat(callServerThatSends(STATUS_LINE + "signed: s\r\nid: r1\r\ntransfer-encoding: " + value
				+ "\r\n\r\n5\r\n" + BODY + "\r\n0\r\n\r\n"))
			.startsWith(STATUS_LINE)
			.endsWith("\r\n\r\n" + BODY);
	}

	// Guards against a success without signature: a header that Connection names is taken
	// for one of the connection and removed, after the check for the signature.
	@Test
	void signatureNamedByConnectionIsNotRemovedFromSuccess() throws Exception {
		String response = callServerThatSends(STATUS_LINE + "connection: signed, id\r\n" + HEADERS + "\r\n" + BODY);
		assertThat(response.startsWith("HTTP/1.1 502") || response.contains("\r\nsigned: s\r\n")).as(response).isTrue();
	}

	private String callServerThatSends(String response) throws Exception {
		return callServer((request, connection) -> {
			connection.send(response);
			connection.endOutput();
		});
	}

	private String callServerThatSendsBytewise(String response) throws Exception {
		return callServer((request, connection) -> {
			connection.socket().setTcpNoDelay(true);
			for (int i = 0; i < response.length(); i++) {
				connection.send(response.substring(i, i + 1));
				Thread.yield();
			}
			connection.endOutput();
		});
	}

	private String callServer(ScriptedServer.Script script) throws Exception {
		try (ScriptedServer server = new ScriptedServer(script)) {
			this.fixture.addServer("s1", ForwardFixture.PLAIN_SERVICE, server);
			String response = call("/once/x");
			this.fixture.removeServer("s1");
			return response;
		}
	}

	private String call(String path) throws IOException {
		return this.fixture.sendAndReadAll(ForwardFixture.postRequest(path, "r1", "b"));
	}

}
