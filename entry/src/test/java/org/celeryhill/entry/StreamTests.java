package org.celeryhill.entry;

import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of generations through a running daemon.
 */
class StreamTests {

	private final TestWorld world = new TestWorld(100);

	private final EntryDaemon daemon = this.world.daemon("entry-1");

	private final TestCaller caller = new TestCaller(this.daemon, TestWorld.KEY_A);

	@AfterEach
	void close() {
		this.world.close();
	}

	/** Guards against a stream that is cut, reordered or lacks its end. */
	@Test
	void streamIsWhole() {
		TestCaller.EventStream stream = this.caller.stream(TestCaller.body(40, true)).readAll();
		assertThat(stream.response.statusCode()).isEqualTo(200);
		assertThat(stream.response.headers().firstValue("X-Request-Id")).isPresent();
		assertThat(stream.text()).isEqualTo(TestCaller.expected(40));
		assertThat(stream.isWhole()).isTrue();
	}

	/**
	 * Guards against losing a request that is sent before the answer to the one before.
	 */
	@Test
	void pipelinedRequestIsServed() throws Exception {
		String body = TestCaller.body(100, false);
		byte[] request = ("POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + TestWorld.KEY_A
				+ "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
			.getBytes(StandardCharsets.US_ASCII);
		try (Socket socket = new Socket("127.0.0.1", this.daemon.apiUri().getPort())) {
			socket.setSoTimeout(5000);
			socket.getOutputStream().write(request);
			TestWorld.await(() -> this.daemon.relays().size() == 1);
			socket.getOutputStream().write(request);
			StringBuilder answers = new StringBuilder();
			while (answers.toString().split("text_completion", -1).length < 3) {
				int next = socket.getInputStream().read();
				assertThat(next).as("connection stays open").isNotNegative();
				answers.append((char) next);
			}
		}
	}

	/** Guards against a complete answer that differs from the streamed one. */
	@Test
	void wholeAnswerIsComplete() {
		HttpResponse<String> response = this.caller.post("/v1/completions", TestCaller.body(40, false));
		assertThat(response.statusCode()).as(response.body()).isEqualTo(200);
		assertThat(TestCaller.json(response.body()).at("/choices/0/text").asText()).isEqualTo(TestCaller.expected(40));
		assertThat(TestCaller.json(response.body()).at("/usage/completion_tokens").asInt()).isEqualTo(40);
	}

}
