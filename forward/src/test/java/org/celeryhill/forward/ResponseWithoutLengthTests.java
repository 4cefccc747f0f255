package org.celeryhill.forward;

import java.io.IOException;
import java.io.InterruptedIOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;

import org.celeryhill.base.KnownRedCondition;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.ExtendWith;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link Forwarder} with responses that have neither a length nor chunks, and
 * that end with their connection.
 */
@Timeout(30)
@ExtendWith(KnownRedCondition.class)
class ResponseWithoutLengthTests {

	/**
	 * More than the buffers of the connection hold (4 MB on Linux for what is sent), so
	 * that a part waits to be written.
	 */
	private static final String LONG_BODY = "b".repeat(12 << 20);

	private static final Duration TIMEOUT = Duration.ofSeconds(5);

	private static final String PART = "part 1 is stored;";

	private static final String REMAINDER = "part 2 is stored";

	private static final String EVENT = "id: 1\ndata: t1\n\n";

	/**
	 * Less than the send buffer of a connection, so that the host hands it over at once,
	 * and more than a server of these tests accepts unread.
	 */
	private static final String BUFFERED_BODY = "b".repeat(256 << 10);

	/** Within the time in which a reset behind a regular end is awaited. */
	private static final long RESET_DELAY_MS = 1;

	/** Long enough for what was sent to be read by the client. */
	private static final long PAUSE_MS = 150;

	private ForwardFixture fixture;

	@BeforeEach
	void start() throws Exception {
		IngressLimits defaults = IngressLimits.DEFAULTS;
		this.fixture = new ForwardFixture().configure(TIMEOUT, new IngressLimits(defaults.maxHeaderBytes(),
				LONG_BODY.length(), defaults.headerTimeout(), defaults.idleTimeout()));
	}

	@AfterEach
	void stop() throws Exception {
		this.fixture.close();
	}

