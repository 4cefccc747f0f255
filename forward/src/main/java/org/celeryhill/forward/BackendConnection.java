package org.celeryhill.forward;

import java.util.concurrent.TimeUnit;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

/**
 * One connection to a backend server, which carries one exchange at a time. Bytes that
 * belong to no exchange close it.
 */
final class BackendConnection extends ChannelInboundHandlerAdapter {

	/** Part of the server's announced keep-alive time that is used. */
	private static final double KEEP_ALIVE_PART = 0.5;

	private static final long DEFAULT_KEEP_ALIVE_NANOS = TimeUnit.SECONDS.toNanos(4);

	private final BackendClient client;

	private final BackendClient.PoolKey key;

	private ChannelHandlerContext context;

	private BackendClient.Exchange exchange;

	private ChannelFuture write;

	private boolean isKeptAlive;

	private boolean isInformational;

	private boolean isUnframed;

	private long keepAliveNanos = DEFAULT_KEEP_ALIVE_NANOS;

	private long idleSince;

	BackendConnection(BackendClient client, BackendClient.PoolKey key) {
		this.client = client;
		this.key = key;
	}

	BackendClient.PoolKey key() {
		return this.key;
	}

	boolean isReusable(long now, long maxIdleNanos) {
		long age = now - this.idleSince;
		return this.context.channel().isActive() && age < this.keepAliveNanos && age < maxIdleNanos;
	}

	void start(BackendClient.Exchange next) {
		this.exchange = next;
		this.isUnframed = false;
		this.write = this.context.writeAndFlush(next.write(this.context.channel()));
	}

	void close() {
		this.context.close();
	}

	@Override
	public void handlerAdded(ChannelHandlerContext ctx) {
		this.context = ctx;
	}

	@Override
	public void channelRead(ChannelHandlerContext ctx, Object message) {
		try {
			if (this.exchange == null || this.exchange.isEnded()) {
				ctx.close();
				return;
			}
			read(ctx, (HttpObject) message);
		}
		finally {
			ReferenceCountUtil.release(message);
		}
	}

	private void read(ChannelHandlerContext ctx, HttpObject message) {
		if (message.decoderResult().isFailure()) {
			fail("answer is not valid HTTP: " + message.decoderResult().cause());
			return;
		}
		if (message instanceof HttpResponse head) {
			this.isInformational = head.status().code() / 100 == 1;
			if (this.isInformational) {
				return;
			}
			this.isKeptAlive = HttpUtil.isKeepAlive(head);
			this.isUnframed = !HttpUtil.isContentLengthSet(head) && !HttpUtil.isTransferEncodingChunked(head);
			readKeepAlive(head);
			this.exchange.listener().onHead(head);
		}
		if (message instanceof HttpContent content && !this.isInformational && !this.exchange.isEnded()) {
			if (content.content().isReadable()) {
				this.exchange.listener().onBody(content.content());
			}
			if (message instanceof LastHttpContent && !this.exchange.isEnded()) {
				end(ctx);
			}
		}
	}

	private void readKeepAlive(HttpResponse head) {
		String value = head.headers().get(HttpHeaderNames.KEEP_ALIVE);
		int at = (value != null) ? value.indexOf("timeout=") : -1;
		if (at < 0) {
			return;
		}
		String digits = value.substring(at + "timeout=".length()).split("[^0-9]", 2)[0];
		if (!digits.isEmpty() && digits.length() < 6) {
			this.keepAliveNanos = (long) (KEEP_ALIVE_PART * TimeUnit.SECONDS.toNanos(Long.parseLong(digits)));
		}
	}

	private void end(ChannelHandlerContext ctx) {
		BackendClient.Exchange ended = this.exchange;
		this.exchange = null;
		this.idleSince = System.nanoTime();
		// A request whose body is still being sent must not be followed by another one.
		boolean isClean = this.isKeptAlive && !this.isUnframed && this.write.isSuccess() && ctx.channel().isActive();
		if (isClean) {
			ctx.channel().config().setAutoRead(true);
			this.client.release(this);
		}
		else {
			ctx.close();
		}
		ended.end();
	}

	private void fail(String detail) {
		BackendClient.Exchange failed = this.exchange;
		this.exchange = null;
		this.context.close();
		if (failed != null) {
			failed.fail(ExchangeListener.Failure.MAY_HAVE_RUN, detail);
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
		fail("connection failed: " + cause);
	}

	@Override
	public void channelInactive(ChannelHandlerContext ctx) {
		this.client.forget(this);
		fail("connection closed before the answer was complete");
	}

}
