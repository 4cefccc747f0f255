package org.celeryhill.http;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import okhttp3.OkHttpClient;
import org.celeryhill.base.AttemptId;
import org.celeryhill.base.BackendServerId;
import org.celeryhill.base.ModelId;
import org.celeryhill.base.PriorityClass;
import org.celeryhill.port.GenerateEvent;
import org.celeryhill.port.GenerateRequest;
import org.celeryhill.port.PlainService;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the HTTP clients with servers that send heads that are not valid HTTP.
 */
class MalformedResponseHeadTests {

	private static final OkHttpClient CLIENT = new OkHttpClient();

	private static final AttemptId ATTEMPT = AttemptId.of("a1");

	private static final String STATUS_LINE = "HTTP/1.1 200 OK\r\n";

	@AfterAll
	static void closeClient() {
		CLIENT.dispatcher().executorService().shutdown();
		CLIENT.connectionPool().evictAll();
	}

	static Stream<String> invalidStatusLines() {
		return Stream.of("HTTP/1.1 000 OK", "HTTP/1.1 000", "HTTP/1.0 000 OK", "HTTP/1.1 099 OK", "HTTP/1.1 600 Odd",
				"HTTP/1.1 999 Odd", "HTTP/1.1 0200 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 20 OK", "HTTP/1.1 +20 OK",
				"HTTP/1.1 -20 OK", "HTTP/1.1  200 OK", "HTTP/1.1\t200 OK", " HTTP/1.1 200 OK", "\u0001HTTP/1.1 200 OK",
				"HTTP/2.0 200 OK", "http/1.1 200 OK", "HTTP/1.1 200 O\u0000K", "HTTP/1.1 200 O\rK", "HTTP/1.1 101 Odd");
	}

	// Guards against a status that no response has, such as 000, which reaches the caller
	// as an answer.
	@ParameterizedTest(name = "{index}")
	@MethodSource("invalidStatusLines")
	void responseWithInvalidStatusLineIsUnknown(String line) throws IOException {
		assertThat(call(line + "\r\nContent-Length: 5\r\n\r\nwhole")).isInstanceOf(PlainService.CallUnknown.class);
	}

	// Guards against a stream with such a status, whose events are passed on.
	@ParameterizedTest(name = "{index}")
	@MethodSource("invalidStatusLines")
	void streamWithInvalidStatusLineIsBroken(String line) throws IOException {
		assertBroken(generateEvents(line + "\r\n\r\n"));
	}

	static Stream<String> invalidHeaderLines() {
		Stream<String> names = IntStream.concat(IntStream.rangeClosed(0, ' '), IntStream.of(0x7f))
			.filter((character) -> character != '\n')
			.mapToObj((character) -> String.valueOf((char) character))
			.flatMap((character) -> Stream.of("x" + character + "y: v", "x" + character + ": v", character + "x: v"));
		Stream<String> others = Stream.of(": v", "x", "x(y): v", "x: v\u0000w", "x: v\u0001w", "x: v\rw",
				"Content-Length x: 3", "Content-Length : 3", " Content-Length: 3", "Transfer-Encoding x: chunked",
				"Content-Encoding x: gzip", "X-Execution x: not_run");
		return Stream.concat(names, others);
	}

	// Guards against a line that reaches the caller as a header, and against a body whose
	// end is found by it.
	@ParameterizedTest(name = "{index}")
	@MethodSource("invalidHeaderLines")
	void responseWithInvalidHeaderLineIsUnknown(String line) throws IOException {
		assertThat(call(STATUS_LINE + line + "\r\nX-Any: v\r\n\r\nwhole")).isInstanceOf(PlainService.CallUnknown.class);
		assertThat(call(STATUS_LINE + "X-Any: v\r\n" + line + "\r\n\r\nwhole"))
			.isInstanceOf(PlainService.CallUnknown.class);
	}

	// Guards against a stream with such a line. Those that begin with a blank and
	// continue
	// a header are joined to it, see below.
	@ParameterizedTest(name = "{index}")
	@MethodSource("invalidHeaderLines")
	void streamWithInvalidHeaderLineIsBroken(String line) throws IOException {
		assertBroken(generateEvents(STATUS_LINE + line + "\r\nX-Any: v\r\n\r\n"));
		if (!line.startsWith(" ") && !line.startsWith("\t")) {
			assertBroken(generateEvents(STATUS_LINE + "X-Any: v\r\n" + line + "\r\n\r\n"));
		}
	}

	// Guards against a stream whose events or outcome depend on a line that begins with a
	// blank. Undertow joins it to the line before it, which RFC 9112, section 5.2, allows
	// where the head is not forwarded.
	@ParameterizedTest(name = "{index}")
	@ValueSource(strings = { " Content-Length: 3", "\tTransfer-Encoding: chunked", " Content-Encoding: gzip", " x: v" })
	void foldedHeaderLineDoesNotChangeStream(String line) throws IOException {
		String lines = "X-Any: v\r\n" + line + "\r\n\r\n";
		assertThat(generateEvents(STATUS_LINE + lines)).hasSize(2).last().isInstanceOf(GenerateEvent.End.class);
		assertBroken(generateEvents("HTTP/1.1 503 Full\r\n" + lines));
	}

