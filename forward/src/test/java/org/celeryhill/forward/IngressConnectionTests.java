package org.celeryhill.forward;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link IngressConnection} with requests that follow on a connection before the
 * response to the one before. Bytes are passed on by hand, so that their order with the
 * tasks of the event loop is known.
 */
class IngressConnectionTests {

	/** Largest number of bytes that are read at a time. */
	private static final int PART_BYTES = 65_536;

	/** Limit of the bytes that wait on one connection, and one part. */
	private static final int MAX_WAITING_BYTES = 65_536 + PART_BYTES;

	/** Limit of the bytes that wait on all connections. */
	private static final int MAX_ALL_WAITING_BYTES = 16 << 20;

	private final List<String> handled = new ArrayList<>();

	private final List<ResponseChannel> channels = new ArrayList<>();

	private EmbeddedChannel channel;

	private IngressServer server;

	private int readCount;

	@BeforeEach
	void start() {
		RequestHandler handler = new RequestHandler() {
			@Override
			public ActiveRequest handle(IncomingRequest request, ResponseChannel channel) {
				IngressConnectionTests.this.handled
					.add(request.target() + " " + request.body().toString(StandardCharsets.UTF_8));
				IngressConnectionTests.this.channels.add(channel);
				return ActiveRequest.NONE;
			}

			@Override
			public IngressLimits limits() {
				return IngressLimits.DEFAULTS;
			}
		};
		this.server = IngressServer.create(null, handler);
		this.channel = new EmbeddedChannel(new ChannelOutboundHandlerAdapter() {
			@Override
			public void read(ChannelHandlerContext ctx) {
				IngressConnectionTests.this.readCount++;
				ctx.read();
			}
		});
		this.server.initConnection(this.channel);
	}

	@AfterEach
	void stop() {
		this.channel.finishAndReleaseAll();
	}

	private static String put(String target, String body) {
		return "PUT " + target + " HTTP/1.1\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
	}

