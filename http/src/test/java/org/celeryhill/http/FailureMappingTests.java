package org.celeryhill.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Map;

import okhttp3.OkHttpClient;
import org.celeryhill.base.AttemptId;
import org.celeryhill.base.BackendServerId;
import org.celeryhill.base.FencingToken;
import org.celeryhill.base.ModelId;
import org.celeryhill.port.Engine.CommandResult;
import org.celeryhill.port.EngineCommand;
import org.celeryhill.port.PlainService;
import org.celeryhill.port.PlainService.CallResult;
import org.celeryhill.port.RowKey;
import org.celeryhill.port.RowWrite;
import org.celeryhill.port.TableService;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a false "not run" and against requests that the client repeats by
 * itself.
 */
class FailureMappingTests {

	/** Client of all tests, so that connections are pooled as in a daemon. */
	private static final OkHttpClient CLIENT = new OkHttpClient();

	/**
	 * Longest wait of the tests that are not about time; a busy machine stays below it.
	 */
	private static final Duration LONG = Duration.ofSeconds(20);

	/** Longest wait of the test of a timeout. */
	private static final Duration SHORT = Duration.ofSeconds(1);

	/** Small limit for answers, so that one byte too many shows. */
	private static final ClientSettings SETTINGS = ClientSettings.defaults()
		.withConnectTimeout(LONG)
		.withResponseTimeout(LONG)
		.withMaxResponseBytes(1000);

	@AfterAll
	static void closeClient() {
		CLIENT.dispatcher().executorService().shutdown();
		CLIENT.connectionPool().evictAll();
	}

	// A refused connection reported as unknown would make a caller wait for a call that
	// never ran.
	@Test
	void refusedConnectionIsNotSent() throws IOException {
		URI closed = closedPort();
		assertThat(call(closed)).isInstanceOf(PlainService.CallNotRun.class);
		assertThat(write(closed)).isInstanceOf(TableService.NotWritten.class);
		assertThat(command(closed)).isEqualTo(CommandResult.NOT_SENT);
	}

	// A call that ran and whose answer is lost, reported as not run, would be run twice.
	@Test
	void lostAnswerIsUnknownAndNotRepeated() throws IOException {
		try (RawServer server = RawServer.start(RawServer.Connection::readRequest)) {
			assertThat(call(server.uri())).isInstanceOf(PlainService.CallUnknown.class);
			assertThat(server.requests()).isEqualTo(1);
			assertThat(write(server.uri())).isInstanceOf(TableService.WriteUnknown.class);
			assertThat(server.requests()).isEqualTo(2);
			assertThat(command(server.uri())).isEqualTo(CommandResult.UNKNOWN);
			assertThat(server.requests()).isEqualTo(3);
		}
	}

	// A truncated body taken for a complete answer would be a truncated response.
	@Test
	void truncatedBodyIsUnknown() throws IOException {
		try (RawServer server = RawServer.start((connection) -> {
			connection.readRequest();
			connection.write("HTTP/1.1 200 x\r\nContent-Length: 10\r\n\r\nhalf");
		})) {
			assertThat(call(server.uri())).isInstanceOf(PlainService.CallUnknown.class);
		}
	}

	// A call without a bound on its answer would hold its caller forever.
	@Test
	void slowServerTimesOutAsUnknown() throws IOException {
		try (RawServer server = RawServer.start((connection) -> {
			connection.readRequest();
			connection.socket().getInputStream().read();
		})) {
			long start = System.nanoTime();
			assertThat(send(server.uri(), "POST", SHORT)).isInstanceOf(PlainService.CallUnknown.class);
			assertThat(Duration.ofNanos(System.nanoTime() - start)).isLessThan(Duration.ofSeconds(3));
		}
	}

	// An answer without a bound on its size would exhaust the memory of an entry host.
	@Test
	void oversizedAnswerIsUnknown() throws IOException {
		try (RawServer server = RawServer.start((connection) -> {
			connection.readRequest();
			connection.answer(200, "", "x".repeat(1001));
		})) {
			assertThat(call(server.uri())).isInstanceOf(PlainService.CallUnknown.class);
		}
	}

	// A request on a pooled connection that the server has closed may have been read
	// before the close; sending it again on a new connection would run it twice.
	@Test
	void stalePooledConnectionIsNeverRepeatedAfterSending() throws IOException {
		try (RawServer server = RawServer.start((connection) -> {
			connection.readRequest();
			connection.answer(200, "", "first");
			connection.readRequest();
		})) {
			assertThat(call(server.uri())).isInstanceOf(PlainService.CallCompleted.class);
			assertThat(call(server.uri())).isInstanceOf(PlainService.CallUnknown.class);
			assertThat(server.requests()).isEqualTo(2);
		}
	}

