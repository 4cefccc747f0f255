package org.celeryhill.forward;

import java.io.IOException;
import java.io.InputStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufAllocatorMetricProvider;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link Forwarder} with callers that read long responses slowly.
 */
@Timeout(90)
class SlowCallerTests {

	private static final int LONG_BYTES = 8_000_000;

	private static final int CALLERS = 60;

	private static final int SERVERS = 5;

	/** Direct memory of an edge daemon, which is as much as its heap. */
	private static final long DIRECT_MEMORY_BYTES = 160L << 20;

	/** Limit of the responses in memory, and the longest response. */
	private static final long MAX_BUFFERED_BYTES = (32 + 16) << 20;

	/** Limit of the responses in memory. */
	private static final int MAX_TOTAL_BYTES = 32 << 20;

	private static final int STEP_BYTES = 65_536;

	private static final long STEP_MS = 5;

	private ForwardFixture fixture;

	private final ExecutorService callers = Executors.newCachedThreadPool();

	private final List<ScriptedServer> servers = new ArrayList<>();

	@BeforeEach
	void start() throws Exception {
		this.fixture = new ForwardFixture().configure(Duration.ofSeconds(60));
	}

	@AfterEach
	void stop() throws Exception {
		this.callers.shutdownNow();
		this.fixture.close();
		for (ScriptedServer server : this.servers) {
			server.close();
		}
	}

	private void addServers(int count, ScriptedServer.Script script) throws Exception {
		for (int i = 0; i < count; i++) {
			ScriptedServer server = new ScriptedServer(script);
			this.servers.add(server);
			this.fixture.addServer("s" + i, ForwardFixture.PLAIN_SERVICE, server);
		}
	}

	private static ScriptedServer.Script respondWith(String body) {
		return (request, connection) -> connection.respond(request, 200, "signed: s\r\n", body);
	}

	// Sends a request and reads the response slowly until the connection ends. Returns
	// the number of bytes after the head of a success, or a negative number for anything
	// else.
	private long callSlowly(String id) throws IOException {
		try (ForwardFixture.RawCaller caller = this.fixture.connectWithSmallBuffer()) {
			caller.send(ForwardFixture.getRequest("/many/x", id));
			String head = caller.readUntil("\r\n\r\n");
			if (!head.startsWith("HTTP/1.1 200")) {
				return -1;
			}
			return readSlowly(caller.input());
		}
	}

	private static long readSlowly(InputStream in) throws IOException {
		long count = 0;
		byte[] step = new byte[STEP_BYTES];
		for (int read = in.read(step); read >= 0; read = in.read(step)) {
			count += read;
			pause();
		}
		return count;
	}

