package org.celeryhill.entry;

import java.net.http.HttpResponse;

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

	/** Guards against a whole answer that differs from the streamed one. */
	@Test
	void wholeAnswerIsComplete() {
		HttpResponse<String> response = this.caller.post("/v1/completions", TestCaller.body(40, false));
		assertThat(response.statusCode()).as(response.body()).isEqualTo(200);
		assertThat(TestCaller.json(response.body()).at("/choices/0/text").asText()).isEqualTo(TestCaller.expected(40));
		assertThat(TestCaller.json(response.body()).at("/usage/completion_tokens").asInt()).isEqualTo(40);
	}

}
