package org.celeryhill.measure.oddserver;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * A connection at a backend server. Used on its event loop.
 */
final class BackendServerConnection extends SimpleChannelInboundHandler<HttpObject> {

	private final OddBackendServer server;

	private Channel channel;

	private ServedExchange exchange;

	private String copyBeforeNext = "";

	private boolean hasExtraBytes;

	/** Whether a request has been read and not answered. */
	private boolean isAnswering;

	BackendServerConnection(OddBackendServer server) {
		this.server = server;
	}

	@Override
	public void channelActive(ChannelHandlerContext context) {
		this.channel = context.channel();
		this.server.counts().connections.increment();
	}

	@Override
	protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
		if (message instanceof HttpRequest request) {
			start(request);
		}
		if (message instanceof LastHttpContent && this.exchange != null) {
			ServedExchange complete = this.exchange;
			this.exchange = null;
			schedule(complete.decision().work(), () -> respond(complete));
		}
	}

	private void start(HttpRequest request) {
		if (!this.copyBeforeNext.isEmpty()) {
			write(this.copyBeforeNext);
			markExtraBytes();
			this.copyBeforeNext = "";
		}
		if (this.hasExtraBytes) {
			this.server.counts().metExtraBytes.increment();
		}
		this.isAnswering = true;
		ServedExchange started = this.server.accept(this, request);
		if (started.decision().oddity().map(Oddity::isEarly).orElse(false)) {
			respond(started);
		}
		else {
			this.exchange = started;
		}
	}

	private void respond(ServedExchange started) {
		this.isAnswering = false;
		if (!this.channel.isActive()) {
			return;
		}
		if (started.decision().outcome() == Outcome.RESET) {
			reset();
			return;
		}
		Optional<Oddity> oddity = started.decision().oddity();
		if (oddity.isPresent()) {
			this.server.counts().recordOddAnswer(oddity.get());
			oddity.get().respond(started);
		}
		else {
			write(started.response());
		}
	}

	void write(String text) {
		this.channel.writeAndFlush(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
	}

	void writeLater(String text, Duration delay) {
		schedule(delay, () -> {
			if (this.channel.isActive()) {
				write(text);
				countMetBytes();
				markExtraBytes();
			}
		});
	}

	private void countMetBytes() {
		if (this.isAnswering && !this.hasExtraBytes) {
			this.server.counts().metExtraBytes.increment();
		}
	}

	void writeBeforeNext(String text) {
		this.copyBeforeNext = text;
	}

	/**
	 * Records that bytes were sent that belong to no request of this connection.
	 */
	void markExtraBytes() {
		this.hasExtraBytes = true;
	}

	void close() {
		this.channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
	}

	private void reset() {
		this.channel.config().setOption(ChannelOption.SO_LINGER, 0);
		this.channel.close();
	}

	private void schedule(Duration delay, Runnable task) {
		this.channel.eventLoop().schedule(task, delay.toNanos(), TimeUnit.NANOSECONDS);
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		// The host resets connections that it gives up.
		context.close();
	}

}