	// Guards against a stream that counts as refused because of such a line.
	@ParameterizedTest
	@ValueSource(strings = { " X-Execution: not_run", "\tX-Execution: not_run", "X-Any: v\r\n X-Execution: not_run" })
	void foldedHeaderLineDoesNotMakeStreamRefused(String lines) throws IOException {
		assertBroken(generateEvents("HTTP/1.1 503 Full\r\n" + lines + "\r\n\r\n"));
	}

	// Guards against a body in a coding that its reader does not learn of.
	@ParameterizedTest
	@ValueSource(strings = { "gzip, chunked", "gzip", "chunked, chunked", "chunked\r\nTransfer-Encoding: gzip" })
	void unknownTransferEncodingIsRejected(String value) throws IOException {
		String head = STATUS_LINE + "Transfer-Encoding: " + value + "\r\n\r\n";
		assertThat(call(head + "5\r\nwhole\r\n0\r\n\r\n")).isInstanceOf(PlainService.CallUnknown.class);
		assertThat(call(head + "whole")).isInstanceOf(PlainService.CallUnknown.class);
		assertBroken(generateEvents(head));
	}

	// Guards against a body whose length one header gives and another one denies.
	@ParameterizedTest
	@ValueSource(strings = { "3\r\nContent-Length: 5", "5\r\nContent-Length: 3", "5, 5", "5x", "+5", "", "-1" })
	void invalidContentLengthIsRejected(String value) throws IOException {
		assertThat(call(STATUS_LINE + "Content-Length: " + value + "\r\n\r\nwhole"))
			.isInstanceOf(PlainService.CallUnknown.class);
	}

	// Guards against chunked responses that are rejected.
	@Test
	void chunkedResponseIsDelivered() throws IOException {
		assertThat(call(STATUS_LINE + "Transfer-Encoding: Chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"))
			.isInstanceOf(PlainService.CallCompleted.class);
	}

	// Guards against another request on a connection that has carried such a response.
	@Test
	void connectionIsClosedAfterInvalidStatusLine() throws Exception {
		CompletableFuture<Boolean> isRequestNext = new CompletableFuture<>();
		try (RawServer server = RawServer.start((connection) -> {
			connection.readRequest();
			connection.writeText("HTTP/1.1 000 OK\r\nContent-Length: 5\r\n\r\nwhole");
			isRequestNext.complete(readNextRequest(connection));
		})) {
			assertThat(call(server)).isInstanceOf(PlainService.CallUnknown.class);
			assertThat(isRequestNext.get(2, TimeUnit.SECONDS)).isFalse();
		}
	}

	// Returns false if the client ended or reset the connection.
	private static boolean readNextRequest(RawServer.Connection connection) {
		try {
			return connection.readRequest();
		}
		catch (IOException ex) {
			return false;
		}
	}

	// Guards against sound responses that are rejected.
	@ParameterizedTest(name = "{index}")
	@ValueSource(strings = { STATUS_LINE, "HTTP/1.1 200 \r\n", "HTTP/1.0 200 OK\r\n", STATUS_LINE + "x:v\r\n",
			STATUS_LINE + "x: v\tw\r\n", STATUS_LINE + "x: \r\n", STATUS_LINE + "!#$%&'*+-.^_`|~09aZ: v\r\n",
			STATUS_LINE + "x: \u00e9\r\n" })
	void responseWithValidHeadIsDelivered(String head) throws IOException {
		PlainService.CallResult result = call(head + "Content-Length: 5\r\n\r\nwhole");
		assertThat(result).isInstanceOfSatisfying(PlainService.CallCompleted.class,
				(completed) -> assertThat(new String(completed.body(), StandardCharsets.UTF_8)).isEqualTo("whole"));
		assertThat(generateEvents(head + "\r\n")).hasSize(2).last().isInstanceOf(GenerateEvent.End.class);
	}

	private static PlainService.CallResult call(String response) throws IOException {
		try (RawServer server = RawServer.start((connection) -> {
			connection.readRequest();
			connection.writeText(response);
		})) {
			return call(server);
		}
	}

	private static PlainService.CallResult call(RawServer server) {
		return HttpPlainService.create(BackendServerId.of("s"), server.uri(), CLIENT, ClientSettings.defaults())
			.call(new PlainService.Call(ATTEMPT, "POST", "/x", Map.of(), new byte[1]),
					ClientSettings.defaults().responseTimeout());
	}

	private static List<GenerateEvent> generateEvents(String head) throws IOException {
		try (RawServer server = RawServer.start((connection) -> {
			connection.readRequest();
			connection.writeText(head);
			connection.socket()
				.getOutputStream()
				.write(GenerateEventCodec.encode(new GenerateEvent.Token(ATTEMPT, 0, "one")));
			connection.socket()
				.getOutputStream()
				.write(GenerateEventCodec.encode(new GenerateEvent.End(ATTEMPT, 1, "length")));
		})) {
			return HttpEngine.create(BackendServerId.of("e"), server.uri(), CLIENT, ClientSettings.defaults())
				.generate(new GenerateRequest(ATTEMPT, ModelId.of("m@1"), "prompt", "", 0, 8, 1, PriorityClass.URGENT))
				.toList()
				.timeout(10, TimeUnit.SECONDS)
				.blockingGet();
		}
	}

	private static void assertBroken(List<GenerateEvent> events) {
		assertThat(events).singleElement()
			.isInstanceOfSatisfying(GenerateEvent.Failed.class,
					(failed) -> assertThat(failed.failure()).isEqualTo(GenerateEvent.Failure.BROKEN));
	}

}
