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
 * Guards against requests that are reported as not run although they may have run, and
 * against automatic retries by the HTTP client.
 */
class FailureMappingTests {

	/** Client shared by all tests, so that connections are pooled as in a daemon. */
	private static final OkHttpClient CLIENT = new OkHttpClient();

	/**
	 * Timeout of tests that do not check timeouts; long enough for a busy machine.
	 */
	private static final Duration LONG_TIMEOUT = Duration.ofSeconds(20);

	/** More than the buffers of a connection hold, so that a part waits to be written. */
	private static final int LONG_BODY_BYTES = 32 << 20;

	/** Less than the send buffer of a connection, so that it is handed over at once. */
	private static final int BUFFERED_BODY_BYTES = 256 << 10;

	/** Timeout of the test that checks timeouts. */
	private static final Duration SHORT_TIMEOUT = Duration.ofSeconds(1);

	/**
	 * Settings with a small response limit, so that a response can exceed it by one byte.
	 */
	private static final ClientSettings SETTINGS = ClientSettings.defaults()
		.withConnectTimeout(LONG_TIMEOUT)
		.withResponseTimeout(LONG_TIMEOUT)
		.withMaxResponseBytes(1000);

	@AfterAll
	static void closeClient() {
		CLIENT.dispatcher().executorService().shutdown();
		CLIENT.connectionPool().evictAll();
	}

	// Guards against reporting a refused connection as unknown, which would make the
	// caller wait for a call that never ran.
	@Test
	void refusedConnectionIsNotSent() throws IOException {
		URI closed = findClosedPort();
		assertThat(sendPostCall(closed)).isInstanceOf(PlainService.CallNotRun.class);
		assertThat(writeRow(closed)).isInstanceOf(TableService.NotWritten.class);
		assertThat(sendCommand(closed)).isEqualTo(CommandResult.NOT_SENT);
	}

	// Guards against running a call twice because its response was lost and it was
	// reported as not run.
	@Test
	void lostResponseIsUnknownAndNotRetried() throws IOException {
		try (RawServer server = RawServer.start(RawServer.Connection::readRequest)) {
			assertThat(sendPostCall(server.uri())).isInstanceOf(PlainService.CallUnknown.class);
			assertThat(server.requestCount()).isEqualTo(1);
			assertThat(writeRow(server.uri())).isInstanceOf(TableService.WriteUnknown.class);
			assertThat(server.requestCount()).isEqualTo(2);
			assertThat(sendCommand(server.uri())).isEqualTo(CommandResult.UNKNOWN);
			assertThat(server.requestCount()).isEqualTo(3);
		}
	}

	// Guards against delivering a truncated body as a complete response.
	@Test
	void truncatedBodyIsUnknown() throws IOException {
		try (RawServer server = RawServer.start((connection) -> {
			connection.readRequest();
			connection.writeText("HTTP/1.1 200 x\r\nContent-Length: 10\r\n\r\nhalf");
		})) {
			assertThat(sendPostCall(server.uri())).isInstanceOf(PlainService.CallUnknown.class);
		}
	}

	// Guards against delivering a part of a response without length as the whole, when
	// the server is killed while the body of the request is being written.
	@Test
	void resetDuringRequestBodyIsUnknown() throws IOException {
		try (RawServer server = RawServer.start((connection) -> {
			connection.socket().getInputStream().readNBytes(100);
			connection.writeText("HTTP/1.1 200 x\r\n\r\nhalf");
			pause(300);
			connection.socket().setSoLinger(true, 0);
			connection.socket().close();
		})) {
			assertThat(sendCall(server.uri(), new byte[LONG_BODY_BYTES])).isInstanceOf(PlainService.CallUnknown.class);
		}
	}

	// Guards against the same where the client has handed the whole request to the
	// system:
	// the regular end of the connection hides the reset behind it from the reader.
	@Test
	void resetBehindRegularEndIsUnknown() throws IOException {
		try (RawServer server = RawServer.start((connection) -> {
			connection.socket().getInputStream().readNBytes(100);
			connection.writeText("HTTP/1.1 200 x\r\n\r\nhalf");
			pause(300);
			connection.socket().shutdownOutput();
			connection.socket().setSoLinger(true, 0);
			connection.socket().close();
		})) {
			assertThat(sendCall(server.uri(), new byte[BUFFERED_BODY_BYTES]))
				.isInstanceOf(PlainService.CallUnknown.class);
		}
	}

