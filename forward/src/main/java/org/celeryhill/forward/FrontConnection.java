package org.celeryhill.forward;

import java.util.ArrayDeque;
import java.util.Queue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.util.ReferenceCountUtil;
import org.celeryhill.base.EventLog;

/**
 * One connection of a caller. Answers its requests one after the other, in order.
 */
final class FrontConnection extends ChannelInboundHandlerAdapter implements ResponseChannel {

	private static final EventLog LOG = EventLog.of(FrontConnection.class);

	/** Messages of later requests that are kept while one is answered. */
	private static final int MAX_WAITING_MESSAGES = 256;

	private static final long HEAD_SLACK_NANOS = IngressServer.nanos(500);

	private final Queue<HttpObject> waiting = new ArrayDeque<>();

	private final IngressServer server;

	private final RequestHandler handler;

	private ChannelHandlerContext context;

	private HttpRequest head;

	private ByteBuf body;

	private int reserved;

	private long headArrived;

	private long idleSince = System.nanoTime();

	private RequestHandler.ActiveRequest running;

	private boolean isBusy;

	private boolean isClosing;

	private boolean isStreamChunked;

	FrontConnection(IngressServer server, RequestHandler handler) {
		this.server = server;
		this.handler = handler;
	}

	@Override
	public void handlerAdded(ChannelHandlerContext ctx) {
		this.context = ctx;
	}

	@Override
	public void channelRead(ChannelHandlerContext ctx, Object message) {
		if (this.isClosing && !this.isBusy) {
			ReferenceCountUtil.release(message);
			return;
		}
		if (this.isBusy) {
			this.waiting.add((HttpObject) message);
			if (this.waiting.size() > MAX_WAITING_MESSAGES) {
				ctx.channel().config().setAutoRead(false);
			}
			return;
		}
		read((HttpObject) message);
	}

	private void read(HttpObject message) {
		try {
			if (message.decoderResult().isFailure()) {
				rejectMalformed(message.decoderResult().cause());
				return;
			}
			if (message instanceof HttpRequest request) {
				startRequest(request);
			}
			if (message instanceof HttpContent content && this.head != null) {
				addBody(content);
			}
		}
		finally {
			ReferenceCountUtil.release(message);
		}
	}

	private void rejectMalformed(Throwable cause) {
		boolean isTooLong = cause instanceof TooLongHttpHeaderException;
		HttpResponseStatus status = isTooLong ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
				: HttpResponseStatus.BAD_REQUEST;
		LOG.warn("request_malformed", "status", status.code(), "cause", cause);
		reject(status);
	}

	private void reject(HttpResponseStatus status) {
		dropBody();
		this.isClosing = true;
		this.isBusy = true;
		respond(status, EmptyHttpHeaders.INSTANCE, Unpooled.EMPTY_BUFFER);
	}

