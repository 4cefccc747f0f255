package org.celeryhill.forward;

import java.io.IOException;
import java.time.Duration;
import java.util.Optional;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the relay of event streams.
 */
@Timeout(20)
class StreamForwardTests {

	private ForwardFixture fixture;

	@BeforeEach
	void start() throws Exception {
		this.fixture = new ForwardFixture().configured();
	}

	@AfterEach
	void stop() throws Exception {
		this.fixture.close();
	}

	private static void twoEvents(RawEngine.Received request, RawEngine.Connection connection) throws IOException {
		connection.startStream(request);
		connection.chunk(event(1));
		pause(300);
		connection.chunk(event(2));
		connection.endStream();
	}

	private static String event(int id) {
		return "id: " + id + "\ndata: t" + id + "\n\n";
	}

	// Guards against events that wait for the end of the stream, and against an end
	// without
	// the end of the answer.
	@Test
	void passesEventsAsTheyArrive() throws Exception {
		try (RawEngine engine = new RawEngine(StreamForwardTests::twoEvents);
				ForwardFixture.Caller caller = this.fixture.caller()) {
			this.fixture.add("e1", ForwardFixture.ENGINES, engine);
			long start = System.nanoTime();
			caller.send(ForwardFixture.generate("/stream/x", "r1"));
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

	// Guards against lost, doubled or torn events when an engine breaks off mid-event.
	@Test
	void resumesAtAnotherEngineAfterTheLastWholeEvent() throws Exception {
		RawEngine.Script script = (request, connection) -> {
			int after = Integer.parseInt(request.header("after", "0"));
			connection.startStream(request);
			if (after == 0) {
				connection.chunk(event(1) + event(2) + "id: 3\nda");
				pause(50);
				connection.reset();
			}
			connection.chunk(event(3) + event(4));
			connection.endStream();
		};
		try (RawEngine one = new RawEngine(script); RawEngine two = new RawEngine(script)) {
			this.fixture.add("e1", ForwardFixture.ENGINES, one);
			this.fixture.add("e2", ForwardFixture.ENGINES, two);
			String answer = this.fixture.exchange(ForwardFixture.generate("/resumable/x", "r1"));
			assertThat(answer).containsOnlyOnce("HTTP/1.1 200")
				.containsSubsequence("data: t1", "data: t2", "data: t3", "data: t4")
				.containsOnlyOnce("id: 3")
				.endsWith("0\r\n\r\n");
			assertThat(one.received().size() + two.received().size()).isEqualTo(2);
		}
	}

	// Guards against a broken stream that looks complete, and against a second run of a
	// stream that may not be resumed.
	@Test
	void breaksOffWhatCannotBeResumed() throws Exception {
		RawEngine.Script script = (request, connection) -> {
			connection.startStream(request);
			connection.chunk(event(1));
			pause(50);
			connection.reset();
		};
		try (RawEngine one = new RawEngine(script); RawEngine two = new RawEngine(script)) {
			this.fixture.add("e1", ForwardFixture.ENGINES, one);
			this.fixture.add("e2", ForwardFixture.ENGINES, two);
			String answer = this.fixture.exchange(ForwardFixture.generate("/stream/x", "r1"));
			assertThat(answer).contains("data: t1").doesNotContain("0\r\n\r\n");
			assertThat(one.received().size() + two.received().size()).isEqualTo(1);
		}
	}

	// Guards against a stream that its engine ended cleanly but within an event.
	@Test
	void takesAnEndWithinAnEventForABreak() throws Exception {
		try (RawEngine engine = new RawEngine((request, connection) -> {
			connection.startStream(request);
			connection.chunk(event(1) + "id: 2\ndata");
			connection.endStream();
		})) {
			this.fixture.add("e1", ForwardFixture.ENGINES, engine);
			assertThat(this.fixture.exchange(ForwardFixture.generate("/stream/x", "r1"))).contains("data: t1")
				.doesNotContain("0\r\n\r\n")
				.doesNotContain("id: 2");
		}
	}

	// Guards against engines that work for callers that have gone, before the first event
	// and after it.
	@Test
	void stopsTheEngineWhenTheCallerLeaves() throws Exception {
		try (RawEngine engine = new RawEngine((request, connection) -> {
			if (request.header("id", "").equals("late")) {
				connection.startStream(request);
				connection.chunk(event(1));
			}
			connection.awaitClose();
		})) {
			this.fixture.add("e1", ForwardFixture.ENGINES, engine);
			for (String id : new String[] { "early", "late" }) {
				try (ForwardFixture.Caller caller = this.fixture.caller()) {
					caller.send(ForwardFixture.generate("/stream/x", id));
					pause(200);
				}
				assertThat(engine.awaitClose(500)).as(id).isEqualTo("closed");
			}
			assertThat(this.fixture.activeCount()).isZero();
		}
	}

	// Guards against a request that waits for a model which no engine holds and is
	// neither
	// sent nor refused when its time is over.
	@Test
	void refusesWhatNoEngineCouldServe() throws Exception {
		this.fixture.forecast((model) -> Optional.of(Duration.ofMillis(100)));
		String request = "POST /stream/x HTTP/1.1\r\nHost: a.example\r\nid: r1\r\nmodel: m1\r\ndeadline: 300\r\n"
				+ "Connection: close\r\nContent-Length: 0\r\n\r\n";
		assertThat(this.fixture.exchange(request)).startsWith("HTTP/1.1 503").contains("retry-after");
	}

	// Guards against requests that wait to their end for a model that nobody loads, and
	// against the refusal of those that a load under way will serve in time (worth held
	// to
	// the end: 355 on scale-2 of fvbc-rag).
	@Test
	void refusesAtOnceWhatNoEngineLoadsInTime() throws Exception {
		long start = System.nanoTime();
		assertThat(this.fixture.exchange(ForwardFixture.generate("/stream/x", "r1"))).startsWith("HTTP/1.1 503")
			.contains("retry-after: 2500");
		assertThat(System.nanoTime() - start).isLessThan(400_000_000L);
		this.fixture.forecast((model) -> Optional.of(Duration.ofMillis(300)));
		try (RawEngine engine = new RawEngine((request, connection) -> {
			connection.startStream(request);
			connection.chunk(event(1));
			connection.endStream();
		}); ForwardFixture.Caller caller = this.fixture.caller()) {
			this.fixture.put("e0", ForwardFixture.ENGINES, engine, true);
			caller.send(ForwardFixture.generate("/stream/x", "r2"));
			pause(200);
			this.fixture.add("e1", ForwardFixture.ENGINES, engine);
			assertThat(caller.readAll()).startsWith("HTTP/1.1 200").endsWith("0\r\n\r\n");
		}
	}

	// Guards against a request that is taken seconds after SIGTERM on the connection of a
	// stream that began before and ends then.
	@Test
	void takesNoRequestBehindAStreamOnceIdleConnectionsAreClosed() throws Exception {
		try (RawEngine engine = new RawEngine(StreamForwardTests::twoEvents);
				ForwardFixture.Caller caller = this.fixture.caller()) {
			this.fixture.add("e1", ForwardFixture.ENGINES, engine);
			caller.send(ForwardFixture.generate("/stream/x", "r1").replace("Connection: close\r\n", ""));
			assertThat(caller.readUntil("data: t1")).startsWith("HTTP/1.1 200").doesNotContainIgnoringCase("close");
			this.fixture.startStopping();
			this.fixture.closeIdle();
			assertThat(caller.readAll()).contains("data: t2").endsWith("0\r\n\r\n");
		}
	}

	// Guards against a request that is sent after it was put back in the queue, as its
	// adapter was said to be missing and then to be loaded after all: its engine answered
	// on a connection that had its final answer.
	@Test
	void ignoresAnAdapterThatIsLoadedTooLate() throws Exception {
		try (RawEngine engine = new RawEngine(StreamForwardTests::twoEvents)) {
			this.fixture.add("e1", ForwardFixture.ENGINES, engine);
			this.fixture.loadAdapters((done) -> {
				this.fixture.retire("e1");
				done.accept(false);
				this.fixture.later(100, () -> done.accept(true));
			});
			String request = ForwardFixture.generate("/stream/x", "r1").replace("id: r1", "id: r1\r\nadapter: a1");
			assertThat(this.fixture.exchange(request)).startsWith("HTTP/1.1 503");
			pause(300);
			assertThat(engine.received()).isEmpty();
		}
	}

}