	// Guards against a whole response without length that is reported as unknown, because
	// its server has not read the request, or has closed its connection.
	@Test
	void regularEndIsWhole() throws IOException {
		try (RawServer unread = RawServer.start((connection) -> {
			connection.socket().getInputStream().readNBytes(100);
			connection.writeText("HTTP/1.1 200 x\r\n\r\nwhole");
			connection.socket().shutdownOutput();
			connection.socket().getInputStream().skip(Long.MAX_VALUE);
		}); RawServer read = RawServer.start((connection) -> {
			connection.readRequest();
			connection.writeText("HTTP/1.1 200 x\r\n\r\nwhole");
		})) {
			assertThat(sendCall(unread.uri(), new byte[BUFFERED_BODY_BYTES]))
				.isInstanceOf(PlainService.CallCompleted.class);
			assertThat(sendCall(read.uri(), new byte[BUFFERED_BODY_BYTES]))
				.isInstanceOf(PlainService.CallCompleted.class);
			assertThat(sendPostCall(read.uri())).isInstanceOf(PlainService.CallCompleted.class);
		}
	}

	private static void pause(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	// Guards against calls without a response timeout, which could block their caller
	// forever.
	@Test
	void slowServerTimesOutAsUnknown() throws IOException {
		try (RawServer server = RawServer.start((connection) -> {
			connection.readRequest();
			connection.socket().getInputStream().read();
		})) {
			long start = System.nanoTime();
			assertThat(sendCall(server.uri(), "POST", SHORT_TIMEOUT)).isInstanceOf(PlainService.CallUnknown.class);
			assertThat(Duration.ofNanos(System.nanoTime() - start)).isLessThan(Duration.ofSeconds(3));
		}
	}

	// Guards against responses without a size limit, which could exhaust the memory of an
	// entry host.
	@Test
	void oversizedResponseIsUnknown() throws IOException {
		try (RawServer server = RawServer.start((connection) -> {
			connection.readRequest();
			connection.respond(200, "", "x".repeat(1001));
		})) {
			assertThat(sendPostCall(server.uri())).isInstanceOf(PlainService.CallUnknown.class);
		}
	}

	// Guards against retrying a request on a new connection after the server closed the
	// pooled one: the server may have read the request before closing, so it would run
	// twice.
	@Test
	void requestOnClosedPooledConnectionIsNotRetried() throws IOException {
		try (RawServer server = RawServer.start((connection) -> {
			connection.readRequest();
			connection.respond(200, "", "first");
			connection.readRequest();
		})) {
			assertThat(sendPostCall(server.uri())).isInstanceOf(PlainService.CallCompleted.class);
			assertThat(sendPostCall(server.uri())).isInstanceOf(PlainService.CallUnknown.class);
			assertThat(server.requestCount()).isEqualTo(2);
		}
	}

	// Guards against the OkHttp default of repeating a request after status 503 with
	// Retry-After: 0.
	@Test
	void retryAfterZeroDoesNotCauseRetry() throws IOException {
		try (RawServer server = RawServer.start((connection) -> respondToAll(connection, 503, "Retry-After: 0\r\n"))) {
			assertThat(sendPostCall(server.uri())).isInstanceOf(PlainService.CallCompleted.class);
			assertThat(server.requestCount()).isEqualTo(1);
			assertThat(sendGetCall(server.uri())).isInstanceOf(PlainService.CallCompleted.class);
			assertThat(server.requestCount()).isEqualTo(2);
		}
	}

	// Guards against following a redirect, which would run the call on a server that was
	// not selected for it.
	@Test
	void redirectIsNotFollowed() throws IOException {
		try (RawServer server = RawServer
			.start((connection) -> respondToAll(connection, 307, "Location: /other\r\n"))) {
			assertThat(sendGetCall(server.uri())).isInstanceOf(PlainService.CallCompleted.class);
			assertThat(server.requestCount()).isEqualTo(1);
		}
	}

	// Guards against treating a failure as a refusal: only 429 and 503 with the header
	// are refusals, and a request that got 500 with the header may have run.
	@Test
	void refusalRequiresStatusAndHeader() throws IOException {
		String header = "X-Execution: not_run\r\n";
		try (RawServer refused = RawServer.start((connection) -> respondToAll(connection, 503, header));
				RawServer failed = RawServer.start((connection) -> respondToAll(connection, 500, header));
				RawServer withoutHeader = RawServer.start((connection) -> respondToAll(connection, 503, ""))) {
			assertThat(sendPostCall(refused.uri())).isInstanceOf(PlainService.CallNotRun.class);
			assertThat(writeRow(refused.uri())).isInstanceOf(TableService.NotWritten.class);
			assertThat(sendPostCall(failed.uri())).isInstanceOf(PlainService.CallCompleted.class);
			assertThat(writeRow(failed.uri())).isInstanceOf(TableService.WriteUnknown.class);
			assertThat(writeRow(withoutHeader.uri())).isInstanceOf(TableService.WriteUnknown.class);
			assertThat(sendCommand(withoutHeader.uri())).isEqualTo(CommandResult.UNKNOWN);
		}
	}

	// Guards against treating a 404 of another component as an absent row, which would
	// lose a claim.
	@Test
	void notFoundWithoutErrorCodeIsNotAbsent() throws IOException {
		try (RawServer server = RawServer.start((connection) -> respondToAll(connection, 404, ""))) {
			TableService table = HttpTableService.create(server.uri(), CLIENT, SETTINGS);
			assertThat(table.read(RowKey.of("claim", "k"))).isInstanceOf(TableService.ReadFailed.class);
			assertThat(HttpObjectService.create(server.uri(), CLIENT, SETTINGS).get("config/1"))
				.isInstanceOf(org.celeryhill.port.ObjectService.GetFailed.class);
		}
	}

	private static void respondToAll(RawServer.Connection connection, int status, String headers) throws IOException {
		while (connection.readRequest()) {
			connection.respond(status, headers, "{}");
		}
	}

	private static URI findClosedPort() throws IOException {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			return URI.create("http://127.0.0.1:" + socket.getLocalPort());
		}
	}