	private static void pause() {
		try {
			Thread.sleep(PAUSE_MS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static void startResponse(ScriptedServer.ReceivedRequest request, ScriptedServer.Connection connection,
			int status, String text) throws IOException {
		connection.send("HTTP/1.1 " + status + " Status\r\nid: " + request.header("id", "")
				+ "\r\nsigned: s\r\nconnection: close\r\n\r\n" + text);
		pause();
	}

	private String post(ScriptedServer.Script script) throws Exception {
		try (ScriptedServer server = ScriptedServer.createForHeads(script)) {
			this.fixture.addServer("s1", ForwardFixture.PLAIN_SERVICE, server);
			return this.fixture.sendAndReadAll(ForwardFixture.postRequest("/once/x", "r1", LONG_BODY));
		}
	}

	// Sends a request of which the server reads the head only. The server begins its
	// response, and then ends on the event loop of the host, which can read nothing
	// meanwhile.
	private String postBuffered(String path, Ending ending) throws Exception {
		return post(path, BUFFERED_BODY, ending);
	}

	private String post(String path, String body, Ending ending) throws Exception {
		CountDownLatch isResponseRead = new CountDownLatch(1);
		try (ScriptedServer server = ScriptedServer.createForHeads((request, connection) -> {
			startResponse(request, connection, 200, PART);
			runOnLoop(() -> ending.run(connection));
			await(isResponseRead);
		})) {
			this.fixture.addServer("s1", ForwardFixture.PLAIN_SERVICE, server);
			String response = this.fixture.sendAndReadAll(ForwardFixture.postRequest(path, "r1", body));
			isResponseRead.countDown();
			return response;
		}
	}

	private static void await(CountDownLatch latch) throws IOException {
		try {
			latch.await();
		}
		catch (InterruptedException ex) {
			throw new InterruptedIOException(ex.getMessage());
		}
	}

	private void runOnLoop(LoopTask task) throws IOException {
		try {
			this.fixture.runOnLoop(() -> {
				try {
					task.run();
				}
				catch (IOException ex) {
					throw new UncheckedIOException(ex);
				}
			});
		}
		catch (Exception ex) {
			throw new IOException(ex);
		}
	}

	private String generate(String path, ScriptedServer.Script script) throws Exception {
		return generate(path, LONG_BODY, script);
	}

	private String generate(String path, String body, ScriptedServer.Script script) throws Exception {
		try (ScriptedServer server = ScriptedServer.createForHeads(script)) {
			this.fixture.addServer("e1", ForwardFixture.ENGINE_SERVICE, server);
			String request = ForwardFixture.postRequest(path, "r1", body)
				.replace("id: r1\r\n", "id: r1\r\nmodel: " + ForwardFixture.MODEL + "\r\n");
			return this.fixture.sendAndReadAll(request);
		}
	}

	// Guards against a part of a response that reaches the caller as the whole, when the
	// server is killed while the body of the request is being written.
	@ParameterizedTest
	@ValueSource(ints = { 200, 404, 500 })
	void resetDuringRequestBodyIsNoEnd(int status) throws Exception {
		String response = post((request, connection) -> {
			startResponse(request, connection, status, PART);
			connection.reset();
		});
		assertThat(response).startsWith("HTTP/1.1 502").doesNotContain(PART);
	}

	// Guards against the same if the server closes its end with bytes of the request
	// unread, which resets the connection.
	@Test
	void closeWithUnreadRequestBodyIsNoEnd() throws Exception {
		String response = post((request, connection) -> {
			startResponse(request, connection, 200, PART);
			connection.socket().close();
		});
		assertThat(response).startsWith("HTTP/1.1 502").doesNotContain(PART);
	}

	// Guards against the same where the whole request fits into the buffers of the
	// connection: nothing is left to be written that would meet the reset.
	@Test
	void closeWithUnreadRequestBodyInBuffersIsNoEnd() throws Exception {
		try (ScriptedServer server = ScriptedServer.createForHeads((request, connection) -> {
			startResponse(request, connection, 200, PART);
			connection.socket().close();
		})) {
			this.fixture.addServer("s1", ForwardFixture.PLAIN_SERVICE, server);
			String body = LONG_BODY.substring(0, IngressLimits.DEFAULTS.maxBodyBytes());
			String response = this.fixture.sendAndReadAll(ForwardFixture.postRequest("/once/x", "r1", body));
			assertThat(response).startsWith("HTTP/1.1 502").doesNotContain(PART);
		}
	}

	// Guards against a part of a response that reaches the caller as the whole, when its
	// server crashes after the host has handed the whole request to the system. The reset
	// has arrived before the host reads the regular end, which hides it.
	@ParameterizedTest
	@ValueSource(strings = { "/once/x", "/many/x" })
	void resetBehindRegularEndIsNoEnd(String path) throws Exception {
		String response = postBuffered(path, (connection) -> {
			connection.startEnd();
			connection.reset();
		});
		assertThat(response).startsWith("HTTP/1.1 502").doesNotContain(PART);
	}

	// Guards against the same where the reset arrives after the host has read the regular
	// end. End and reset run on the event loop of the host, in the order of their times.
	@Test
	void resetAfterRegularEndIsNoEnd() throws Exception {
		String response = postBuffered("/once/x", (connection) -> {
			connection.startEnd();
			this.fixture.schedule(RESET_DELAY_MS, connection::resetUnchecked);
		});
		assertThat(response).startsWith("HTTP/1.1 502").doesNotContain(PART);
	}

	// Guards against a stream that ends as if it were complete, when its engine crashes
	// between two events after the whole request was handed to the system.
	@ParameterizedTest
	@ValueSource(strings = { "/stream/x", "/resumable/x" })
	void resetBehindRegularEndBreaksStreamOff(String path) throws Exception {
		String response = generate(path, BUFFERED_BODY, (request, connection) -> {
			startResponse(request, connection, 200, EVENT);
			runOnLoop(() -> {
				connection.startEnd();
				connection.reset();
			});
		});
		assertThat(response).contains("data: t1").doesNotEndWith("0\r\n\r\n");
	}

	// Guards against the same where the request is a few bytes long and has arrived, but
	// was not read.
	@Test
	void resetOfShortRequestIsNoEnd() throws Exception {
		String response = post("/once/x", "b", (connection) -> {
			connection.startEnd();
			connection.reset();
		});
		assertThat(response).startsWith("HTTP/1.1 502").doesNotContain(PART);
	}

	// Guards against a whole response that is dropped because its server reads the
	// request, which the host has handed over, slowly or not at all after its end.
	@Test
	void regularEndWithUnreadRequestIsWhole() throws Exception {
		String response = postBuffered("/once/x", ScriptedServer.Connection::startEnd);
		assertThat(response).startsWith("HTTP/1.1 200").endsWith(PART);
	}

	// Guards against a stream that ends as if it were complete, when its engine is killed
	// between two events while the body of the request is being written.
	@ParameterizedTest
	@ValueSource(strings = { "/stream/x", "/resumable/x" })
	void resetDuringRequestBodyBreaksStreamOff(String path) throws Exception {
		String response = generate(path, (request, connection) -> {
			startResponse(request, connection, 200, EVENT);
			connection.reset();
		});
		assertThat(response).contains("data: t1").doesNotEndWith("0\r\n\r\n");
	}

	// Guards against a reset that is taken for an end after the whole request was
	// written.
	@Test
	void resetAfterRequestBodyIsNoEnd() throws Exception {
		try (ScriptedServer server = new ScriptedServer((request, connection) -> {
			startResponse(request, connection, 200, PART);
			connection.reset();
		})) {
			this.fixture.addServer("s1", ForwardFixture.PLAIN_SERVICE, server);
			assertThat(this.fixture.sendAndReadAll(ForwardFixture.postRequest("/once/x", "r1", "b")))
				.startsWith("HTTP/1.1 502")
				.doesNotContain(PART);
		}
	}

	// Guards against a whole response that is dropped because it ends while the body of
	// the request is being written.
	@Test
	void regularEndDuringRequestBodyIsWhole() throws Exception {
		String response = post((request, connection) -> {
			startResponse(request, connection, 200, PART);
			connection.send(REMAINDER);
			connection.endOutput();
		});
		assertThat(response).startsWith("HTTP/1.1 200").endsWith(PART + REMAINDER);
	}

	// Guards against the same for a stream.
	@Test
	void regularEndDuringRequestBodyEndsStream() throws Exception {
		String response = generate("/stream/x", (request, connection) -> {
			startResponse(request, connection, 200, EVENT);
			connection.endOutput();
		});
		assertThat(response).startsWith("HTTP/1.1 200").contains("data: t1").endsWith("0\r\n\r\n");
	}

	// Guards against a whole response that is dropped because its server closes the
	// connection instead of one direction of it.
	@Test
	void closeAfterRequestBodyIsWhole() throws Exception {
		try (ScriptedServer server = new ScriptedServer((request, connection) -> {
			startResponse(request, connection, 200, PART + REMAINDER);
			connection.socket().close();
		})) {
			this.fixture.addServer("s1", ForwardFixture.PLAIN_SERVICE, server);
			assertThat(this.fixture.sendAndReadAll(ForwardFixture.postRequest("/once/x", "r1", "b")))
				.startsWith("HTTP/1.1 200")
				.endsWith(PART + REMAINDER);
		}
	}

	// Guards against a response with a length that is taken for broken because its server
	// closes the connection early.
	@Test
	void earlyResponseWithLengthIsWhole() throws Exception {
		String response = post((request, connection) -> {
			connection.respond(request, 200, "signed: s\r\nconnection: close\r\n", PART);
			connection.endOutput();
		});
		assertThat(response).startsWith("HTTP/1.1 200").endsWith(PART);
	}

	// Guards against a response with a length that ends too early and is taken for whole.
	@Test
	void shortResponseWithLengthIsNoEnd() throws Exception {
		String response = post((request, connection) -> {
			connection.send("HTTP/1.1 200 OK\r\nid: r1\r\nsigned: s\r\ncontent-length: 100\r\n\r\n" + PART);
			connection.endOutput();
		});
		assertThat(response).startsWith("HTTP/1.1 502").doesNotContain(PART);
	}

	/**
	 * How a server ends its connection.
	 */
	private interface Ending {

		void run(ScriptedServer.Connection connection) throws IOException;

	}

	/**
	 * A step of a server that runs on the event loop of the host.
	 */
	private interface LoopTask {

		void run() throws IOException;

	}

}
