package org.celeryhill.forward;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link Forwarder} with backend servers that state in their responses that they
 * are about to end.
 */
@Timeout(20)
class LeavingServerTests {

	private static final int REQUESTS = 12;

	private ForwardFixture fixture;

	private ScriptedServer leaving;

	private ScriptedServer staying;

	@BeforeEach
	void start() throws Exception {
		this.fixture = new ForwardFixture().configure();
		this.staying = new ScriptedServer(
				(request, connection) -> connection.respond(request, 200, "signed: s\r\n", "ok"));
	}

	@AfterEach
	void stop() throws Exception {
		this.leaving.close();
		this.staying.close();
		this.fixture.close();
	}

	private void startLeaving(ScriptedServer.Script script) throws Exception {
		this.leaving = new ScriptedServer(script);
		this.fixture.addServer("s1", ForwardFixture.PLAIN_SERVICE, this.leaving);
	}

	private void sendAll() throws IOException {
		for (int i = 0; i < REQUESTS; i++) {
			assertThat(this.fixture.sendAndReadAll(ForwardFixture.getRequest("/many/x", "r" + i)))
				.startsWith("HTTP/1.1 200");
		}
	}

	// Guards against requests to a server that said that it leaves, while its entry, a
	// newer one, or one that vanished and came back still calls it ready.
	@Test
	void leavingServerGetsNoNewRequests() throws Exception {
		startLeaving((request, connection) -> connection.respond(request, 200, "signed: s\r\nleaving: 1\r\n", "ok"));
		assertThat(this.fixture.sendAndReadAll(ForwardFixture.getRequest("/many/x", "first"))).contains("200");
		this.fixture.addServer("s2", ForwardFixture.PLAIN_SERVICE, this.staying);
		sendAll();
		this.fixture.addServer("s1", ForwardFixture.PLAIN_SERVICE, this.leaving);
		sendAll();
		this.fixture.removeServer("s1");
		this.fixture.addServer("s1", ForwardFixture.PLAIN_SERVICE, this.leaving);
		sendAll();
		assertThat(this.leaving.receivedRequests()).hasSize(1);
		assertThat(this.staying.receivedRequests()).hasSize(3 * REQUESTS);
	}

	// Guards against a restarted server that gets no requests because of what an earlier
	// process said.
	@Test
	void nextIncarnationOfLeavingServerGetsRequests() throws Exception {
		startLeaving((request, connection) -> connection.respond(request, 200, "signed: s\r\nleaving: 1\r\n", "ok"));
		assertThat(this.fixture.sendAndReadAll(ForwardFixture.getRequest("/many/x", "first"))).contains("200");
		this.fixture.putServer("s1", 2, ForwardFixture.PLAIN_SERVICE, this.staying, false);
		sendAll();
		assertThat(this.staying.receivedRequests()).hasSize(REQUESTS);
	}

	// Guards against a refusal or a response that breaks off whose head is not heeded.
	@Test
	void refusalsAndBrokenResponsesCount() throws Exception {
		List<String> heads = List.of("503 Full\r\nnot-run: 1\r\ncontent-length: 0\r\n",
				"200 OK\r\nsigned: s\r\ncontent-length: 5\r\n");
		startLeaving((request, connection) -> {
			connection.send("HTTP/1.1 " + heads.get(0) + "id: " + request.header("id", "") + "\r\nleaving: 1\r\n\r\n");
			throw new IOException("closes the connection");
		});
		this.fixture.addServer("s2", ForwardFixture.PLAIN_SERVICE, this.staying);
		sendAll();
		assertThat(this.leaving.receivedRequests().size()).isLessThanOrEqualTo(1);
		try (ScriptedServer broken = new ScriptedServer((request, connection) -> {
			connection.send("HTTP/1.1 " + heads.get(1) + "id: " + request.header("id", "") + "\r\nleaving: 1\r\n\r\n");
			throw new IOException("closes the connection");
		})) {
			this.fixture.addServer("s3", ForwardFixture.PLAIN_SERVICE, broken);
			sendAll();
			assertThat(broken.receivedRequests().size()).isLessThanOrEqualTo(1);
		}
	}

	// Guards against a stream that is cut because its server leaves, and against a
	// request
	// that waits for its adapter and is sent to that server afterwards.
	@Test
	void streamGoesOnAndWaitingRequestGoesElsewhere() throws Exception {
		List<Consumer<Boolean>> loads = new ArrayList<>();
		this.fixture.setAdapterLoader(loads::add);
		this.leaving = new ScriptedServer((request, connection) -> {
			connection.send("HTTP/1.1 200 OK\r\nid: " + request.header("id", "")
					+ "\r\nsigned: s\r\nleaving: 1\r\ntransfer-encoding: chunked\r\n\r\n");
			connection.sendChunk("id: 1\ndata: a\n\n");
			pause();
			connection.sendChunk("id: 2\ndata: b\n\n");
			connection.endStream();
		});
		this.fixture.addServer("e1", ForwardFixture.ENGINE_SERVICE, this.leaving);
		try (ForwardFixture.RawCaller waiting = this.fixture.connect();
				ForwardFixture.RawCaller streaming = this.fixture.connect();
				ScriptedServer engine = new ScriptedServer((request, connection) -> {
					connection.startStream(request);
					connection.sendChunk("id: 1\ndata: other\n\n");
					connection.endStream();
				})) {
			waiting.send(ForwardFixture.generateRequest("/stream/x", "r1").replace("id:", "adapter: a1\r\nid:"));
			pause();
			streaming.send(ForwardFixture.generateRequest("/stream/x", "r2"));
			assertThat(streaming.readUntil("data: a")).startsWith("HTTP/1.1 200");
			this.fixture.addServer("e2", ForwardFixture.ENGINE_SERVICE, engine);
			assertThat(streaming.readAll()).contains("data: b").endsWith("0\r\n\r\n");
			pause();
			this.fixture.schedule(0, () -> List.copyOf(loads).forEach((load) -> load.accept(true)));
			assertThat(waiting.readAll()).contains("data: other");
			assertThat(this.leaving.receivedRequests()).hasSize(1);
		}
	}

	private static void pause() {
		try {
			Thread.sleep(200);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