	private static CallResult sendPostCall(URI uri) {
		return sendCall(uri, "POST");
	}

	private static CallResult sendGetCall(URI uri) {
		return sendCall(uri, "GET");
	}

	private static CallResult sendCall(URI uri, String method) {
		return sendCall(uri, method, LONG_TIMEOUT);
	}

	private static CallResult sendCall(URI uri, String method, Duration timeout) {
		return sendCall(uri, method, new byte[] { '{', '}' }, timeout);
	}

	private static CallResult sendCall(URI uri, byte[] body) {
		return sendCall(uri, "POST", body, LONG_TIMEOUT);
	}

	private static CallResult sendCall(URI uri, String method, byte[] body, Duration timeout) {
		PlainService service = HttpPlainService.create(BackendServerId.of("s"), uri, CLIENT, SETTINGS);
		PlainService.Call call = new PlainService.Call(AttemptId.of("a"), method, "/bookings?x=1",
				Map.of("Content-Type", "application/json"), body);
		return service.call(call, timeout);
	}

	private static TableService.WriteResult writeRow(URI uri) {
		return HttpTableService.create(uri, CLIENT, SETTINGS)
			.write(AttemptId.of("w"), List.of(RowWrite.create(RowKey.of("t", "k"), "{}")));
	}

	private static CommandResult sendCommand(URI uri) {
		return HttpEngine.create(BackendServerId.of("e"), uri, CLIENT, SETTINGS)
			.send(new EngineCommand(AttemptId.of("c"), BackendServerId.of("e"), EngineCommand.Action.LOAD_MODEL,
					ModelId.of("m@1"), 1, FencingToken.ZERO));
	}

}
