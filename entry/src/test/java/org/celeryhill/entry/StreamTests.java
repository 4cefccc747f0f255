package org.celeryhill.entry;

import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of generations through a running daemon without failures.
 */
class StreamTests {

	private final TestEnvironment environment = new TestEnvironment(100);

	private final EntryDaemon daemon = this.environment.startDaemon("entry-1");

	private final TestCaller caller = new TestCaller(this.daemon, TestEnvironment.API_KEY_A);

	@AfterEach
	void close() {
		this.environment.close();
	}

	/** Guards against a stream that is truncated, reordered or lacks its end marker. */
	@Test
	void streamIsComplete() {
		TestCaller.EventStream stream = this.caller.openStream(TestCaller.body(40, true)).readAll();
		assertThat(stream.response.statusCode()).isEqualTo(200);
		assertThat(stream.response.headers().firstValue("X-Request-Id")).isPresent();
		assertThat(stream.text()).isEqualTo(TestCaller.expectedText(40));
		assertThat(stream.isComplete()).isTrue();
	}

	/**
	 * Guards against the loss of a pipelined request, which arrives before the response
	 * to the previous request was sent. The daemon reads from the connection during that
	 * time to detect a disconnect.
	 */
	@Test
	void pipelinedRequestIsServed() throws Exception {
		String body = TestCaller.body(100, false);
		byte[] request = ("POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "
				+ TestEnvironment.API_KEY_A + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
			.getBytes(StandardCharsets.US_ASCII);
		try (Socket socket = new Socket("127.0.0.1", this.daemon.apiUri().getPort())) {
			socket.setSoTimeout(5000);
			socket.getOutputStream().write(request);
			TestEnvironment.await(() -> this.daemon.relays().size() == 1);
			socket.getOutputStream().write(request);
			StringBuilder responses = new StringBuilder();
			while (responses.toString().split("text_completion", -1).length < 3) {
				int next = socket.getInputStream().read();
				assertThat(next).as("connection stays open").isNotNegative();
				responses.append((char) next);
			}
		}
	}

	/** Guards against a response without streaming that differs from a streamed one. */
	@Test
	void responseWithoutStreamingIsComplete() {
		HttpResponse<String> response = this.caller.post("/v1/completions", TestCaller.body(40, false));
		assertThat(response.statusCode()).as(response.body()).isEqualTo(200);
		assertThat(TestCaller.parseJson(response.body()).at("/choices/0/text").asText())
			.isEqualTo(TestCaller.expectedText(40));
		assertThat(TestCaller.parseJson(response.body()).at("/usage/completion_tokens").asInt()).isEqualTo(40);
	}

}
