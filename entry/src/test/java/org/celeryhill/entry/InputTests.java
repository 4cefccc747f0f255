package org.celeryhill.entry;

import java.io.IOException;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;

import org.celeryhill.fake.FakeEngine;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of requests that are wrong, too large, too slow or not allowed.
 */
class InputTests {

	private final TestWorld world = new TestWorld(100);

	private final EntryDaemon daemon = this.world.daemon("entry-1", "--body-timeout=PT0.5S", "--max-body-bytes=4096",
			"--max-header-bytes=4096", "--max-requests=4", "--max-held-bytes=6000");

	private final TestCaller caller = new TestCaller(this.daemon, TestWorld.KEY_A);

	@AfterEach
	void close() {
		assertThat(this.world.engines.values().stream().mapToLong(FakeEngine::startedStreams).sum())
			.as("wrong input costs no engine anything")
			.isZero();
		this.world.close();
	}

	private void assertError(HttpResponse<String> response, int status, String code) {
		assertThat(response.statusCode()).as(response.body()).isEqualTo(status);
		assertThat(TestCaller.error(response).path("code").asText()).isEqualTo(code);
		assertThat(TestCaller.error(response).path("execution").asText()).isEqualTo("not_run");
		assertThat(TestCaller.error(response).path("request_id").asText())
			.isEqualTo(response.headers().firstValue("X-Request-Id").orElseThrow());
	}

	/** Guards against access without a key, and to what another organisation owns. */
	@Test
	void onlyOwnModelsAreReached() {
		assertError(new TestCaller(this.daemon, "wrong").get("/v1/models"), 401, "unauthenticated");
		TestCaller foreign = new TestCaller(this.daemon, TestWorld.KEY_B);
		assertError(foreign.post("/v1/completions", TestCaller.body(5, false)), 404, "model_not_found");
		assertThat(foreign.get("/v1/models").body()).contains("mill-b/furnish@1").doesNotContain("mill-a");
		assertError(foreign.get("/v1/services/payroll/x"), 404, "service_not_found");
	}

	/** Guards against wrong input that is guessed at or answered without a hint. */
	@Test
	void wrongInputIsNamed() {
		String path = "/v1/completions";
		assertError(this.caller.post(path, "{\"model\":"), 400, "invalid_json");
		assertError(this.caller.post(path, "[".repeat(2000)), 400, "invalid_json");
		assertError(this.caller.post(path, "{\"model\":7}"), 400, "invalid_request");
		assertError(this.caller.post(path, TestCaller.body(0, true)), 400, "invalid_request");
		assertError(this.caller.post(path, TestCaller.body(5, true), "X-Priority", "soon"), 400, "invalid_request");
		assertError(this.caller.post("/v1/chat/completions", TestCaller.body(5, true)), 400, "invalid_request");
		assertError(this.caller.get(path), 405, "method_not_allowed");
		assertError(this.caller.get("/v2"), 404, "not_found");
		assertError(this.caller.post(path, TestCaller.body(5, true), "Last-Event-ID", "x"), 400, "invalid_event_id");
	}

	/** Guards against unbounded memory for a body. */
	@Test
	void oversizedBodyIsRejected() throws IOException {
		assertError(this.caller.post("/v1/completions", " ".repeat(5000)), 413, "body_too_large");
		String chunk = "1000\r\n" + " ".repeat(0x1000) + "\r\n";
		assertThat(raw(head("Transfer-Encoding: chunked") + chunk + chunk, false)).contains("413")
			.contains("body_too_large");
	}

	/** Guards against unbounded memory for many bodies that are each within the limit. */
	@Test
	void bodiesOfAllRequestsAreBounded() throws IOException {
		String part = head("Content-Length: 4096") + " ".repeat(4000);
		try (Socket first = new Socket("127.0.0.1", this.daemon.apiUri().getPort())) {
			first.getOutputStream().write(part.getBytes(StandardCharsets.US_ASCII));
			TestWorld.await(() -> this.daemon.root().openRequests() == 1);
			assertThat(raw(part, false)).contains("503").contains("overloaded").contains("Retry-After");
		}
		TestWorld.await(() -> this.daemon.root().openRequests() == 0);
		assertError(this.caller.post("/v1/completions", " ".repeat(4000)), 400, "invalid_json");
	}

	/** Guards against unbounded memory for a request head. */
	@Test
	void oversizedHeadersAreRejected() throws IOException {
		assertThat(raw(head("X-Long: " + "x".repeat(8000)), false)).doesNotContain(" 200 ")
			.contains(" 431 ")
			.contains("head_too_large");
		assertThat(this.caller.get("/v1/models").statusCode()).isEqualTo(200);
	}

	/** Guards against connections that hold a request open by sending slowly. */
	@Test
	void slowBodyIsRejected() throws IOException {
		long start = System.nanoTime();
		assertThat(raw(head("Content-Length: 100") + "{", false)).contains("408").contains("request_timeout");
		assertThat(Duration.ofNanos(System.nanoTime() - start)).isLessThan(Duration.ofSeconds(5));
	}

	/**
	 * Guards against unbounded requests, and against places lost to callers that left.
	 */
	@Test
	void requestsAreBoundedAndPlacesReturn() throws IOException {
		for (int i = 0; i < 6; i++) {
			raw(head("Content-Length: 100") + "{", true);
		}
		TestWorld.await(() -> this.daemon.root().openRequests() == 0);
		assertThat(this.caller.get("/v1/models").statusCode()).isEqualTo(200);
	}

	private static String head(String header) {
		return "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + TestWorld.KEY_A + "\r\n" + header
				+ "\r\n\r\n";
	}

	private String raw(String request, boolean isClosedAtOnce) throws IOException {
		try (Socket socket = new Socket("127.0.0.1", this.daemon.apiUri().getPort())) {
			socket.setSoTimeout(10_000);
			socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
			return isClosedAtOnce ? "" : new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
		}
	}

}
