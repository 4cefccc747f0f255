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
 * Tests of requests that are invalid, too large, too slow or not allowed.
 */
class InputTests {

	private final TestEnvironment environment = new TestEnvironment(100);

	private final EntryDaemon daemon = this.environment.startDaemon("entry-1", "--body-timeout=PT0.5S",
			"--max-body-bytes=4096", "--max-header-bytes=4096", "--max-requests=4", "--max-held-bytes=6000");

	private final TestCaller caller = new TestCaller(this.daemon, TestEnvironment.API_KEY_A);

	@AfterEach
	void close() {
		assertThat(this.environment.engines.values().stream().mapToLong(FakeEngine::startedStreams).sum())
			.as("streams started by invalid requests")
			.isZero();
		this.environment.close();
	}

	private void assertError(HttpResponse<String> response, int status, String code) {
		assertThat(response.statusCode()).as(response.body()).isEqualTo(status);
		assertThat(TestCaller.readError(response).path("code").asText()).isEqualTo(code);
		assertThat(TestCaller.readError(response).path("execution").asText()).isEqualTo("not_run");
		assertThat(TestCaller.readError(response).path("request_id").asText())
			.isEqualTo(response.headers().firstValue("X-Request-Id").orElseThrow());
	}

	/**
	 * Guards against access without a valid key and to models or services of other
	 * organisations.
	 */
	@Test
	void callersAccessOnlyOwnModelsAndServices() {
		assertError(new TestCaller(this.daemon, "wrong").get("/v1/models"), 401, "unauthenticated");
		TestCaller foreign = new TestCaller(this.daemon, TestEnvironment.API_KEY_B);
		assertError(foreign.post("/v1/completions", TestCaller.body(5, false)), 404, "model_not_found");
		assertThat(foreign.get("/v1/models").body()).contains("mill-b/furnish@1").doesNotContain("mill-a");
		assertError(foreign.get("/v1/services/payroll/x"), 404, "service_not_found");
	}

	/**
	 * Guards against invalid requests that are accepted or rejected without a specific
	 * error code.
	 */
	@Test
	void invalidRequestsGetSpecificErrorCodes() {
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

	/**
	 * Guards against unbounded memory for one body, with and without an announced length.
	 */
	@Test
	void oversizedBodyIsRejected() throws IOException {
		assertError(this.caller.post("/v1/completions", " ".repeat(5000)), 413, "body_too_large");
		String chunk = "1000\r\n" + " ".repeat(0x1000) + "\r\n";
		assertThat(sendRaw(requestHead("Transfer-Encoding: chunked") + chunk + chunk, false)).contains("413")
			.contains("body_too_large");
	}

	/**
	 * Guards against unbounded memory for the bodies of many requests, each within its
	 * limit.
	 */
	@Test
	void totalBodyBytesAreLimited() throws IOException {
		String part = requestHead("Content-Length: 4096") + " ".repeat(4000);
		try (Socket first = new Socket("127.0.0.1", this.daemon.apiUri().getPort())) {
			first.getOutputStream().write(part.getBytes(StandardCharsets.US_ASCII));
			TestEnvironment.await(() -> this.daemon.rootHandler().openRequests() == 1);
			assertThat(sendRaw(part, false)).contains("503").contains("overloaded").contains("Retry-After");
		}
		TestEnvironment.await(() -> this.daemon.rootHandler().openRequests() == 0);
		assertError(this.caller.post("/v1/completions", " ".repeat(4000)), 400, "invalid_json");
	}

	/** Guards against unbounded memory for request headers. */
	@Test
	void oversizedHeadersAreRejected() throws IOException {
		assertThat(sendRaw(requestHead("X-Long: " + "x".repeat(8000)), false)).doesNotContain(" 200 ")
			.contains(" 431 ")
			.contains("head_too_large");
		assertThat(this.caller.get("/v1/models").statusCode()).isEqualTo(200);
	}

	/** Guards against callers that keep a request open by sending its body slowly. */
	@Test
	void slowBodyIsRejected() throws IOException {
		long start = System.nanoTime();
		assertThat(sendRaw(requestHead("Content-Length: 100") + "{", false)).contains("408")
			.contains("request_timeout");
		assertThat(Duration.ofNanos(System.nanoTime() - start)).isLessThan(Duration.ofSeconds(5));
	}

	/**
	 * Guards against callers that disconnect while they send a body and still count
	 * towards the limit of open requests.
	 */
	@Test
	void disconnectedCallersReleaseRequestSlots() throws IOException {
		for (int i = 0; i < 6; i++) {
			sendRaw(requestHead("Content-Length: 100") + "{", true);
		}
		TestEnvironment.await(() -> this.daemon.rootHandler().openRequests() == 0);
		assertThat(this.caller.get("/v1/models").statusCode()).isEqualTo(200);
	}

	private static String requestHead(String header) {
		return "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + TestEnvironment.API_KEY_A + "\r\n"
				+ header + "\r\n\r\n";
	}

	private String sendRaw(String request, boolean isClosedAtOnce) throws IOException {
		try (Socket socket = new Socket("127.0.0.1", this.daemon.apiUri().getPort())) {
			socket.setSoTimeout(10_000);
			socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
			return isClosedAtOnce ? "" : new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
		}
	}

}