	// OkHttp repeats a request after 503 with Retry-After: 0 unless it is kept from it.
	@Test
	void retryAfterZeroIsNotFollowed() throws IOException {
		try (RawServer server = RawServer.start((connection) -> answerAll(connection, 503, "Retry-After: 0\r\n"))) {
			assertThat(call(server.uri())).isInstanceOf(PlainService.CallCompleted.class);
			assertThat(server.requests()).isEqualTo(1);
			assertThat(get(server.uri())).isInstanceOf(PlainService.CallCompleted.class);
			assertThat(server.requests()).isEqualTo(2);
		}
	}

	// A redirect that is followed would run a call on a server that was not chosen.
	@Test
	void redirectIsNotFollowed() throws IOException {
		try (RawServer server = RawServer.start((connection) -> answerAll(connection, 307, "Location: /other\r\n"))) {
			assertThat(get(server.uri())).isInstanceOf(PlainService.CallCompleted.class);
			assertThat(server.requests()).isEqualTo(1);
		}
	}

	// Only 429 and 503 with the header are refusals; a 500 with the header may have run.
	@Test
	void refusalNeedsStatusAndHeader() throws IOException {
		String header = "X-Execution: not_run\r\n";
		try (RawServer refused = RawServer.start((connection) -> answerAll(connection, 503, header));
				RawServer failed = RawServer.start((connection) -> answerAll(connection, 500, header));
				RawServer silent = RawServer.start((connection) -> answerAll(connection, 503, ""))) {
			assertThat(call(refused.uri())).isInstanceOf(PlainService.CallNotRun.class);
			assertThat(write(refused.uri())).isInstanceOf(TableService.NotWritten.class);
			assertThat(call(failed.uri())).isInstanceOf(PlainService.CallCompleted.class);
			assertThat(write(failed.uri())).isInstanceOf(TableService.WriteUnknown.class);
			assertThat(write(silent.uri())).isInstanceOf(TableService.WriteUnknown.class);
			assertThat(command(silent.uri())).isEqualTo(CommandResult.UNKNOWN);
		}
	}

	// A 404 of another component taken for an absent row would lose a claim.
	@Test
	void foreignNotFoundIsNotAbsent() throws IOException {
		try (RawServer server = RawServer.start((connection) -> answerAll(connection, 404, ""))) {
			TableService table = HttpTableService.create(server.uri(), CLIENT, SETTINGS);
			assertThat(table.read(RowKey.of("claim", "k"))).isInstanceOf(TableService.ReadFailed.class);
			assertThat(HttpObjectService.create(server.uri(), CLIENT, SETTINGS).get("config/1"))
				.isInstanceOf(org.celeryhill.port.ObjectService.GetFailed.class);
		}
	}

	private static void answerAll(RawServer.Connection connection, int status, String headers) throws IOException {
		while (connection.readRequest()) {
			connection.answer(status, headers, "{}");
		}
	}

	private static URI closedPort() throws IOException {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			return URI.create("http://127.0.0.1:" + socket.getLocalPort());
		}
	}

	private static CallResult call(URI uri) {
		return send(uri, "POST");
	}

	private static CallResult get(URI uri) {
		return send(uri, "GET");
	}

	private static CallResult send(URI uri, String method) {
		return send(uri, method, LONG);
	}

	private static CallResult send(URI uri, String method, Duration timeout) {
		PlainService service = HttpPlainService.create(BackendServerId.of("s"), uri, CLIENT, SETTINGS);
		PlainService.Call call = new PlainService.Call(AttemptId.of("a"), method, "/bookings?x=1",
				Map.of("Content-Type", "application/json"), new byte[] { '{', '}' });
		return service.call(call, timeout);
	}

	private static TableService.WriteResult write(URI uri) {
		return HttpTableService.create(uri, CLIENT, SETTINGS)
			.write(AttemptId.of("w"), List.of(RowWrite.create(RowKey.of("t", "k"), "{}")));
	}

	private static CommandResult command(URI uri) {
		return HttpEngine.create(BackendServerId.of("e"), uri, CLIENT, SETTINGS)
			.send(new EngineCommand(AttemptId.of("c"), BackendServerId.of("e"), EngineCommand.Action.LOAD_MODEL,
					ModelId.of("m@1"), 1, FencingToken.ZERO));
	}

}
