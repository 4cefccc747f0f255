package org.celeryhill.forward;

import java.io.IOException;
import java.time.Duration;
import java.util.Optional;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link Forwarder} with event streams.
 */
@Timeout(20)
class StreamForwardTests {

	private ForwardFixture fixture;

	@BeforeEach
	void start() throws Exception {
		this.fixture = new ForwardFixture().configure();
	}

	@AfterEach
	void stop() throws Exception {
		this.fixture.close();
	}

	private static void sendTwoEvents(ScriptedServer.ReceivedRequest request, ScriptedServer.Connection connection)
			throws IOException {
		connection.startStream(request);
		connection.sendChunk(eventText(1));
		pause(300);
		connection.sendChunk(eventText(2));
		connection.endStream();
	}

	private static String eventText(int id) {
		return "id: " + id + "\ndata: t" + id + "\n\n";
	}

	// Guards against events that are buffered until the stream ends, and against a
	// response that is not terminated after the last event.
	@Test
	void forwardsEventsAsTheyArrive() throws Exception {
		try (ScriptedServer engine = new ScriptedServer(StreamForwardTests::sendTwoEvents);
				ForwardFixture.RawCaller caller = this.fixture.connect()) {
			this.fixture.addServer("e1", ForwardFixture.ENGINE_SERVICE, engine);
			long start = System.nanoTime();
			caller.send(ForwardFixture.generateRequest("/stream/x", "r1"));
			assertThat(caller.readUntil("data: t1")).contains("signed: s");
			assertThat(System.nanoTime() - start).isLessThan(250_000_000L);
			assertThat(caller.readAll()).contains("data: t2").endsWith("0\r\n\r\n");
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

	// Guards against lost, duplicate or partial events if an engine fails mid-event.
	@Test
	void resumesOnAnotherEngineAfterLastCompleteEvent() throws Exception {
		ScriptedServer.Script script = (request, connection) -> {
			int after = Integer.parseInt(request.header("after", "0"));
			connection.startStream(request);
			if (after == 0) {
				connection.sendChunk(eventText(1) + eventText(2) + "id: 3\nda");
				pause(50);
				connection.reset();
			}
			connection.sendChunk(eventText(3) + eventText(4));
			connection.endStream();
		};
		try (ScriptedServer firstEngine = new ScriptedServer(script);
				ScriptedServer secondEngine = new ScriptedServer(script)) {
			this.fixture.addServer("e1", ForwardFixture.ENGINE_SERVICE, firstEngine);
			this.fixture.addServer("e2", ForwardFixture.ENGINE_SERVICE, secondEngine);
			String response = this.fixture.sendAndReadAll(ForwardFixture.generateRequest("/resumable/x", "r1"));
			assertThat(response).containsOnlyOnce("HTTP/1.1 200")
				.containsSubsequence("data: t1", "data: t2", "data: t3", "data: t4")
				.containsOnlyOnce("id: 3")
				.endsWith("0\r\n\r\n");
			assertThat(firstEngine.receivedRequests().size() + secondEngine.receivedRequests().size()).isEqualTo(2);
		}
	}

	// Guards against an aborted stream that looks complete, and against a second
	// execution of a stream that may not be resumed.
	@Test
	void abortsNonResumableStreamWhenEngineFails() throws Exception {
		ScriptedServer.Script script = (request, connection) -> {
			connection.startStream(request);
			connection.sendChunk(eventText(1));
			pause(50);
			connection.reset();
		};
		try (ScriptedServer firstEngine = new ScriptedServer(script);
				ScriptedServer secondEngine = new ScriptedServer(script)) {
			this.fixture.addServer("e1", ForwardFixture.ENGINE_SERVICE, firstEngine);
			this.fixture.addServer("e2", ForwardFixture.ENGINE_SERVICE, secondEngine);
			String response = this.fixture.sendAndReadAll(ForwardFixture.generateRequest("/stream/x", "r1"));
			assertThat(response).contains("data: t1").doesNotContain("0\r\n\r\n");
			assertThat(firstEngine.receivedRequests().size() + secondEngine.receivedRequests().size()).isEqualTo(1);
		}
	}

	// Guards against a stream that looks complete although it ended within an event.
	@Test
	void abortsStreamThatEndsWithinEvent() throws Exception {
		try (ScriptedServer engine = new ScriptedServer((request, connection) -> {
			connection.startStream(request);
			connection.sendChunk(eventText(1) + "id: 2\ndata");
			connection.endStream();
		})) {
			this.fixture.addServer("e1", ForwardFixture.ENGINE_SERVICE, engine);
			assertThat(this.fixture.sendAndReadAll(ForwardFixture.generateRequest("/stream/x", "r1")))
				.contains("data: t1")
				.doesNotContain("0\r\n\r\n")
				.doesNotContain("id: 2");
		}
	}

	private String readUnframedStream(String end) throws Exception {
		this.fixture.configure();
		try (ScriptedServer engine = new ScriptedServer((request, connection) -> {
			connection.send("HTTP/1.1 200 OK\r\nid: " + request.header("id", "") + "\r\nsigned: s\r\n\r\n");
			boolean isReset = end.equals("reset");
			connection.send("id: 1\ndata: a\n\nid: 2\ndata: b\n\n" + (isReset ? "" : end));
			pause(100);
			if (isReset) {
				connection.reset();
			}
			connection.socket().close();
		})) {
			this.fixture.addServer("e1", ForwardFixture.ENGINE_SERVICE, engine);
			return this.fixture.sendAndReadAll(ForwardFixture.generateRequest("/stream/x", "r1"));
		}
	}

	// Guards against a stream without length and chunks that is taken for broken though
	// it
	// ended with its connection.
	@Test
	void forwardsStreamDelimitedByConnectionClose() throws Exception {
		assertThat(readUnframedStream("")).contains("data: a", "data: b").endsWith("0\r\n\r\n");
	}

	// Guards against a stream without length and chunks that looks complete although its
	// connection ended within an event or was reset.
	@ParameterizedTest
	@ValueSource(strings = { "id: 3\ndata: c", "reset" })
	void abortsStreamDelimitedByConnectionCloseThatBreaks(String end) throws Exception {
		assertThat(readUnframedStream(end)).contains("data: a").doesNotEndWith("0\r\n\r\n");
	}

	// Guards against engines that work for a caller which disconnected, whether before or
	// after the first event.
	@Test
	void cancelsRequestAtEngineWhenCallerDisconnects() throws Exception {
		try (ScriptedServer engine = new ScriptedServer((request, connection) -> {
			if (request.header("id", "").equals("late")) {
				connection.startStream(request);
				connection.sendChunk(eventText(1));
			}
			connection.awaitClientClose();
		})) {
			this.fixture.addServer("e1", ForwardFixture.ENGINE_SERVICE, engine);
			for (String id : new String[] { "early", "late" }) {
				try (ForwardFixture.RawCaller caller = this.fixture.connect()) {
					caller.send(ForwardFixture.generateRequest("/stream/x", id));
					pause(200);
				}
				assertThat(engine.pollCloseEvent(500)).as(id).isEqualTo("closed");
			}
			assertThat(this.fixture.activeCount()).isZero();
		}
	}

	// Guards against a request that waits for a model which is loaded on no engine, and
	// gets no response when its deadline has passed.
	@Test
	void refusesQueuedRequestAtDeadlineIfModelIsNotLoaded() throws Exception {
		this.fixture.setPlacementForecast((model) -> Optional.of(Duration.ofMillis(100)));
		String request = "POST /stream/x HTTP/1.1\r\nHost: a.example\r\nid: r1\r\nmodel: m1\r\ndeadline: 300\r\n"
				+ "Connection: close\r\nContent-Length: 0\r\n\r\n";
		assertThat(this.fixture.sendAndReadAll(request)).startsWith("HTTP/1.1 503").contains("retry-after");
	}

	// Guards against requests that wait until their deadline for a model which no engine
	// loads (a total request value of 355 in scenario scale-2 of fvbc-rag), and against
	// refusing requests that a load in progress will serve in time.
	@Test
	void refusesImmediatelyIfModelWillNotBeReadyInTime() throws Exception {
		long start = System.nanoTime();
		assertThat(this.fixture.sendAndReadAll(ForwardFixture.generateRequest("/stream/x", "r1")))
			.startsWith("HTTP/1.1 503")
			.contains("retry-after: 2500");
		assertThat(System.nanoTime() - start).isLessThan(400_000_000L);
		this.fixture.setPlacementForecast((model) -> Optional.of(Duration.ofMillis(300)));
		try (ScriptedServer engine = new ScriptedServer((request, connection) -> {
			connection.startStream(request);
			connection.sendChunk(eventText(1));
			connection.endStream();
		}); ForwardFixture.RawCaller caller = this.fixture.connect()) {
			this.fixture.putServer("e0", ForwardFixture.ENGINE_SERVICE, engine, true);
			caller.send(ForwardFixture.generateRequest("/stream/x", "r2"));
			pause(200);
			this.fixture.addServer("e1", ForwardFixture.ENGINE_SERVICE, engine);
			assertThat(caller.readAll()).startsWith("HTTP/1.1 200").endsWith("0\r\n\r\n");
		}
	}

	// Guards against requests that are held until the latest time to start them and then
	// refused, although it was known that the model would be ready after that time.
	@Test
	void refusesImmediatelyIfModelWillBeReadyAfterLatestStart() throws Exception {
		this.fixture.setPlacementForecast((model) -> Optional.of(Duration.ofMillis(1100)));
		try (ScriptedServer engine = new ScriptedServer(StreamForwardTests::sendTwoEvents)) {
			this.fixture.putServer("e0", ForwardFixture.ENGINE_SERVICE, engine, true);
			long start = System.nanoTime();
			assertThat(this.fixture.sendAndReadAll(ForwardFixture.generateRequest("/stream/x", "r1")))
				.startsWith("HTTP/1.1 503")
				.contains("retry-after: 1100");
			assertThat(System.nanoTime() - start).isLessThan(400_000_000L);
		}
	}

	// Guards against a request that is accepted seconds after SIGTERM on the connection
	// of a stream that started before SIGTERM and ended after it.
	@Test
	void closesConnectionAfterStreamOnceIdleConnectionsAreClosed() throws Exception {
		try (ScriptedServer engine = new ScriptedServer(StreamForwardTests::sendTwoEvents);
				ForwardFixture.RawCaller caller = this.fixture.connect()) {
			this.fixture.addServer("e1", ForwardFixture.ENGINE_SERVICE, engine);
			caller.send(ForwardFixture.generateRequest("/stream/x", "r1").replace("Connection: close\r\n", ""));
			assertThat(caller.readUntil("data: t1")).startsWith("HTTP/1.1 200").doesNotContainIgnoringCase("close");
			this.fixture.startDraining();
			this.fixture.closeIdleConnections();
			assertThat(caller.readAll()).contains("data: t2").endsWith("0\r\n\r\n");
		}
	}

	// Guards against a request that is sent although it was queued again. The adapter
	// loader reported first that the adapter was not loaded and later that it was; the
	// engine then wrote to a connection that already had its final response.
	@Test
	void ignoresAdapterLoadResultAfterRequestWasQueuedAgain() throws Exception {
		try (ScriptedServer engine = new ScriptedServer(StreamForwardTests::sendTwoEvents)) {
			this.fixture.addServer("e1", ForwardFixture.ENGINE_SERVICE, engine);
			this.fixture.setAdapterLoader((callback) -> {
				this.fixture.retireModel("e1");
				callback.accept(false);
				this.fixture.schedule(100, () -> callback.accept(true));
			});
			String request = ForwardFixture.generateRequest("/stream/x", "r1")
				.replace("id: r1", "id: r1\r\nadapter: a1");
			assertThat(this.fixture.sendAndReadAll(request)).startsWith("HTTP/1.1 503");
			pause(300);
			assertThat(engine.receivedRequests()).isEmpty();
		}
	}

}