	private static void pause() {
		try {
			Thread.sleep(STEP_MS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static long directMemoryBytes() {
		return ((ByteBufAllocatorMetricProvider) ByteBufAllocator.DEFAULT).metric().usedDirectMemory();
	}

	// Guards against responses that are dropped because those that wait for slow callers
	// have used up the memory.
	@Test
	void burstOfSlowCallersGetsAllResponses() throws Exception {
		addServers(SERVERS, respondWith("x".repeat(LONG_BYTES)));
		List<CompletableFuture<Long>> results = new ArrayList<>();
		long directBefore = directMemoryBytes();
		for (int i = 0; i < CALLERS; i++) {
			String id = "r" + i;
			results.add(CompletableFuture.supplyAsync(() -> {
				try {
					return callSlowly(id);
				}
				catch (IOException ex) {
					throw new IllegalStateException(ex);
				}
			}, this.callers));
		}
		long maxDirect = 0;
		long maxBuffered = 0;
		while (results.stream().anyMatch((one) -> !one.isDone())) {
			maxDirect = Math.max(maxDirect, directMemoryBytes() - directBefore);
			maxBuffered = Math.max(maxBuffered, this.fixture.bufferedBytes());
			Thread.sleep(10);
		}
		for (CompletableFuture<Long> result : results) {
			assertThat(result.get()).isGreaterThanOrEqualTo(LONG_BYTES);
		}
		assertThat(maxDirect).isLessThan(DIRECT_MEMORY_BYTES / 2);
		assertThat(maxBuffered).isLessThan(MAX_BUFFERED_BYTES);
		assertThat(this.fixture.bufferedBytes()).isZero();
	}

	// Guards against a part of a response that looks like the whole, if its server fails
	// after it was passed on in part because of the memory.
	@Test
	void passedOnResponseThatBreaksIsNotComplete() throws Exception {
		addServers(1, (request, connection) -> {
			boolean isBroken = request.header("id", "").equals("broken");
			connection.send("HTTP/1.1 200 OK\r\nid: " + request.header("id", "") + "\r\nsigned: s\r\ncontent-length: "
					+ LONG_BYTES + "\r\n\r\n" + "x".repeat(isBroken ? 1_000_000 : LONG_BYTES));
			if (isBroken) {
				awaitBytes(connection);
			}
		});
		try (ForwardFixture.RawCaller first = occupyMemory();
				ForwardFixture.RawCaller broken = this.fixture.connect()) {
			broken.send(ForwardFixture.getRequest("/many/x", "broken"));
			String response = broken.readAll();
			assertThat(response).startsWith("HTTP/1.1 200").doesNotEndWith("0\r\n\r\n");
			assertThat(response.length()).isLessThan(LONG_BYTES);
		}
	}

	// Gives the client time to read, then ends the connection regularly.
	private static void awaitBytes(ScriptedServer.Connection connection) throws IOException {
		for (int i = 0; i < 40; i++) {
			pause();
		}
		connection.socket().close();
	}

	// Lets the forwarder keep as many bytes as it may.
	private ForwardFixture.RawCaller occupyMemory() throws Exception {
		this.fixture.addBufferedBytes(MAX_TOTAL_BYTES);
		return this.fixture.connect();
	}

	// Guards against a response that needs memory without being counted, after it was
	// passed on in part to a caller that does not read.
	@Test
	void passedOnResponseIsCountedUntilCallerHasTakenIt() throws Exception {
		int sentBytes = 15_000_000;
		addServers(1, (request, connection) -> {
			connection.send("HTTP/1.1 200 OK\r\nid: " + request.header("id", "")
					+ "\r\nsigned: s\r\ncontent-length: 16000000\r\n\r\n" + "x".repeat(sentBytes));
			connection.awaitClientClose();
		});
		try (ForwardFixture.RawCaller first = this.fixture.connectWithSmallBuffer();
				ForwardFixture.RawCaller second = this.fixture.connect()) {
			first.send(ForwardFixture.getRequest("/many/x", "r1"));
			awaitBufferedBytes(sentBytes);
			this.fixture.addBufferedBytes(MAX_TOTAL_BYTES - sentBytes);
			second.send(ForwardFixture.getRequest("/many/x", "r2"));
			assertThat(first.readUntil("\r\n\r\n")).startsWith("HTTP/1.1 200");
			// The system's buffers take less than half of it.
			assertThat(this.fixture.bufferedBytes()).isGreaterThan(MAX_TOTAL_BYTES - sentBytes / 2);
		}
		awaitBufferedBytes(MAX_TOTAL_BYTES - sentBytes);
	}

	private void awaitBufferedBytes(long bytes) throws Exception {
		long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
		while (this.fixture.bufferedBytes() != bytes && System.nanoTime() < end) {
			Thread.sleep(10);
		}
		assertThat(this.fixture.bufferedBytes()).isEqualTo(bytes);
	}

	// Guards against a planned stop that ends the process before a response has left it.
	@Test
	void responseIsBeingWrittenUntilCallerHasTakenIt() throws Exception {
		addServers(1, respondWith("x".repeat(LONG_BYTES)));
		try (ForwardFixture.RawCaller caller = this.fixture.connectWithSmallBuffer()) {
			caller.send(ForwardFixture.getRequest("/many/x", "r1"));
			caller.readUntil("\r\n\r\n");
			awaitNoActiveRequest();
			assertThat(this.fixture.isWritingResponses()).isTrue();
			this.fixture.closeIdleConnections();
			assertThat(readSlowly(caller.input())).isEqualTo(LONG_BYTES);
			assertThat(this.fixture.isWritingResponses()).isFalse();
		}
	}

	private void awaitNoActiveRequest() throws Exception {
		long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
		while (this.fixture.activeCount() > 0 && System.nanoTime() < end) {
			Thread.sleep(10);
		}
		assertThat(this.fixture.activeCount()).isZero();
	}

}
