package org.celeryhill.forward;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufAllocatorMetricProvider;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link Forwarder} with callers that send many requests with long bodies before
 * they get the response to the first.
 */
@Timeout(90)
class PipelinedRequestTests {

	private static final int CALLERS = 16;

	private static final int REQUESTS = 12;

	private static final int BODY_BYTES = 1 << 20;

	private static final int SERVERS = 8;

	private static final int UNREAD_RESPONSES = 1500;

	/** Size of a response that is written as a whole. */
	private static final int UNREAD_BYTES = 60_000;

	/** Limit of what waits on one connection: 64 KB and one read of 64 KB. */
	private static final long MAX_WAITING_BYTES = 2 * 65_536;

	/** Limit of the bodies of all callers. */
	private static final long MAX_BUFFERED_BYTES = 64L << 20;

	/** Time without progress after which callers are taken not to be read further. */
	private static final long STALL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	private final AtomicLong sentRequests = new AtomicLong();

	private final ExecutorService threads = Executors.newCachedThreadPool();

	private final List<ScriptedServer> servers = new ArrayList<>();

	private final CountDownLatch isFirstResponseAllowed = new CountDownLatch(1);

	private ForwardFixture fixture;

	@BeforeEach
	void start() throws Exception {
		this.fixture = new ForwardFixture().configure(Duration.ofSeconds(60));
		for (int i = 0; i < SERVERS; i++) {
			ScriptedServer server = new ScriptedServer(this::respond);
			this.servers.add(server);
			this.fixture.addServer("s" + i, ForwardFixture.PLAIN_SERVICE, server);
		}
	}

	@AfterEach
	void stop() throws Exception {
		this.isFirstResponseAllowed.countDown();
		this.threads.shutdownNow();
		this.fixture.close();
		for (ScriptedServer server : this.servers) {
			server.close();
		}
	}

	private void respond(ScriptedServer.ReceivedRequest request, ScriptedServer.Connection connection)
			throws IOException {
		if (request.line().startsWith("GET /many/held")) {
			awaitPermission();
		}
		if (request.line().startsWith("GET /many/long")) {
			connection.respond(request, 200, "signed: s\r\n", "x".repeat(UNREAD_BYTES));
			return;
		}
		String body = request.body();
		String repeated = body.isEmpty() ? "" : body.substring(0, 1);
		boolean isUniform = body.equals(repeated.repeat(body.length()));
		connection.respond(request, 200, "signed: s\r\n",
				"<" + request.header("id", "") + " " + body.length() + " " + repeated + " " + isUniform + ">");
	}

	private void awaitPermission() {
		try {
			this.isFirstResponseAllowed.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static String keepAlive(String request) {
		return request.replace("Connection: close\r\n", "");
	}

	private static char letter(int number) {
		return (char) ('a' + number % 26);
	}

	private void sendAll(ForwardFixture.RawCaller caller, int number) {
		try {
			caller.send(keepAlive(ForwardFixture.getRequest("/many/held", number + ".0")));
			for (int i = 1; i <= REQUESTS; i++) {
				String body = String.valueOf(letter(number + i)).repeat(BODY_BYTES);
				caller.send(keepAlive(ForwardFixture.postRequest("/many/x", number + "." + i, body)));
				this.sentRequests.incrementAndGet();
			}
		}
		catch (IOException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private static void assertAllAnswered(ForwardFixture.RawCaller caller, int number) throws IOException {
		assertThat(caller.readUntil(">")).startsWith("HTTP/1.1 200").endsWith("<" + number + ".0 0  true>");
		for (int i = 1; i <= REQUESTS; i++) {
			assertThat(caller.readUntil(">")).startsWith("HTTP/1.1 200")
				.endsWith("<" + number + "." + i + " " + BODY_BYTES + " " + letter(number + i) + " true>");
		}
	}

	private static long directMemoryBytes() {
		return ((ByteBufAllocatorMetricProvider) ByteBufAllocator.DEFAULT).metric().usedDirectMemory();
	}

	// Calls on connections of their own until the other callers can send no more. Returns
	// the largest increase of direct memory.
	private long callWhileHeld() throws Exception {
		long before = directMemoryBytes();
		long largest = 0;
		long sent = 0;
		long progressNanos = System.nanoTime();
		for (int i = 0; System.nanoTime() - progressNanos < STALL_NANOS; i++) {
			String response = this.fixture.sendAndReadAll(ForwardFixture.getRequest("/many/x", "sound" + i));
			assertThat(response).startsWith("HTTP/1.1 200").endsWith("<sound" + i + " 0  true>");
			largest = Math.max(largest, directMemoryBytes() - before);
			assertThat(this.fixture.waitingBytes()).isLessThanOrEqualTo(CALLERS * MAX_WAITING_BYTES);
			if (this.sentRequests.get() > sent) {
				sent = this.sentRequests.get();
				progressNanos = System.nanoTime();
			}
		}
		return largest;
	}

	// Guards against callers that use up the memory with requests that wait on their
	// connections, and against requests that are lost or swapped when reading is paused.
	@Test
	void requestsThatWaitTakeBoundedMemoryAndAreAllAnswered() throws Exception {
		List<ForwardFixture.RawCaller> callers = new ArrayList<>();
		List<CompletableFuture<Void>> senders = new ArrayList<>();
		for (int i = 0; i < CALLERS; i++) {
			ForwardFixture.RawCaller caller = this.fixture.connect();
			int number = i;
			callers.add(caller);
			senders.add(CompletableFuture.runAsync(() -> sendAll(caller, number), this.threads));
		}
		long directMemory = callWhileHeld();
		this.isFirstResponseAllowed.countDown();
		for (int i = 0; i < CALLERS; i++) {
			assertAllAnswered(callers.get(i), i);
			callers.get(i).close();
		}
		for (CompletableFuture<Void> sender : senders) {
			sender.get(5, TimeUnit.SECONDS);
		}
		assertThat(directMemory).isLessThan(MAX_BUFFERED_BYTES);
	}

	// Guards against responses that use up the memory, each too short to be written in
	// parts, when a caller sends requests ahead and does not read.
	@Test
	void requestsThatWaitAreNotHandledWhileCallerDoesNotRead() throws Exception {
		long before = directMemoryBytes();
		try (ForwardFixture.RawCaller caller = this.fixture.connectWithSmallBuffer()) {
			String request = keepAlive(ForwardFixture.getRequest("/many/long", "x"));
			caller.send(request.repeat(UNREAD_RESPONSES));
			awaitNoFurtherRequests();
			long directMemory = directMemoryBytes() - before;
			for (int i = 0; i < UNREAD_RESPONSES; i++) {
				assertThat(caller.readUntil("\r\n\r\n")).startsWith("HTTP/1.1 200");
				assertThat(caller.input().readNBytes(UNREAD_BYTES)).hasSize(UNREAD_BYTES);
			}
			assertThat(directMemory).isLessThan(MAX_BUFFERED_BYTES);
		}
	}

	private void awaitNoFurtherRequests() throws InterruptedException {
		long progressNanos = System.nanoTime();
		int count = 0;
		while (System.nanoTime() - progressNanos < STALL_NANOS) {
			int next = this.servers.stream().mapToInt((server) -> server.receivedRequests().size()).sum();
			if (next > count) {
				count = next;
				progressNanos = System.nanoTime();
			}
			Thread.sleep(10);
		}
	}

}
