package org.celeryhill.forward;

import java.io.IOException;
import java.net.ConnectException;
import java.time.Duration;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

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

	// Guards against requests that are read late in a planned stop, because their body
	// was
	// slow, are sent to a server, and are cut without a response at the end of the grace.
	@ParameterizedTest
	@ValueSource(strings = { "/once/x", "/many/x", "/stream/x" })
	void refusesRequestThatIsReadAfterIdleConnectionsAreClosed(String path) throws Exception {
		try (ScriptedServer engine = new ScriptedServer(
				(request, connection) -> connection.respond(request, 200, "signed: s\r\n", "ok"));
				ForwardFixture.RawCaller caller = this.fixture.connect()) {
			this.fixture.addServer("s1", ForwardFixture.PLAIN_SERVICE, engine);
			this.fixture.addServer("e1", ForwardFixture.ENGINE_SERVICE, engine);
			String complete = path.startsWith("/stream") ? ForwardFixture.generateRequest(path, "late")
					: ForwardFixture.postRequest(path, "late", "hi");
			String request = complete.replace("Connection: close\r\n", "");
			caller.send(request.substring(0, request.length() - 1));
			pause(100);
			this.fixture.startDraining();
			this.fixture.stopAccepting();
			this.fixture.closeIdleConnections();
			caller.send(request.substring(request.length() - 1));
			assertThat(caller.readAll()).startsWith("HTTP/1.1 503")
				.contains("retry-after")
				.containsIgnoringCase("connection: close");
			assertThat(engine.receivedRequests()).isEmpty();
		}
	}

	// Guards against a request that is sent to a server although it may not be repeated
	// and the host stops before it can end.
	@Test
	void refusesRequestThatMayNotBeRepeatedIfItCannotEndInTime() throws Exception {
		try (ScriptedServer engine = new ScriptedServer(
				(request, connection) -> connection.respond(request, 200, "signed: s\r\n", "ok"))) {
			this.fixture.addServer("s1", ForwardFixture.PLAIN_SERVICE, engine);
			this.fixture.startStopping(Duration.ofSeconds(5));
			assertThat(send("/once/x", "r1")).startsWith("HTTP/1.1 200");
			this.fixture.startStopping(Duration.ofMillis(600));
			assertThat(send("/once/x", "r2")).startsWith("HTTP/1.1 503").contains("retry-after");
			assertThat(send("/many/x", "r3")).startsWith("HTTP/1.1 200");
			assertThat(engine.receivedRequests()).hasSize(2);
		}
	}

	private String send(String path, String id) throws IOException {
		return this.fixture.sendAndReadAll(ForwardFixture.getRequest(path, id));
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
