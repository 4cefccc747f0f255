package org.celeryhill.forward;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link IngressServer} with callers that send requests slowly.
 */
@Timeout(60)
class SlowRequestTests {

	private static final int SLOW_CALLERS = 200;

	private static final int SOUND_CALLS = 50;

	/** More than the buffers of the system take. */
	private static final int LONG_BYTES = 12_000_000;

	/** Longer than a test, so that nothing else closes a connection. */
	private static final Duration LONG_TIME = Duration.ofMinutes(5);

	private static final Duration SHORT_TIME = Duration.ofMillis(300);

	private static final Duration ROUTE_TIMEOUT = Duration.ofSeconds(20);

	/** Time within which a connection past a limit of 0.3 s is closed. */
	private static final long CLOSE_TIME_NANOS = TimeUnit.SECONDS.toNanos(10);

	private static final String HEAD_START = "GET /many/x HTTP/1.1\r\nHost: a.example\r\nslow: ";

	private ForwardFixture fixture;

	private ScriptedServer server;

	@BeforeEach
	void start() throws Exception {
		this.fixture = new ForwardFixture();
		this.server = new ScriptedServer((request, connection) -> {
			boolean isLong = request.line().startsWith("GET /many/long");
			connection.respond(request, 200, "signed: s\r\n", isLong ? "x".repeat(LONG_BYTES) : "ok");
		});
	}

	@AfterEach
	void stop() throws Exception {
		this.fixture.close();
		this.server.close();
	}

	private void configure(Duration headerTimeout, Duration idleTimeout) throws Exception {
		this.fixture.configure(ROUTE_TIMEOUT, new IngressLimits(16_384, 4_194_304, headerTimeout, idleTimeout));
		this.fixture.addServer("s1", ForwardFixture.PLAIN_SERVICE, this.server);
	}

	private static String keepAlive(String request) {
		return request.replace("Connection: close\r\n", "");
	}

	private List<ForwardFixture.RawCaller> connectSlowCallers(String start) throws IOException {
		List<ForwardFixture.RawCaller> callers = new ArrayList<>();
		for (int i = 0; i < SLOW_CALLERS; i++) {
			callers.add(this.fixture.connect());
			callers.get(i).send(start);
		}
		return callers;
	}

	// Sends a byte to each connection now and then until all are closed. Returns how many
	// are still open after the time within which they have to be closed.
	private static int trickle(List<ForwardFixture.RawCaller> callers) {
		List<ForwardFixture.RawCaller> open = new ArrayList<>(callers);
		long end = System.nanoTime() + CLOSE_TIME_NANOS;
		while (!open.isEmpty() && System.nanoTime() < end) {
			open.removeIf((caller) -> !isByteTaken(caller));
			pause(20);
		}
		return open.size();
	}

