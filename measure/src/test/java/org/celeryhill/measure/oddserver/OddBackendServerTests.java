package org.celeryhill.measure.oddserver;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Tests of the bytes that backend servers send for each kind of odd answer.
 */
class OddBackendServerTests {

	private static final int READ_TIMEOUT_MS = 20_000;

	private static final String TARGET = "/many/r1";

	/** Body of the first success of a ledger for the target. */
	private static final String FIRST_BODY = new RunLedger().start("r1", RouteKind.IDEMPOTENT, Outcome.SUCCESS).body();

	private static final String SECOND_BODY = FIRST_BODY.replace("run=1", "run=2");

	private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final WireFormat format = WireFormat.load();

	private final RunLedger ledger = new RunLedger();

	@AfterEach
	void stop() {
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
	}

	private OddBackendServer start(LoadProfile profile) {
		return OddBackendServer.start(this.group, new DecisionPlan(profile, 0, 100), this.ledger, this.format);
	}

	private String head(String target, int length) {
		HttpHeaders headers = new DefaultHttpHeaders();
		this.format.headers().encodeCallerRequest(headers, "r1");
		StringBuilder text = new StringBuilder("POST " + target + " HTTP/1.1\r\ncontent-length: " + length + "\r\n");
		headers.forEach((header) -> text.append(header.getKey()).append(": ").append(header.getValue()).append("\r\n"));
		return text.append("\r\n").toString();
	}

	private static Socket connect(OddBackendServer server) throws IOException {
		Socket socket = new Socket(server.address().getAddress(), server.address().getPort());
		socket.setSoTimeout(READ_TIMEOUT_MS);
		return socket;
	}

	private static void send(Socket socket, String text) throws IOException {
		socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
	}

	// Reads until the text contains a part a number of times.
	private static String readUntil(Socket socket, String part, int count) throws IOException {
		StringBuilder text = new StringBuilder();
		InputStream in = socket.getInputStream();
		while (text.toString().split(java.util.regex.Pattern.quote(part), -1).length <= count) {
			int next = in.read();
			assertThat(next).as("end of the connection after " + text).isNotNegative();
			text.append((char) next);
		}
		return text.toString();
	}

	private static String readAll(Socket socket) throws IOException {
		return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
	}

	private String runBody(int index) {
		return this.ledger.runsOf("r1").get(index).body();
	}

	/** Guards against repeats that are not exact copies or do not come. */
	@ParameterizedTest
	@EnumSource(names = { "REPEATED_AT_ONCE", "REPEATED_LATER" })
	void responseIsRepeated(Oddity kind) throws IOException {
		try (OddBackendServer server = start(Profiles.of(0, 0, 0, kind)); Socket socket = connect(server)) {
			send(socket, head(TARGET, 0));
			String text = readUntil(socket, FIRST_BODY, 2);
			assertThat(text.substring(0, text.length() / 2)).isEqualTo(text.substring(text.length() / 2))
				.startsWith("HTTP/1.1 200");
			assertThat(server.counts().oddAnswers(kind)).isEqualTo(1);
			send(socket, head(TARGET, 0));
			readUntil(socket, SECOND_BODY, 1);
			assertThat(server.counts().metExtraBytes.sum()).isEqualTo(1);
		}
	}

	/** Guards against a copy that comes before the next request or after its response. */
	@Test
	void copyComesBetweenNextRequestAndItsResponse() throws IOException {
		Oddity kind = Oddity.REPEATED_BEFORE_NEXT;
		try (OddBackendServer server = start(Profiles.of(0, 0, 0, kind)); Socket socket = connect(server)) {
			send(socket, head(TARGET, 0));
			String first = readUntil(socket, FIRST_BODY, 1);
			send(socket, head(TARGET, 0));
			String second = readUntil(socket, SECOND_BODY, 1);
			assertThat(second).startsWith(first + "HTTP/1.1 200").contains(runBody(1));
			assertThat(server.counts().metExtraBytes.sum()).isEqualTo(1);
		}
	}

	/** Guards against truncated answers that are whole or empty. */
	@Test
	void truncatedResponseEndsEarly() throws IOException {
		try (OddBackendServer server = start(Profiles.of(0, 0, 0, Oddity.TRUNCATED)); Socket socket = connect(server)) {
			send(socket, head(TARGET, 0));
			assertThat(readAll(socket)).isNotEmpty().doesNotContain(runBody(0));
		}
	}

	/** Guards against a length or chunks in an answer that ends with its connection. */
	@Test
	void unframedResponseHasNoLength() throws IOException {
		try (OddBackendServer server = start(Profiles.of(0, 0, 0, Oddity.UNFRAMED)); Socket socket = connect(server)) {
			send(socket, head("/stream/r1", 0));
			assertThat(readAll(socket)).endsWith("\r\n\r\n" + runBody(0))
				.doesNotContain("content-length")
				.doesNotContain("chunked");
		}
	}

	/** Guards against an early answer that waits for the body of its request. */
	@Test
	void earlyResponseComesBeforeBody() throws IOException {
		try (OddBackendServer server = start(Profiles.of(0, 0, 0, Oddity.EARLY)); Socket socket = connect(server)) {
			send(socket, head(TARGET, 10));
			readUntil(socket, FIRST_BODY, 1);
			send(socket, "0123456789" + head(TARGET, 10));
			assertThat(readUntil(socket, "run=2", 1)).startsWith("HTTP/1.1 200");
		}
	}

	/** Guards against garbage that is missing or comes before the answer. */
	@Test
	void garbageFollowsResponse() throws IOException {
		try (OddBackendServer server = start(Profiles.of(0, 0, 0, Oddity.GARBAGE)); Socket socket = connect(server)) {
			send(socket, head(TARGET, 0));
			assertThat(readUntil(socket, "#", 1)).startsWith("HTTP/1.1 200").endsWith(runBody(0) + "#");
		}
	}

	/** Guards against an announced end of the connection that does not come. */
	@Test
	void closedResponseIsWholeAndEndsConnection() throws IOException {
		try (OddBackendServer server = start(Profiles.of(0, 0, 0, Oddity.CLOSED)); Socket socket = connect(server)) {
			send(socket, head(TARGET, 0));
			assertThat(readAll(socket)).contains("connection: close\r\n").endsWith(runBody(0));
		}
	}

	/** Guards against refusals that count as runs, which would hide false refusals. */
	@Test
	void refusalIsNoRun() throws IOException {
		LoadProfile profile = Profiles.of(0, 100, 0, Oddity.CLOSED);
		try (OddBackendServer server = start(profile); Socket socket = connect(server)) {
			send(socket, head(TARGET, 0));
			assertThat(readAll(socket)).startsWith("HTTP/1.1 503");
			assertThat(this.ledger.runsOf("r1")).isEmpty();
		}
	}

	/** Guards against resets that look like a regular end, and are not runs. */
	@Test
	void resetBreaksConnectionOfRun() throws IOException {
		LoadProfile profile = Profiles.of(0, 0, 100, Oddity.CLOSED);
		try (OddBackendServer server = start(profile); Socket socket = connect(server)) {
			send(socket, head(TARGET, 0));
			assertThatThrownBy(() -> readAll(socket)).isInstanceOf(IOException.class).hasMessageContaining("reset");
			assertThat(this.ledger.runsOf("r1")).hasSize(1);
		}
	}

}
