package org.celeryhill.forward;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link Forwarder} with engines that send events without pause.
 */
@Timeout(60)
class FloodedStreamTests {

	private static final int STREAMS = 40;

	private static final int STREAMS_PER_ENGINE = 4;

	private static final int EVENTS = 1000;

	/** One chunk for each event. */
	private static final String SMALL_EVENTS = "9\r\ndata: 1\n\n\r\n".repeat(EVENTS);

	private static final long MAX_STREAM_BYTES = 1L << 30;

	private static final int SOUND_REQUESTS = 10;

	/** Target latency of the route of the sound requests. */
	private static final long TARGET_LATENCY_MS = 500;

	private final List<Thread> readers = new ArrayList<>();

	private ForwardFixture fixture;

	@BeforeEach
	void start() throws Exception {
		this.fixture = new ForwardFixture().configure();
	}

	@AfterEach
	void stop() throws Exception {
		this.fixture.close();
		for (Thread reader : this.readers) {
			reader.join(TimeUnit.SECONDS.toMillis(10));
		}
	}

	private void startStream(String id) {
		Thread reader = new Thread(() -> {
			try {
				this.fixture.sendAndReadAll(ForwardFixture.generateRequest("/stream/x", id));
			}
			catch (IOException ex) {
				// The fixture closed the connection.
			}
		});
		reader.setDaemon(true);
		reader.start();
		this.readers.add(reader);
	}

	// Guards against a host that serves nobody else while an engine sends small events as
	// fast as it can.
	@Test
	void soundRequestsAreServedBesideStreamsWithoutPause() throws Exception {
		try (ScriptedServer flooding = new ScriptedServer((request, connection) -> {
			connection.startStream(request);
			connection.sendUntilClosed(SMALL_EVENTS, MAX_STREAM_BYTES);
		});
				ScriptedServer sound = new ScriptedServer(
						(request, connection) -> connection.respond(request, 200, "signed: s\r\n", "sound"))) {
			for (int i = 0; i < STREAMS / STREAMS_PER_ENGINE; i++) {
				this.fixture.addServer("e" + i, ForwardFixture.ENGINE_SERVICE, flooding);
			}
			this.fixture.addServer("s1", ForwardFixture.PLAIN_SERVICE, sound);
			for (int i = 0; i < STREAMS; i++) {
				startStream("stream-" + i);
			}
			Thread.sleep(TARGET_LATENCY_MS);
			long startNanos = System.nanoTime();
			for (int i = 0; i < SOUND_REQUESTS; i++) {
				assertThat(this.fixture.sendAndReadAll(ForwardFixture.getRequest("/many/x", "r" + i)))
					.endsWith("sound");
			}
			long meanMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos) / SOUND_REQUESTS;
			assertThat(meanMillis).isLessThan(TARGET_LATENCY_MS);
		}
	}

	// Guards against a write and a flush for each small event: events that arrive
	// together are passed on in one chunk.
	@Test
	void smallEventsAreJoinedIntoOneWrite() throws Exception {
		try (ScriptedServer engine = new ScriptedServer((request, connection) -> {
			connection.startStream(request);
			connection.send(SMALL_EVENTS + "0\r\n\r\n");
		})) {
			this.fixture.addServer("e1", ForwardFixture.ENGINE_SERVICE, engine);
			String response = this.fixture.sendAndReadAll(ForwardFixture.generateRequest("/stream/x", "r1"));
			assertThat(response).endsWith("data: 1\n\n\r\n0\r\n\r\n");
			assertThat(response.split("data: 1\n\n", -1)).hasSize(EVENTS + 1);
			assertThat(response.split("\r\n[0-9a-f]+\r\n", -1)).hasSizeLessThan(EVENTS / 10);
		}
	}

}
