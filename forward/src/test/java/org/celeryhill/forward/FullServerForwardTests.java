package org.celeryhill.forward;

import java.io.IOException;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link Forwarder} with backend servers that are full and name a time for which
 * they want no requests.
 */
@Timeout(20)
class FullServerForwardTests {

	private static final int REQUESTS = 20;

	/** Requests that may reach a server during the time that it named. */
	private static final int ALLOWED_REQUESTS = 2;

	private ForwardFixture fixture;

	@BeforeEach
	void start() throws Exception {
		this.fixture = new ForwardFixture().configure();
	}

	@AfterEach
	void stop() throws Exception {
		this.fixture.close();
	}

	private String send(String path, String id) throws IOException {
		return this.fixture.sendAndReadAll(ForwardFixture.getRequest(path, id));
	}

	// Guards against requests that reach a server again and again although it has asked
	// for none, and against refusals while another server has room.
	@Test
	void requestsGoToOtherServersDuringPause() throws Exception {
		try (ScriptedServer full = new ScriptedServer(
				(request, connection) -> connection.respond(request, 503, "not-run: 1\r\npause: 5000\r\n", ""));
				ScriptedServer idle = new ScriptedServer(
						(request, connection) -> connection.respond(request, 200, "signed: s\r\n", "ok"))) {
			this.fixture.addServer("s1", ForwardFixture.PLAIN_SERVICE, full);
			this.fixture.addServer("s2", ForwardFixture.PLAIN_SERVICE, idle);
			for (int i = 0; i < REQUESTS; i++) {
				assertThat(send("/once/x", "r" + i)).startsWith("HTTP/1.1 200");
			}
			assertThat(full.receivedRequests().size()).isLessThanOrEqualTo(1);
		}
	}

	// Guards against requests that are held although no server will take them in time,
	// and against a time to come back that does not agree with what the servers named.
	@Test
	void requestIsRefusedAtOnceDuringPauseOfAllServers() throws Exception {
		try (ScriptedServer full = new ScriptedServer(
				(request, connection) -> connection.respond(request, 503, "not-run: 1\r\npause: 8000\r\n", ""))) {
			this.fixture.addServer("s1", ForwardFixture.PLAIN_SERVICE, full);
			long start = System.nanoTime();
			for (int i = 0; i < REQUESTS; i++) {
				String response = send("/many/x", "r" + i);
				assertThat(response).startsWith("HTTP/1.1 503");
				int retryAfter = Integer.parseInt(response.split("retry-after: ")[1].split("\r\n")[0]);
				assertThat(retryAfter).isBetween(3000, 8000);
			}
			assertThat(System.nanoTime() - start).isLessThan(2_000_000_000L);
			assertThat(full.receivedRequests().size()).isLessThanOrEqualTo(ALLOWED_REQUESTS);
		}
	}

}
