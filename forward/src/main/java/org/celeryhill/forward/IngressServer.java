package org.celeryhill.forward;

import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.Set;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpResponseEncoder;

/**
 * HTTP server that reads complete requests within the configured limits and passes them
 * to a {@link RequestHandler}. Must be used on the event loop that it was created with.
 */
public final class IngressServer {

	private static final int ACCEPT_BACKLOG = 1024;

	private static final int MAX_REQUEST_LINE_BYTES = 16_384;

	private static final int MAX_CHUNK_BYTES = 65_536;

	private static final int WRITE_BUFFER_LOW_BYTES = 32 * 1024;

	private static final int WRITE_BUFFER_HIGH_BYTES = 128 * 1024;

	/** Limit on the size of the buffered request bodies of all connections. */
	private static final long MAX_BUFFERED_BODY_BYTES = 64L << 20;

	/** Limit on the memory of what callers have sent ahead on all connections. */
	private static final long MAX_WAITING_BYTES = 16L << 20;

	private final Set<IngressConnection> connections = new HashSet<>();

	private final EventLoop loop;

	private final RequestHandler handler;

	private Channel listeningChannel;

	private boolean isDraining;

	private boolean isClosingIdleConnections;

	private long bufferedBodyBytes;

	private long waitingBytes;

	private IngressServer(EventLoop loop, RequestHandler handler) {
		this.loop = loop;
		this.handler = handler;
	}

	/**
	 * Creates a server without opening a port.
	 * @param loop the event loop that runs it, not null
	 * @param handler handles the requests, not null
	 * @return the server, never null
	 */
	public static IngressServer create(EventLoop loop, RequestHandler handler) {
		return new IngressServer(loop, handler);
	}

	/**
	 * Starts to accept connections.
	 * @param address the address to bind, not null
	 * @return a future that completes when the address is bound, never null
	 */
	public ChannelFuture listen(InetSocketAddress address) {
		ChannelFuture bound = new ServerBootstrap().group(this.loop)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childOption(ChannelOption.WRITE_BUFFER_WATER_MARK,
					new WriteBufferWaterMark(WRITE_BUFFER_LOW_BYTES, WRITE_BUFFER_HIGH_BYTES))
			.childHandler(new ChannelInitializer<SocketChannel>() {
				@Override
				protected void initChannel(SocketChannel channel) {
					initConnection(channel);
				}
			})
			.bind(address);
		this.listeningChannel = bound.channel();
		return bound;
	}

	void initConnection(Channel channel) {
		HttpDecoderConfig config = new HttpDecoderConfig().setMaxInitialLineLength(MAX_REQUEST_LINE_BYTES)
			.setMaxHeaderSize(this.handler.limits().maxHeaderBytes())
			.setMaxChunkSize(MAX_CHUNK_BYTES);
		RequestDecoder decoder = new RequestDecoder(config, this);
		IngressConnection connection = new IngressConnection(this, this.handler, decoder);
		channel.pipeline().addLast(decoder, new HttpResponseEncoder(), connection);
		this.connections.add(connection);
	}

	void removeConnection(IngressConnection connection) {
		this.connections.remove(connection);
	}

	boolean reserveBodyBytes(int bytes) {
		if (this.bufferedBodyBytes + bytes > MAX_BUFFERED_BODY_BYTES) {
			return false;
		}
		this.bufferedBodyBytes += bytes;
		return true;
	}

	void releaseBodyBytes(int bytes) {
		this.bufferedBodyBytes -= bytes;
	}

	// Adds to the memory of what callers have sent ahead, or subtracts from it.
	void addWaitingBytes(int bytes) {
		this.waitingBytes += bytes;
	}

	long waitingBytes() {
		return this.waitingBytes;
	}

	// Returns whether a connection may be read on while a request of it is handled.
	boolean isWaitingAllowed() {
		return this.waitingBytes <= MAX_WAITING_BYTES;
	}

	boolean isDraining() {
		return this.isDraining;
	}

	/**
	 * Adds "Connection: close" to each response from now on, so that callers close their
	 * connections. New requests are still handled.
	 */
	public void startDraining() {
		this.isDraining = true;
	}

	boolean isClosingIdleConnections() {
		return this.isClosingIdleConnections;
	}

	/**
	 * Stops accepting connections, closes idle connections, and closes each other
	 * connection when its current request ends. Active requests are completed.
	 */
	public void closeIdleConnections() {
		this.isClosingIdleConnections = true;
		if (this.listeningChannel.isOpen()) {
			this.listeningChannel.close();
		}
		for (IngressConnection connection : Set.copyOf(this.connections)) {
			connection.closeIfIdle();
		}
	}

	/**
	 * Returns whether a response is still being written to a caller.
	 * @return false once the last byte of each response was written
	 */
	public boolean isWritingResponses() {
		return this.connections.stream().anyMatch(IngressConnection::isResponseUnwritten);
	}

	/**
	 * Closes connections whose callers exceed the limits on time: of a head, of a body,
	 * of the time between two requests, or of that in which nothing of a response is
	 * taken. To be called periodically; a connection is closed by the second call that
	 * finds its time exceeded, 0.25 s or more after the first.
	 */
	public void closeExpiredConnections() {
		long now = System.nanoTime();
		for (IngressConnection connection : Set.copyOf(this.connections)) {
			connection.closeIfExpired(now);
		}
	}

	/**
	 * Stops accepting connections and closes all connections. A response that is not
	 * written as a whole does not look whole to its caller.
	 */
	public void close() {
		this.listeningChannel.close();
		for (IngressConnection connection : Set.copyOf(this.connections)) {
			connection.abort();
		}
	}

}