	// Unlike EmbeddedChannel.writeInbound, runs no tasks.
	private void read(String text) {
		this.channel.pipeline().fireChannelRead(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
	}

	private void respond(int index, String text) {
		this.channels.get(index)
			.respond(HttpResponseStatus.OK, EmptyHttpHeaders.INSTANCE,
					Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
	}

	private List<String> responses() {
		StringBuilder text = new StringBuilder();
		for (ByteBuf part = this.channel.readOutbound(); part != null; part = this.channel.readOutbound()) {
			text.append(part.toString(StandardCharsets.UTF_8));
			part.release();
		}
		return Stream.of(text.toString().split("HTTP/1.1 200 OK\r\n"))
			.filter((response) -> !response.isEmpty())
			.map((response) -> response.substring(response.indexOf("\r\n\r\n") + 4))
			.toList();
	}

	// Guards against a request that loses a part of its body, when the part is read after
	// the response to the request before and ahead of the messages that wait.
	@Test
	void bodyOfWaitingRequestIsWhole() {
		String second = put("/second", "abcd");
		read(put("/first", "1"));
		read(second.substring(0, second.length() - 2));
		respond(0, "for first");
		read("cd");
		this.channel.runPendingTasks();
		assertThat(this.handled).containsExactly("/first 1", "/second abcd");
	}

	// Guards against a request that overtakes one that waits, and whose response is then
	// taken for that of the other.
	@Test
	void laterRequestDoesNotOvertakeWaitingOne() {
		read(put("/first", "1"));
		read(put("/second", "2"));
		respond(0, "for first");
		read(put("/third", "3"));
		this.channel.runPendingTasks();
		respond(1, "for second");
		this.channel.runPendingTasks();
		respond(2, "for third");
		assertThat(this.handled).containsExactly("/first 1", "/second 2", "/third 3");
		assertThat(responses()).containsExactly("for first", "for second", "for third");
	}

	// Guards against a connection that is closed as idle, while a request that was read
	// waits to be handled and is passed on then.
	@Test
	void connectionWithWaitingRequestIsNotIdle() {
		read(put("/first", "1"));
		read(put("/second", "2"));
		respond(0, "for first");
		((IngressConnection) this.channels.get(0)).closeIfIdle();
		this.channel.runPendingTasks();
		respond(1, "for second");
		assertThat(responses()).containsExactly("for first", "for second");
	}

	// Guards against requests that are sent ahead without limit, of which each takes more
	// memory when it is decoded than the bytes that were sent.
	@ParameterizedTest
	@ValueSource(ints = { 0, 1, 1_000_000 })
	void connectionIsNotReadFurtherPastLimitOfBytesThatWait(int bodyBytes) {
		read(put("/first", "1"));
		String part = put("/next", "x".repeat(bodyBytes)).repeat(1 + PART_BYTES / (bodyBytes + 1))
			.substring(0, PART_BYTES);
		int sentBytes = 0;
		while (this.channel.config().isAutoRead() && sentBytes < 100 * PART_BYTES) {
			read(part);
			sentBytes += PART_BYTES;
		}
		assertThat(sentBytes).isLessThanOrEqualTo(MAX_WAITING_BYTES);
		assertThat(this.handled).containsExactly("/first 1");
	}

	// Guards against a decoder that reads on by itself because it has decoded nothing.
	@Test
	void pausedConnectionIsNotReadAfterPassWithoutMessage() {
		read(put("/first", "1"));
		this.channel.pipeline().fireChannelReadComplete();
		read("x".repeat(MAX_WAITING_BYTES));
		assertThat(this.channel.config().isAutoRead()).isFalse();
		this.readCount = 0;
		this.channel.pipeline().fireChannelReadComplete();
		assertThat(this.readCount).isZero();
	}

	// Guards against a connection that is not read again after its requests were handled.
	@Test
	void connectionIsReadAgainWhenRequestsThatWaitedAreHandled() {
		int count = 1 + MAX_WAITING_BYTES / put("/next", "1").length();
		read(put("/next", "1").repeat(count));
		assertThat(this.channel.config().isAutoRead()).isFalse();
		for (int i = 0; i < count; i++) {
			respond(i, "response " + i);
			this.channel.runPendingTasks();
		}
		assertThat(this.channel.config().isAutoRead()).isTrue();
		assertThat(this.handled).hasSize(count);
		assertThat(responses()).hasSize(count)
			.startsWith("response 0", "response 1")
			.endsWith("response " + (count - 1));
	}

	// Guards against many connections that use up the memory together, and against a
	// count of it that does not return to zero.
	@Test
	void connectionsAreNotReadFurtherPastLimitForAllOfThem() {
		read(put("/first", "1"));
		this.server.addWaitingBytes(MAX_ALL_WAITING_BYTES);
		read("PUT");
		assertThat(this.channel.config().isAutoRead()).isFalse();
		this.server.addWaitingBytes(-MAX_ALL_WAITING_BYTES);
		assertThat(this.server.waitingBytes()).isPositive();
		this.channel.finishAndReleaseAll();
		assertThat(this.server.waitingBytes()).isZero();
	}

	// Guards against responses without limit that wait for a caller who sends requests
	// and does not read.
	@Test
	void nextRequestIsHandledWhenResponsesAreTaken() {
		read(put("/first", "1") + put("/second", "2"));
		setWritable(false);
		respond(0, "for first");
		this.channel.runPendingTasks();
		assertThat(this.handled).containsExactly("/first 1");
		setWritable(true);
		this.channel.runPendingTasks();
		respond(1, "for second");
		assertThat(this.handled).containsExactly("/first 1", "/second 2");
		assertThat(responses()).containsExactly("for first", "for second");
	}

	private void setWritable(boolean isWritable) {
		this.channel.unsafe().outboundBuffer().setUserDefinedWritability(1, isWritable);
	}

}
