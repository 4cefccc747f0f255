package org.celeryhill.forward;

import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

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
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseEncoder;

/**
 * HTTP server for callers. Reads whole requests within the configured limits and hands
 * them to a handler. Must be used on the event loop that it was created with.
 */
public final class IngressServer {

	private static final int BACKLOG = 1024;

	private static final int MAX_LINE_BYTES = 16_384;

	private static final int MAX_CHUNK_BYTES = 65_536;

	private static final int WRITE_BUFFER_LOW = 32 * 1024;

	private static final int WRITE_BUFFER_HIGH = 128 * 1024;

	/** Memory for bodies that are being read, over all connections. */
	private static final long MAX_BUFFERED_BYTES = 64L << 20;

	private final Set<FrontConnection> connections = new HashSet<>();

	private final EventLoop loop;

	private final RequestHandler handler;

	private Channel listener;

	private boolean isDraining;

	private boolean isClosingIdleConnections;

	private long bufferedBytes;

	private IngressServer(EventLoop loop, RequestHandler handler) {
		this.loop = loop;
		this.handler = handler;
	}

	/**
	 * Creates a server that does not listen yet.
	 * @param loop the event loop that runs it, not null
	 * @param handler handles the requests, not null
	 * @return the server, never null
	 */
	public static IngressServer create(EventLoop loop, RequestHandler handler) {
		return new IngressServer(loop, handler);
	}

	/**
	 * Starts to listen.
	 * @param address where to listen, not null
	 * @return completes when the address is bound, never null
	 */
	public ChannelFuture listen(InetSocketAddress address) {
		ChannelFuture bound = new ServerBootstrap().group(this.loop)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_BACKLOG, BACKLOG)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childOption(ChannelOption.WRITE_BUFFER_WATER_MARK,
					new WriteBufferWaterMark(WRITE_BUFFER_LOW, WRITE_BUFFER_HIGH))
			.childHandler(new ChannelInitializer<SocketChannel>() {
				@Override
				protected void initChannel(SocketChannel channel) {
					open(channel);
				}
			})
			.bind(address);
		this.listener = bound.channel();
		return bound;
	}

	private void open(SocketChannel channel) {
		HttpDecoderConfig config = new HttpDecoderConfig().setMaxInitialLineLength(MAX_LINE_BYTES)
			.setMaxHeaderSize(this.handler.limits().maxHeaderBytes())
			.setMaxChunkSize(MAX_CHUNK_BYTES);
		FrontConnection connection = new FrontConnection(this, this.handler);
		channel.pipeline().addLast(new StrictDecoder(config), new HttpResponseEncoder(), connection);
		this.connections.add(connection);
	}

	void closed(FrontConnection connection) {
		this.connections.remove(connection);
	}

	boolean reserve(int bytes) {
		if (this.bufferedBytes + bytes > MAX_BUFFERED_BYTES) {
			return false;
		}
		this.bufferedBytes += bytes;
		return true;
	}

	void unreserve(int bytes) {
		this.bufferedBytes -= bytes;
	}

	boolean isDraining() {
		return this.isDraining;
	}

	/**
	 * Announces the end of each connection with its next answer. New requests are still
	 * served.
	 */
	public void startDraining() {
		this.isDraining = true;
	}

	boolean isClosingIdleConnections() {
		return this.isClosingIdleConnections;
	}

	/**
	 * Stops to listen and closes the connections that have no request, the others as soon
	 * as their request has ended. Running requests go on.
	 */
	public void closeIdleConnections() {
		this.isClosingIdleConnections = true;
		if (this.listener.isOpen()) {
			this.listener.close();
		}
		for (FrontConnection connection : Set.copyOf(this.connections)) {
			connection.closeIfIdle();
		}
	}

	/**
	 * Closes connections that stay without a request for longer than the limit, and those
	 * that take too long to send a head.
	 */
	public void closeExpiredConnections() {
		long now = System.nanoTime();
		for (FrontConnection connection : Set.copyOf(this.connections)) {
			connection.closeIfExpired(now);
		}
	}

	/**
	 * Stops to listen and closes all connections.
	 */
	public void close() {
		this.listener.close();
		for (FrontConnection connection : Set.copyOf(this.connections)) {
			connection.abort();
		}
	}

	static long nanos(long millis) {
		return TimeUnit.MILLISECONDS.toNanos(millis);
	}

	/**
	 * Rejects a request with both a length and chunks, whose end two readers could see in
	 * different places.
	 */
	private static final class StrictDecoder extends HttpRequestDecoder {

		StrictDecoder(HttpDecoderConfig config) {
			super(config);
		}

		@Override
		protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
			throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
		}

	}

}
