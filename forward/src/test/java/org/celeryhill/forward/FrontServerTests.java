package org.celeryhill.forward;

import java.net.ConnectException;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Tests of the graceful stop of the server for callers.
 */
@Timeout(20)
class FrontServerTests {

	private ForwardFixture fixture;

	@BeforeEach
	void start() throws Exception {
		this.fixture = new ForwardFixture().configured();
	}

	@AfterEach
	void stop() throws Exception {
		this.fixture.close();
	}

	// Guards against requests that are taken so late in a stop that they are broken off
	// (LOST on trouble-2 of fvbc-rag: a request came 6.4 s after SIGTERM on an idle
	// connection), and against running requests that the stop breaks off.
	@Test
	void closesIdleConnectionsAndFinishesRunningRequests() throws Exception {
		try (RawEngine engine = new RawEngine((request, connection) -> {
			if (request.header("id", "").equals("slow")) {
				pause(500);
			}
			connection.answer(request, 200, "signed: s\r\n", "ok");
		}); ForwardFixture.Caller idle = this.fixture.caller(); ForwardFixture.Caller busy = this.fixture.caller()) {
			this.fixture.add("s1", ForwardFixture.PLAIN, engine);
			String kept = ForwardFixture.get("/many/x", "first").replace("Connection: close\r\n", "");
			idle.send(kept);
			assertThat(idle.readUntil("ok")).startsWith("HTTP/1.1 200");
			busy.send(kept.replace("first", "slow"));
			pause(100);
			this.fixture.startStopping();
			this.fixture.closeIdle();
			assertThat(idle.readAll()).isEmpty();
			assertThat(busy.readAll()).startsWith("HTTP/1.1 200").containsIgnoringCase("connection: close");
			assertThatExceptionOfType(ConnectException.class).isThrownBy(() -> this.fixture.caller());
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
