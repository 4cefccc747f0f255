package org.celeryhill.forward;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequestEncoder;
import org.celeryhill.base.SendState;
import org.celeryhill.base.SendStateProbe;

/**
 * HTTP client with a connection pool for each backend server. Sends each request once: it
 * does not retry, follow redirects, decompress or add headers. Must be used on the event
 * loop that it was created with.
 */
public final class BackendClient {

	private static final int CONNECT_TIMEOUT_MS = 600;

	private static final int MIN_READ_BYTES = 256;

	private static final int INITIAL_READ_BYTES = 2048;

	/**
	 * What one connection reads in a turn of the event loop, so that others get theirs.
	 */
	private static final int MAX_READ_BYTES = 16_384;

	/** Longest time that a connection stays idle in its pool. */
	private static final long MAX_IDLE_NANOS = TimeUnit.SECONDS.toNanos(4);

	private final Map<PoolKey, ArrayDeque<BackendConnection>> idleConnections = new HashMap<>();

	private final Bootstrap bootstrap;

	private final EventLoop loop;

	private long connectionCount;

	/** Null until the state of a connection was asked for. */
	private SendStateProbe sendStateProbe;

	private BackendClient(EventLoop loop) {
		this.loop = loop;
		this.bootstrap = new Bootstrap().group(loop)
			.channelFactory(BackendChannel::new)
			.option(ChannelOption.TCP_NODELAY, true)
			// Tells the regular end of what a server sends from a broken connection.
			.option(ChannelOption.ALLOW_HALF_CLOSURE, true)
			.option(ChannelOption.RECVBUF_ALLOCATOR,
					new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES)
						.maxMessagesPerRead(1))
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS);
	}

	/**
	 * Creates a client.
	 * @param loop the event loop that runs the connections, not null
	 * @return the client, never null
	 */
	public static BackendClient create(EventLoop loop) {
		return new BackendClient(Objects.requireNonNull(loop, "loop"));
	}

	/**
	 * Sends a request without an id, whose response cannot be told from another one.
	 * @param key the connection pool to use, not null
	 * @param request the request, not null; ownership passes to this client
	 * @param maxIdle the longest time that a reused connection may have been idle, not
	 * null; zero for a new connection
	 * @param listener the listener for the response or the failure, not null
	 * @return the exchange, never null
	 */
	public Exchange send(PoolKey key, FullHttpRequest request, Duration maxIdle, ExchangeListener listener) {
		return send(key, new Exchange(request, Optional.empty(), listener), maxIdle);
	}

	/**
	 * Sends a request whose response bears its id. A connection that has carried the same
	 * id is not used again for it, as a server may repeat its earlier response.
	 * @param key the connection pool to use, not null
	 * @param request the request, not null; ownership passes to this client
	 * @param id the id, not null
	 * @param maxIdle the longest time that a reused connection may have been idle, not
	 * null; zero for a new connection
	 * @param listener the listener for the response or the failure, not null
	 * @return the exchange, never null
	 */
	Exchange send(PoolKey key, FullHttpRequest request, String id, Duration maxIdle, ExchangeListener listener) {
		return send(key, new Exchange(request, Optional.of(id), listener), maxIdle);
	}

	private Exchange send(PoolKey key, Exchange exchange, Duration maxIdle) {
		BackendConnection reused = pollIdleConnection(key, exchange, maxIdle.toNanos());
		if (reused != null) {
			exchange.setConnectionUse(reused.nextUse());
			reused.startExchange(exchange);
			return exchange;
		}
		connect(key, exchange);
		return exchange;
	}

	// Returns the connection that was used last among those that can carry the exchange.
	private BackendConnection pollIdleConnection(PoolKey key, Exchange exchange, long maxIdleNanos) {
		ArrayDeque<BackendConnection> queue = this.idleConnections.getOrDefault(key, new ArrayDeque<>());
		long now = System.nanoTime();
		Iterator<BackendConnection> latestFirst = queue.descendingIterator();
		while (latestFirst.hasNext()) {
			BackendConnection connection = latestFirst.next();
			if (!connection.isReusable(now, Long.MAX_VALUE)) {
				latestFirst.remove();
				connection.close();
			}
			else if (!connection.isReusable(now, maxIdleNanos)) {
				return null;
			}
			else if (!connection.hasCarried(exchange)) {
				latestFirst.remove();
				return connection;
			}
		}
		return null;
	}

	private void connect(PoolKey key, Exchange exchange) {
		BackendConnection connection = new BackendConnection(this, key, this.connectionCount++);
		exchange.setConnectionUse(connection.nextUse());
		ChannelInitializer<SocketChannel> initializer = new ChannelInitializer<>() {
			@Override
			protected void initChannel(SocketChannel channel) {
				channel.pipeline()
					.addLast(new ResponseBoundary(connection), connection.decoder(), new HttpRequestEncoder(),
							connection);
			}
		};
		long start = System.nanoTime();
		ChannelFuture future = this.bootstrap.clone().handler(initializer).connect(key.address());
		exchange.setConnectFuture(future);
		future.addListener((done) -> {
			if (!future.isSuccess()) {
				exchange.fail(ExchangeListener.Failure.NOT_SENT, "could not connect: " + future.cause());
			}
			else if (exchange.isEnded()) {
				future.channel().close();
			}
			else {
				connection.setConnectTime(Duration.ofNanos(System.nanoTime() - start));
				connection.startExchange(exchange);
			}
		});
	}

	/**
	 * Opens a connection to find out whether a process listens at an address, and closes
	 * it again.
	 * @param address the address, not null
	 * @param callback receives the result, not null
	 */
	void checkListening(InetSocketAddress address, Consumer<Reachability> callback) {
		ChannelFuture future = this.bootstrap.clone().handler(new ChannelInboundHandlerAdapter()).connect(address);
		future.addListener((done) -> {
			if (future.isSuccess()) {
				future.channel().close();
				callback.accept(Reachability.LISTENING);
			}
			else {
				boolean isRefused = future.cause() instanceof ConnectException
						&& !(future.cause() instanceof ConnectTimeoutException);
				callback.accept(isRefused ? Reachability.REFUSED : Reachability.UNKNOWN);
			}
		});
	}

	void returnToPool(BackendConnection connection) {
		this.idleConnections.computeIfAbsent(connection.key(), (key) -> new ArrayDeque<>()).addLast(connection);
	}

	void removeFromPool(BackendConnection connection) {
		ArrayDeque<BackendConnection> queue = this.idleConnections.get(connection.key());
		if (queue != null) {
			queue.remove(connection);
			if (queue.isEmpty()) {
				this.idleConnections.remove(connection.key());
			}
		}
	}

	/**
	 * Closes pooled connections that were idle for too long and all connections of pools
	 * that are no longer in use.
	 * @param isInUse whether a pool is still in use, not null
	 */
	public void closeIdleConnections(java.util.function.Predicate<PoolKey> isInUse) {
		long now = System.nanoTime();
		for (ArrayDeque<BackendConnection> queue : new java.util.ArrayList<>(this.idleConnections.values())) {
			Iterator<BackendConnection> iterator = new java.util.ArrayList<>(queue).iterator();
			while (iterator.hasNext()) {
				BackendConnection connection = iterator.next();
				if (!isInUse.test(connection.key()) || !connection.isReusable(now, MAX_IDLE_NANOS)) {
					connection.close();
				}
			}
		}
	}

	// Closes a connection in such a way that the system discards what it has not sent and
	// the other end sees a reset.
	static void reset(Channel channel) {
		if (channel.isOpen()) {
			channel.config().setOption(ChannelOption.SO_LINGER, 0);
		}
		channel.close();
	}

	EventLoop loop() {
		return this.loop;
	}

	// Returns the state of what was written to a connection of this client.
	SendState sendState(Channel channel, boolean isWritten) throws IOException {
		if (this.sendStateProbe == null) {
			this.sendStateProbe = openProbe();
		}
		return ((BackendChannel) channel).sendState(this.sendStateProbe, isWritten);
	}

	private SendStateProbe openProbe() throws IOException {
		SendStateProbe probe = SendStateProbe.open();
		this.loop.terminationFuture().addListener((ended) -> probe.close());
		return probe;
	}

	/**
	 * Whether a process listens at an address.
	 */
	enum Reachability {

		/** A connection was accepted. */
		LISTENING,

		/** The machine responds, but no process listens. */
		REFUSED,

		/** No response arrived in time, or the connection failed in another way. */
		UNKNOWN

	}

	/**
	 * Identifies a connection pool: one process at one address.
	 *
	 * @param address the address to connect to, not null
	 * @param owner identifies the process at the address, so that a connection is never
	 * reused for another process, not null
	 */
	public record PoolKey(InetSocketAddress address, String owner) {

		/**
		 * Creates a key.
		 */
		public PoolKey {
			Objects.requireNonNull(address, "address");
			Objects.requireNonNull(owner, "owner");
		}

	}

	/**
	 * The use of a connection by one exchange.
	 *
	 * @param connection number of the connection, unique within the process
	 * @param use number of the exchange on the connection, from 1
	 */
	record ConnectionUse(long connection, int use) {

		@Override
		public String toString() {
			return this.connection + "." + this.use;
		}

	}

	/**
	 * A request and its response. Must be used on the event loop.
	 */
	public static final class Exchange {

		private final FullHttpRequest request;

		private final int bodyBytes;

		private final Optional<String> id;

		private final ExchangeListener listener;

		private ChannelFuture connectFuture;

		private Channel channel;

		private boolean isEnded;

		private boolean isWriteStarted;

		private ConnectionUse connectionUse;

		private String textBehind = "";

		private Exchange(FullHttpRequest request, Optional<String> id, ExchangeListener listener) {
			this.request = request;
			this.bodyBytes = request.content().readableBytes();
			this.id = id;
			this.listener = listener;
		}

		/**
		 * Ends the exchange and resets its connection without notifying the listener, so
		 * that bytes of the request that the network holds up do not arrive later.
		 */
		public void cancel() {
			if (this.isEnded) {
				return;
			}
			this.isEnded = true;
			releaseRequest();
			if (this.channel != null) {
				reset(this.channel);
			}
			else if (this.connectFuture != null) {
				this.connectFuture.cancel(false);
			}
		}

		/**
		 * Pauses or resumes reading of the response. Has no effect on an exchange that
		 * has ended, as its connection may have been reused.
		 * @param isReading whether to read
		 */
		public void setReading(boolean isReading) {
			if (this.channel != null && !this.isEnded) {
				this.channel.config().setAutoRead(isReading);
			}
		}

		/**
		 * Returns whether any byte of the request may have been sent.
		 * @return whether writing of the request has started
		 */
		public boolean isWriteStarted() {
			return this.isWriteStarted;
		}

		boolean isEnded() {
			return this.isEnded;
		}

		// Returns the connection that the request was or will be sent on.
		ConnectionUse connectionUse() {
			return this.connectionUse;
		}

		void setConnectionUse(ConnectionUse use) {
			this.connectionUse = use;
		}

		void setConnectFuture(ChannelFuture future) {
			this.connectFuture = future;
		}

		// Returns the id that the response has to bear, empty if it bears none.
		Optional<String> id() {
			return this.id;
		}

		HttpMethod method() {
			return this.request.method();
		}

		int bodyBytes() {
			return this.bodyBytes;
		}

		FullHttpRequest startWrite(Channel target) {
			this.channel = target;
			this.isWriteStarted = true;
			return this.request;
		}

		ExchangeListener listener() {
			return this.listener;
		}

		// Returns the first bytes that were received behind the response.
		String textBehind() {
			return this.textBehind;
		}

		void complete(String bytesBehind) {
			this.textBehind = bytesBehind;
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

		// Once writing has started, the encoder releases the request.
		private void releaseRequest() {
			if (!this.isWriteStarted) {
				this.request.release();
			}
		}

	}

}