	private static boolean isByteTaken(ForwardFixture.RawCaller caller) {
		try {
			caller.send("a");
			return true;
		}
		catch (IOException ex) {
			return false;
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

	private void assertSoundCallersAreServed() throws IOException {
		for (int i = 0; i < SOUND_CALLS; i++) {
			assertThat(this.fixture.sendAndReadAll(ForwardFixture.getRequest("/many/x", "sound" + i)))
				.startsWith("HTTP/1.1 200")
				.endsWith("ok");
		}
	}

	private void assertSlowCallersAreClosed(String start) throws Exception {
		this.fixture.startClosingExpiredConnections();
		List<ForwardFixture.RawCaller> callers = connectSlowCallers(start);
		CompletableFuture<Integer> open = CompletableFuture.supplyAsync(() -> trickle(callers));
		assertSoundCallersAreServed();
		assertThat(open.get()).isZero();
		assertSoundCallersAreServed();
		for (ForwardFixture.RawCaller caller : callers) {
			caller.close();
		}
	}

	// Guards against callers that keep connections with heads that never end.
	@Test
	void connectionsWithSlowHeadsAreClosed() throws Exception {
		configure(SHORT_TIME, LONG_TIME);
		assertSlowCallersAreClosed(HEAD_START);
	}

	// Guards against callers that keep connections with bodies that never end.
	@Test
	void connectionsWithSlowBodiesAreClosed() throws Exception {
		configure(LONG_TIME, SHORT_TIME);
		assertSlowCallersAreClosed(
				"POST /many/x HTTP/1.1\r\nHost: a.example\r\nid: r1\r\nContent-Length: 100000\r\n\r\n");
	}

	// Guards against a limit on the time of a head that also holds for the time between
	// two requests, or for that of a body.
	@Test
	void connectionIsIdleLongerThanHeadMayTake() throws Exception {
		configure(SHORT_TIME, LONG_TIME);
		this.fixture.startClosingExpiredConnections();
		String request = keepAlive(ForwardFixture.postRequest("/many/x", "r", "body"));
		int headLength = request.indexOf("\r\n\r\n") + 4;
		try (ForwardFixture.RawCaller caller = this.fixture.connect()) {
			for (int i = 0; i < 2; i++) {
				pause(4 * SHORT_TIME.toMillis());
				// An empty line before a request is no start of its head.
				caller.send("\r\n");
				pause(4 * SHORT_TIME.toMillis());
				caller.send(request.substring(0, headLength));
				pause(4 * SHORT_TIME.toMillis());
				caller.send(request.substring(headLength));
				assertThat(caller.readUntil("ok")).startsWith("HTTP/1.1 200");
			}
		}
	}

	// Guards against connections without requests that are kept for ever.
	@Test
	void connectionsWithoutRequestsAreClosed() throws Exception {
		configure(LONG_TIME, SHORT_TIME);
		this.fixture.startClosingExpiredConnections();
		try (ForwardFixture.RawCaller unused = this.fixture.connect();
				ForwardFixture.RawCaller used = this.fixture.connect()) {
			used.send(keepAlive(ForwardFixture.getRequest("/many/x", "r")));
			assertThat(used.readAll()).startsWith("HTTP/1.1 200").endsWith("ok");
			assertThat(unused.readAll()).isEmpty();
		}
	}

	// Guards against a response that is kept for ever for a caller that takes nothing.
	@Test
	void connectionOfCallerThatTakesNothingIsClosed() throws Exception {
		configure(LONG_TIME, SHORT_TIME);
		this.fixture.startClosingExpiredConnections();
		try (ForwardFixture.RawCaller caller = this.fixture.connectWithSmallBuffer()) {
			caller.send(ForwardFixture.getRequest("/many/long", "r"));
			long end = System.nanoTime() + CLOSE_TIME_NANOS;
			while (this.server.receivedRequests().isEmpty() && System.nanoTime() < end) {
				pause(10);
			}
			while (isResponseKept() && System.nanoTime() < end) {
				pause(10);
			}
			assertThat(isResponseKept()).isFalse();
			assertThat(this.fixture.bufferedBytes()).isZero();
		}
	}

	private boolean isResponseKept() throws Exception {
		return this.fixture.activeCount() > 0 || this.fixture.isWritingResponses();
	}

	// Guards against a head that is cut because its connection was idle before it.
	@Test
	void headMayTakeItsTimeOnConnectionThatWasIdle() throws Exception {
		configure(LONG_TIME, Duration.ofSeconds(2));
		this.fixture.startClosingExpiredConnections();
		String request = keepAlive(ForwardFixture.getRequest("/many/x", "r"));
		try (ForwardFixture.RawCaller caller = this.fixture.connect()) {
			for (int i = 0; i < 30; i++) {
				caller.send(request.substring(i, i + 1));
				pause(100);
			}
			caller.send(request.substring(30));
			assertThat(caller.readUntil("ok")).startsWith("HTTP/1.1 200");
		}
	}

	// Guards against sound callers that are cut because this process was paused, before
	// it has read what they had sent in time.
	@Test
	void requestThatWasSentDuringPauseIsAnswered() throws Exception {
		configure(SHORT_TIME, SHORT_TIME);
		String request = keepAlive(ForwardFixture.getRequest("/many/x", "r"));
		try (ForwardFixture.RawCaller idle = this.fixture.connect();
				ForwardFixture.RawCaller inHead = this.fixture.connect()) {
			idle.send(request);
			assertThat(idle.readUntil("ok")).startsWith("HTTP/1.1 200");
			inHead.send(request);
			assertThat(inHead.readUntil("ok")).startsWith("HTTP/1.1 200");
			inHead.send(request.substring(0, 20));
			this.fixture.awaitReadOfSentBytes();
			CountDownLatch isPaused = new CountDownLatch(1);
			CompletableFuture<Void> pause = CompletableFuture.runAsync(() -> freeze(isPaused));
			isPaused.await();
			idle.send(request);
			inHead.send(request.substring(20));
			pause.get();
			this.fixture.startClosingExpiredConnections();
			assertThat(idle.readUntil("ok")).startsWith("HTTP/1.1 200");
			assertThat(inHead.readUntil("ok")).startsWith("HTTP/1.1 200");
		}
	}

	private void freeze(CountDownLatch isPaused) {
		try {
			this.fixture.freeze(SHORT_TIME.multipliedBy(4), isPaused::countDown);
		}
		catch (Exception ex) {
			throw new IllegalStateException(ex);
		}
	}

}
