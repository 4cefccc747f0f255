package org.celeryhill.forward;

import java.net.ConnectException;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Tests for the graceful shutdown of {@link IngressServer}.
 */
@Timeout(20)
class IngressServerTests {

	private ForwardFixture fixture;

	@BeforeEach
	void start() throws Exception {
		this.fixture = new ForwardFixture().configure();
	}

	@AfterEach
	void stop() throws Exception {
		this.fixture.close();
	}

	// Guards against requests that are accepted late in a shutdown and then aborted: in
	// scenario trouble-2 of fvbc-rag, a request that arrived on an idle connection 6.4 s
	// after SIGTERM was lost. Also guards against a shutdown that aborts active requests.
	@Test
	void closesIdleConnectionsAndCompletesActiveRequests() throws Exception {
		try (ScriptedServer engine = new ScriptedServer((request, connection) -> {
			if (request.header("id", "").equals("slow")) {
				pause(500);
			}
			connection.respond(request, 200, "signed: s\r\n", "ok");
		});
				ForwardFixture.RawCaller idleCaller = this.fixture.connect();
				ForwardFixture.RawCaller busyCaller = this.fixture.connect()) {
			this.fixture.addServer("s1", ForwardFixture.PLAIN_SERVICE, engine);
			String keepAliveRequest = ForwardFixture.getRequest("/many/x", "first")
				.replace("Connection: close\r\n", "");
			idleCaller.send(keepAliveRequest);
			assertThat(idleCaller.readUntil("ok")).startsWith("HTTP/1.1 200");
			busyCaller.send(keepAliveRequest.replace("first", "slow"));
			pause(100);
			this.fixture.startDraining();
			this.fixture.closeIdleConnections();
			assertThat(idleCaller.readAll()).isEmpty();
			assertThat(busyCaller.readAll()).startsWith("HTTP/1.1 200").containsIgnoringCase("connection: close");
			assertThatExceptionOfType(ConnectException.class).isThrownBy(() -> this.fixture.connect());
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

}