	private void startRequest(HttpRequest request) {
		this.head = request;
		this.headArrived = System.nanoTime();
		this.body = Unpooled.EMPTY_BUFFER;
		long length = HttpUtil.getContentLength(request, 0L);
		if (length > this.handler.limits().maxBodyBytes()) {
			reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
		}
		else if (HttpUtil.is100ContinueExpected(request)) {
			this.context.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE,
					Unpooled.EMPTY_BUFFER));
		}
	}

	private void addBody(HttpContent content) {
		int size = content.content().readableBytes();
		if (size > 0) {
			if (this.body.readableBytes() + size > this.handler.limits().maxBodyBytes()) {
				reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
				return;
			}
			if (!this.server.reserve(size)) {
				LOG.warn("request_refused", "reason", "body_memory", "bytes", size);
				reject(HttpResponseStatus.SERVICE_UNAVAILABLE);
				return;
			}
			this.reserved += size;
			if (this.body == Unpooled.EMPTY_BUFFER) {
				this.body = Unpooled.buffer(size);
			}
			this.body.writeBytes(content.content());
		}
		if (content instanceof LastHttpContent) {
			dispatch();
		}
	}

	private void dispatch() {
		HttpRequest request = this.head;
		ByteBuf bytes = this.body;
		this.head = null;
		this.body = null;
		this.isBusy = true;
		this.isClosing |= !HttpUtil.isKeepAlive(request);
		this.isStreamChunked = request.protocolVersion().isKeepAliveDefault();
		IncomingRequest incoming = new IncomingRequest(request.method(), request.uri(), request.headers(), bytes,
				this.headArrived);
		RequestHandler.ActiveRequest started = this.handler.handle(incoming, this);
		if (this.isBusy) {
			this.running = started;
		}
	}

	private void dropBody() {
		this.head = null;
		this.body = null;
		this.server.unreserve(this.reserved);
		this.reserved = 0;
	}

	@Override
	public void respond(HttpResponseStatus status, HttpHeaders headers, ByteBuf content) {
		if (!this.isBusy || !this.context.channel().isActive()) {
			content.release();
			return;
		}
		DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, content,
				headers.copy(), EmptyHttpHeaders.INSTANCE);
		response.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes());
		setConnection(response.headers());
		ended(this.context.writeAndFlush(response));
	}

	@Override
	public void startStream(HttpResponseStatus status, HttpHeaders headers) {
		HttpHeaders copy = DefaultHttpHeadersFactory.headersFactory().newHeaders().set(headers);
		if (this.isStreamChunked) {
			copy.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
		}
		else {
			this.isClosing = true;
		}
		setConnection(copy);
		this.context.writeAndFlush(new DefaultHttpResponse(HttpVersion.HTTP_1_1, status, copy));
	}

	@Override
	public boolean write(byte[] bytes) {
		this.context.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)));
		return this.context.channel().isWritable();
	}

	@Override
	public void endStream() {
		ended(this.context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT));
	}

	private void setConnection(HttpHeaders headers) {
		this.isClosing |= this.server.isDraining();
		if (this.isClosing) {
			headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
		}
	}

	private void ended(io.netty.channel.ChannelFuture written) {
		this.running = null;
		this.isBusy = false;
		dropBody();
		this.idleSince = System.nanoTime();
		// The head of an answer that began before the stop did not announce it.
		this.isClosing |= this.server.isClosingIdleConnections();
		if (this.isClosing) {
			written.addListener(ChannelFutureListener.CLOSE);
			releaseWaiting();
			return;
		}
		this.context.channel().config().setAutoRead(true);
		this.context.executor().execute(this::readWaiting);
	}

	private void readWaiting() {
		while (!this.isBusy && !this.waiting.isEmpty()) {
			read(this.waiting.poll());
		}
	}

	@Override
	public void abort() {
		this.context.close();
	}

	void closeIfIdle() {
		if (!this.isBusy && this.head == null) {
			this.context.close();
		}
	}

	void closeIfExpired(long now) {
		IngressLimits limits = this.handler.limits();
		if (this.isBusy) {
			return;
		}
		boolean isIdleTooLong = this.head == null && now - this.idleSince > limits.idleTimeout().toNanos();
		boolean isBodyTooSlow = this.head != null
				&& now - this.headArrived > limits.idleTimeout().toNanos() + HEAD_SLACK_NANOS;
		if (isIdleTooLong || isBodyTooSlow) {
			this.context.close();
		}
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext ctx) {
		if (ctx.channel().isWritable() && this.running != null) {
			this.running.onCallerWritable();
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext ctx) {
		this.server.closed(this);
		releaseWaiting();
		RequestHandler.ActiveRequest left = this.running;
		this.running = null;
		dropBody();
		this.isBusy = false;
		if (left != null) {
			left.onCallerDisconnected();
		}
	}

	private void releaseWaiting() {
		this.waiting.forEach(ReferenceCountUtil::release);
		this.waiting.clear();
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
		if (!(cause instanceof java.io.IOException)) {
			LOG.warn("connection_failed", "cause", cause);
		}
		ctx.close();
	}

}
