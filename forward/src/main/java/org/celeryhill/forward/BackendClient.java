package org.celeryhill.forward;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpDecoderConfig;

/**
 * HTTP client with kept connections. Sends a request exactly once: it never repeats,
 * redirects, decompresses or adds headers. All calls must come from the event loop that
 * it was created with.
 */
public final class BackendClient {

	private static final int CONNECT_TIMEOUT_MS = 600;

	private static final int MAX_HEAD_BYTES = 65_536;

	private static final int MAX_CHUNK_BYTES = 65_536;

	/** A kept connection that was idle for longer is not used again. */
	private static final long MAX_IDLE_NANOS = TimeUnit.SECONDS.toNanos(4);

	private final Map<PoolKey, ArrayDeque<BackendConnection>> idle = new HashMap<>();

	private final Bootstrap bootstrap;

	private final EventLoop loop;

	private BackendClient(EventLoop loop) {
		this.loop = loop;
		this.bootstrap = new Bootstrap().group(loop)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS);
	}

	/**
	 * Creates a client.
	 * @param loop the event loop that runs it, not null
	 * @return the client, never null
	 */
	public static BackendClient create(EventLoop loop) {
		return new BackendClient(Objects.requireNonNull(loop, "loop"));
	}

	/**
	 * Sends a request.
	 * @param key the pool of connections to use, not null
	 * @param request the request, not null; released by this call
	 * @param maxIdle the longest time that a kept connection may have been idle; zero for
	 * a new connection
	 * @param listener told what happens, not null
	 * @return the exchange, never null
	 */
	public Exchange send(PoolKey key, FullHttpRequest request, Duration maxIdle, ExchangeListener listener) {
		Exchange exchange = new Exchange(request, listener);
		BackendConnection kept = takeIdle(key, maxIdle.toNanos());
		if (kept != null) {
			kept.start(exchange);
			return exchange;
		}
		connect(key, exchange);
		return exchange;
	}

	private BackendConnection takeIdle(PoolKey key, long maxIdleNanos) {
		ArrayDeque<BackendConnection> queue = this.idle.get(key);
		long now = System.nanoTime();
		while (queue != null && !queue.isEmpty()) {
			BackendConnection connection = queue.peekLast();
			if (!connection.isReusable(now, Long.MAX_VALUE)) {
				queue.pollLast();
				connection.close();
				continue;
			}
			return connection.isReusable(now, maxIdleNanos) ? queue.pollLast() : null;
		}
		return null;
	}

	private void connect(PoolKey key, Exchange exchange) {
		BackendConnection connection = new BackendConnection(this, key);
		ChannelInitializer<SocketChannel> initializer = new ChannelInitializer<>() {
			@Override
			protected void initChannel(SocketChannel channel) {
				HttpDecoderConfig config = new HttpDecoderConfig().setMaxHeaderSize(MAX_HEAD_BYTES)
					.setMaxChunkSize(MAX_CHUNK_BYTES);
				channel.pipeline().addLast(new HttpClientCodec(config, false, false), connection);
			}
		};
		ChannelFuture future = this.bootstrap.clone().handler(initializer).connect(key.address());
		exchange.connecting(future);
		future.addListener((done) -> {
			if (!future.isSuccess()) {
				exchange.fail(ExchangeListener.Failure.NOT_SENT, "connect failed: " + future.cause());
			}
			else if (exchange.isEnded()) {
				future.channel().close();
			}
			else {
				connection.start(exchange);
			}
		});
	}

	void release(BackendConnection connection) {
		this.idle.computeIfAbsent(connection.key(), (key) -> new ArrayDeque<>()).addLast(connection);
	}

	void forget(BackendConnection connection) {
		ArrayDeque<BackendConnection> queue = this.idle.get(connection.key());
		if (queue != null) {
			queue.remove(connection);
			if (queue.isEmpty()) {
				this.idle.remove(connection.key());
			}
		}
	}

	/**
	 * Closes kept connections that were idle for too long and those of addresses that are
	 * no longer in use.
	 * @param isInUse tells which pools stay, not null
	 */
	public void closeIdleConnections(java.util.function.Predicate<PoolKey> isInUse) {
		long now = System.nanoTime();
		for (ArrayDeque<BackendConnection> queue : new java.util.ArrayList<>(this.idle.values())) {
			Iterator<BackendConnection> each = new java.util.ArrayList<>(queue).iterator();
			while (each.hasNext()) {
				BackendConnection connection = each.next();
				if (!isInUse.test(connection.key()) || !connection.isReusable(now, MAX_IDLE_NANOS)) {
					connection.close();
				}
			}
		}
	}

	EventLoop loop() {
		return this.loop;
	}

	/**
	 * Identifies a pool of connections: one life of one backend server.
	 *
	 * @param address where it listens, not null
	 * @param owner tells two owners of one address apart, not null
	 */
	public record PoolKey(InetSocketAddress address, String owner) {

		/**
		 * Checks the arguments.
		 */
		public PoolKey {
			Objects.requireNonNull(address, "address");
			Objects.requireNonNull(owner, "life");
		}

	}

	/**
	 * One request and its answer. Must be used on the event loop.
	 */
	public static final class Exchange {

		private final FullHttpRequest request;

		private final ExchangeListener listener;

		private ChannelFuture connecting;

		private Channel channel;

		private boolean isEnded;

		private boolean isWriteStarted;

		private Exchange(FullHttpRequest request, ExchangeListener listener) {
			this.request = request;
			this.listener = listener;
		}

		/**
		 * Ends the exchange and closes its connection. The listener is not told.
		 */
		public void cancel() {
			if (this.isEnded) {
				return;
			}
			this.isEnded = true;
			releaseRequest();
			if (this.channel != null) {
				this.channel.close();
			}
			else if (this.connecting != null) {
				this.connecting.cancel(false);
			}
		}

		/**
		 * Stops or resumes reading of the answer.
		 * @param isReading whether to read
		 */
		public void setReading(boolean isReading) {
			if (this.channel != null) {
				this.channel.config().setAutoRead(isReading);
			}
		}

		/**
		 * Returns whether a byte of the request may have left this process.
		 * @return whether it may
		 */
		public boolean isWriteStarted() {
			return this.isWriteStarted;
		}

		boolean isEnded() {
			return this.isEnded;
		}

		void connecting(ChannelFuture future) {
			this.connecting = future;
		}

		FullHttpRequest write(Channel target) {
			this.channel = target;
			this.isWriteStarted = true;
			return this.request;
		}

		ExchangeListener listener() {
			return this.listener;
		}

		void end() {
			this.isEnded = true;
			this.listener.onEnd();
		}

		void fail(ExchangeListener.Failure failure, String detail) {
			if (this.isEnded) {
				return;
			}
			this.isEnded = true;
			releaseRequest();
			this.listener.onFailure(failure, detail);
		}

		// After a write the encoder owns the request.
		private void releaseRequest() {
			if (!this.isWriteStarted) {
				this.request.release();
			}
		}

	}

}
