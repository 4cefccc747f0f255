package org.celeryhill.forward;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

import org.celeryhill.base.KnownRedCondition;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.ExtendWith;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link Forwarder} with engines that end when they work on a certain part of a
 * prompt.
 */
@Timeout(30)
@ExtendWith(KnownRedCondition.class)
class PromptCrashTests {

	private static final int ENGINES = 12;

	/** Engines that may end before the part has to be known. */
	private static final int ALLOWED_CRASHES = 5;

	private static final String DEADLY_PART = "66";

	private final AtomicInteger crashCount = new AtomicInteger();

	private final AtomicInteger deadlyRequests = new AtomicInteger();

	private final List<ScriptedServer> engines = new ArrayList<>();

	private ForwardFixture fixture;

	@BeforeEach
	void start() throws Exception {
		this.fixture = new ForwardFixture();
		this.fixture.configure();
		for (int i = 0; i < ENGINES; i++) {
			ScriptedServer[] self = new ScriptedServer[1];
			self[0] = new ScriptedServer((request, connection) -> respondOrCrash(self[0], request, connection));
			this.engines.add(self[0]);
			this.fixture.addServer("s" + i, ForwardFixture.ENGINE_SERVICE, self[0]);
		}
	}

	@AfterEach
	void stop() throws Exception {
		for (ScriptedServer engine : this.engines) {
			engine.close();
		}
		this.fixture.close();
	}

	private void respondOrCrash(ScriptedServer self, ScriptedServer.ReceivedRequest request,
			ScriptedServer.Connection connection) throws IOException {
		if (List.of(request.header("prompt", "").split(",")).contains(DEADLY_PART)) {
			this.deadlyRequests.incrementAndGet();
			this.crashCount.incrementAndGet();
			self.crash();
			return;
		}
		connection.startStream(request);
		connection.sendChunk("id: 1\ndata: a\n\n");
		connection.endStream();
	}

	private String send(int number, String sharedParts) throws IOException {
		return this.fixture
			.sendAndReadAll(ForwardFixture.promptRequest("/resumable/x", "r" + number, sharedParts + "," + number));
	}

	// Guards against requests that end one engine after the other because they have a
	// part of their prompt in common, and against the refusal of requests that share only
	// the other parts.
	@Test
	void partThatEndsEnginesIsKeptFromFurtherEngines() throws Exception {
		for (int i = 0; i < 20; i++) {
			send(1000 + i, "11,22," + DEADLY_PART);
			Thread.sleep(120);
			assertThat(send(2000 + i, "11,22")).startsWith("HTTP/1.1 200");
			assertThat(send(3000 + i, "11,33")).startsWith("HTTP/1.1 200");
		}
		assertThat(this.crashCount.get()).isLessThanOrEqualTo(ALLOWED_CRASHES);
		String refused = send(4000, "44," + DEADLY_PART);
		assertThat(refused).startsWith("HTTP/1.1 503").contains("retry-after");
		assertThat(this.deadlyRequests.get()).isLessThanOrEqualTo(ALLOWED_CRASHES);
	}

	// Guards against a quarantine of the prompts of requests that happen to be in flight
	// when engines end for another reason.
	@Test
	void sharedPartIsServedAfterUnrelatedCrashes() throws Exception {
		for (int i = 0; i < 8; i++) {
			assertThat(send(1000 + i, "11,22")).startsWith("HTTP/1.1 200");
			this.engines.get(i).crash();
			Thread.sleep(120);
			assertThat(send(2000 + i, "11,22")).startsWith("HTTP/1.1 200");
		}
	}

	// Guards against whole responses that do not tell for the parts of their prompts, so
	// that requests in flight when servers end for another reason come into quarantine.
	@Test
	void wholeResponseTellsForItsPrompt() throws Exception {
		for (int i = 0; i < 8; i++) {
			ScriptedServer[] self = new ScriptedServer[1];
			self[0] = new ScriptedServer((request, connection) -> {
				if (request.header("id", "").startsWith("r9")) {
					self[0].crash();
					return;
				}
				connection.respond(request, 200, "signed: s\r\n", "ok");
			});
			this.engines.add(self[0]);
			this.fixture.addServer("p" + i, ForwardFixture.PLAIN_SERVICE, self[0]);
		}
		for (int i = 0; i < 4; i++) {
			assertThat(sendPlain("r1" + i, "11,22,5")).startsWith("HTTP/1.1 200");
			assertThat(sendPlain("r9" + i, "11,22,6" + i)).startsWith("HTTP/1.1 502");
			Thread.sleep(120);
		}
		assertThat(sendPlain("r2", "11,22,5")).startsWith("HTTP/1.1 200");
	}

	// Guards against a request that comes again and again with new ids, ends one engine
	// after the other, and shares each part of its prompt but the last with sound
	// requests.
	@Test
	void requestThatEndsEnginesIsKeptFromFurtherEngines() throws Exception {
		for (int i = 0; i < 10; i++) {
			this.fixture.sendAndReadAll(ForwardFixture.promptRequest("/resumable/x", "d" + i, "11,22," + DEADLY_PART));
			Thread.sleep(120);
			assertThat(send(2000 + i, "11,22")).startsWith("HTTP/1.1 200");
		}
		assertThat(this.crashCount.get()).isLessThanOrEqualTo(ALLOWED_CRASHES);
		String refused = this.fixture
			.sendAndReadAll(ForwardFixture.promptRequest("/resumable/x", "d99", "11,22," + DEADLY_PART));
		assertThat(refused).startsWith("HTTP/1.1 503").contains("retry-after");
	}

	// Guards against a request without a prompt that ends one server after the other.
	@Test
	void requestWithoutPromptThatEndsServersIsKeptFromFurtherServers() throws Exception {
		AtomicInteger crashes = new AtomicInteger();
		for (int i = 0; i < ENGINES; i++) {
			ScriptedServer[] self = new ScriptedServer[1];
			self[0] = new ScriptedServer((request, connection) -> {
				if (request.body().equals("deadly")) {
					crashes.incrementAndGet();
					self[0].crash();
					return;
				}
				connection.respond(request, 200, "signed: s\r\n", "ok");
			});
			this.engines.add(self[0]);
			this.fixture.addServer("p" + i, ForwardFixture.PLAIN_SERVICE, self[0]);
		}
		for (int i = 0; i < 10; i++) {
			this.fixture.sendAndReadAll(ForwardFixture.postRequest("/once/x", "d" + i, "deadly"));
			Thread.sleep(120);
			assertThat(this.fixture.sendAndReadAll(ForwardFixture.postRequest("/once/x", "r" + i, "sound" + i)))
				.startsWith("HTTP/1.1 200");
		}
		assertThat(crashes.get()).isLessThanOrEqualTo(ALLOWED_CRASHES);
	}

	private String sendPlain(String id, String parts) throws IOException {
		String request = ForwardFixture.promptRequest("/once/x", id, parts);
		return this.fixture.sendAndReadAll(request.replace("model: " + ForwardFixture.MODEL + "\r\n", ""));
	}

}
