package org.celeryhill.forward;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link IngressConnection} with requests that follow on a connection before the
 * response to the one before. Messages are passed on by hand, so that their order with
 * the tasks of the event loop is known.
 */
class IngressConnectionTests {

	private final List<String> handled = new ArrayList<>();

	private final List<ResponseChannel> channels = new ArrayList<>();

	private EmbeddedChannel channel;

	private IngressServer server;

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
		this.channel = new EmbeddedChannel(new IngressConnection(this.server, handler));
	}

	@AfterEach
	void stop() {
		this.channel.finishAndReleaseAll();
	}

	private void readHead(String target) {
		this.channel.pipeline().fireChannelRead(new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.PUT, target));
	}

	private void readBody(String text) {
		this.channel.pipeline()
			.fireChannelRead(new DefaultHttpContent(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8)));
	}

	private void readEnd(String text) {
		this.channel.pipeline()
			.fireChannelRead(new DefaultLastHttpContent(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8)));
	}

	private void respond(int index, String text) {
		this.channels.get(index)
			.respond(HttpResponseStatus.OK, EmptyHttpHeaders.INSTANCE,
					Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
	}

	private List<String> responses() {
		List<String> texts = new ArrayList<>();
		for (Object message = this.channel.readOutbound(); message != null; message = this.channel.readOutbound()) {
			FullHttpResponse response = (FullHttpResponse) message;
			texts.add(response.content().toString(StandardCharsets.UTF_8));
			response.release();
		}
		return texts;
	}

	// Guards against a request that loses a part of its body, when the part is read after
	// the response to the request before and ahead of the messages that wait.
	@Test
	void bodyOfWaitingRequestIsWhole() {
		readHead("/first");
		readEnd("1");
		readHead("/second");
		readBody("ab");
		respond(0, "for first");
		readEnd("cd");
		this.channel.runPendingTasks();
		assertThat(this.handled).containsExactly("/first 1", "/second abcd");
	}

	// Guards against a request that overtakes one that waits, and whose response is then
	// taken for that of the other.
	@Test
	void laterRequestDoesNotOvertakeWaitingOne() {
		readHead("/first");
		readEnd("1");
		readHead("/second");
		readEnd("2");
		respond(0, "for first");
		readHead("/third");
		readEnd("3");
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
		readHead("/first");
		readEnd("1");
		readHead("/second");
		readEnd("2");
		respond(0, "for first");
		((IngressConnection) this.channels.get(0)).closeIfIdle();
		this.channel.runPendingTasks();
		respond(1, "for second");
		assertThat(responses()).containsExactly("for first", "for second");
	}

}
