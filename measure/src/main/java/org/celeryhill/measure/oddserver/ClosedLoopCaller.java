package org.celeryhill.measure.oddserver;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseDecoder;

/**
 * A caller that opens a connection for each request and sends the next one some time
 * after the answer. Used on its event loop, except for {@link #start}.
 */
final class ClosedLoopCaller {

	private static final int MAX_RESPONSE_BYTES = 1 << 20;

	/** Longer than the timeout of any route. */
	private static final long ANSWER_TIMEOUT_MS = 10_000;

	private final CompletableFuture<Void> ended = new CompletableFuture<>();

	private final LoadProfile profile;

	private final int number;

	private final RouteKind kind;

	private final Bootstrap bootstrap;

	private final EventLoop loop;

	private final AnswerCheck check;

	private final CallerFigures figures;

	private final long endNanos;

	private long requestCount;

	/**
	 * Creates a caller.
	 * @param profile the settings of the run
	 * @param number the number of the caller, which selects the kind of its requests
	 * @param loop runs the caller
	 * @param host the address of the entry host
	 * @param check judges the answers
	 * @param figures records the answers
	 * @param endNanos the time of the last request
	 */
	ClosedLoopCaller(LoadProfile profile, int number, EventLoop loop, InetSocketAddress host, AnswerCheck check,
			CallerFigures figures, long endNanos) {
		this.profile = profile;
		this.number = number;
		this.kind = RouteKind.values()[number % RouteKind.values().length];
		this.loop = loop;
		this.check = check;
		this.figures = figures;
		this.endNanos = endNanos;
		this.bootstrap = new Bootstrap().group(loop)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.remoteAddress(host);
	}

	/**
	 * Starts to send requests.
	 * @return a future that completes when the last request has been answered
	 */
	CompletableFuture<Void> start() {
		this.loop.execute(this::sendNext);
		return this.ended;
	}

	private void sendNext() {
		if (System.nanoTime() - this.endNanos >= 0) {
			this.ended.complete(null);
			return;
		}
		String id = "c" + this.number + "-" + this.requestCount++;
		Exchange exchange = new Exchange(id);
		this.bootstrap.clone().handler(new ChannelInitializer<SocketChannel>() {
			@Override
			protected void initChannel(SocketChannel channel) {
				channel.pipeline()
					.addLast(new HttpResponseDecoder(), new HttpObjectAggregator(MAX_RESPONSE_BYTES), exchange);
			}
		}).connect().addListener((connected) -> {
			if (!connected.isSuccess()) {
				exchange.end(Answer.MISSING);
			}
		});
		this.loop.schedule(exchange::expire, ANSWER_TIMEOUT_MS, TimeUnit.MILLISECONDS);
	}

	private ByteBuf encodeRequest(String id) {
		HttpHeaders headers = new DefaultHttpHeaders();
		this.check.format().headers().encodeCallerRequest(headers, id);
		StringBuilder text = new StringBuilder("POST " + this.kind.prefix + id + " HTTP/1.1\r\nhost: ")
			.append(LoadedHost.HOST_NAME)
			.append("\r\nconnection: close\r\ncontent-length: ")
			.append(this.profile.bodyBytes())
			.append("\r\n");
		headers.forEach((header) -> text.append(header.getKey()).append(": ").append(header.getValue()).append("\r\n"));
		text.append("\r\n").append("x".repeat(this.profile.bodyBytes()));
		return Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
	}

	/**
	 * One request and its answer.
	 */
	private final class Exchange extends SimpleChannelInboundHandler<FullHttpResponse> {

		private final long startNanos = System.nanoTime();

		private final String id;

		private ChannelHandlerContext context;

		private boolean isEnded;

		Exchange(String id) {
			this.id = id;
		}

		@Override
		public void channelActive(ChannelHandlerContext ctx) {
			this.context = ctx;
			ctx.writeAndFlush(encodeRequest(this.id));
		}

		@Override
		protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
			if (response.decoderResult().isFailure()) {
				end(incompleteAnswer());
			}
			else {
				end(ClosedLoopCaller.this.check.judge(this.id, response));
			}
		}

		@Override
		public void channelInactive(ChannelHandlerContext ctx) {
			end(incompleteAnswer());
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
			end(incompleteAnswer());
		}

		private Answer incompleteAnswer() {
			return (ClosedLoopCaller.this.kind == RouteKind.STREAM) ? Answer.BROKEN_STREAM : Answer.MISSING;
		}

		private void expire() {
			end(Answer.MISSING);
		}

		private void end(Answer answer) {
			if (this.isEnded) {
				return;
			}
			this.isEnded = true;
			ClosedLoopCaller caller = ClosedLoopCaller.this;
			caller.figures.record(this.id, answer, System.nanoTime() - this.startNanos);
			if (this.context != null) {
				this.context.close();
			}
			caller.loop.schedule(caller::sendNext, caller.profile.thinkTime().toNanos(), TimeUnit.NANOSECONDS);
		}

	}

}
