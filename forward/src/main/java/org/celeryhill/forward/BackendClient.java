package org.celeryhill.forward;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;

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

	private final ConnectionPool pool = new ConnectionPool();

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
		this.pool.poll(key, exchange, maxIdle)
			.ifPresentOrElse((reused) -> reuse(reused, exchange), () -> connect(key, exchange));
		return exchange;
	}

	private static void reuse(BackendConnection connection, Exchange exchange) {
		exchange.setConnectionUse(connection.nextUse());
		connection.startExchange(exchange);
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
		this.pool.add(connection);
	}

	void removeFromPool(BackendConnection connection) {
		this.pool.remove(connection);
	}

	/**
	 * Closes pooled connections that were idle for too long and all connections of pools
	 * that are no longer in use.
	 * @param isInUse whether a pool is still in use, not null
	 */
	public void closeIdleConnections(Predicate<PoolKey> isInUse) {
		this.pool.closeIdleConnections(isInUse);
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

}
