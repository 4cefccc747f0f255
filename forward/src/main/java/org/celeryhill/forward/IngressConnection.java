package org.celeryhill.forward;

import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
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
 * A connection from a caller. Handles pipelined requests one at a time and sends the
 * responses in the order of the requests.
 */
final class IngressConnection extends ChannelInboundHandlerAdapter implements ResponseChannel {

	private static final EventLog LOG = EventLog.of(IngressConnection.class);

	private final IngressServer server;

	private final RequestHandler handler;

	private final RequestDecoder decoder;

	private final ExpiryCheck expiryCheck = new ExpiryCheck();

	private ChannelHandlerContext context;

	private HttpRequest currentRequest;

	private final RequestBody body;

	private long headersReceivedNanos;

	private long idleSinceNanos = System.nanoTime();

	private RequestHandler.ActiveRequest running;

	private boolean isHandlingRequest;

	private boolean isNextRequestPending;

	private boolean isClosePending;

	private boolean isChunkedSupported;

	private boolean isStreamStarted;

	/** Whether the caller takes the end of the connection for that of the response. */
	private boolean isDelimitedByClose;

	/** Body of a long response that is not yet handed over as a whole, else null. */
	private LongResponseBody longBody;

	private ChannelFuture lastWrite;

	IngressConnection(IngressServer server, RequestHandler handler, RequestDecoder decoder) {
		this.server = server;
		this.handler = handler;
		this.decoder = decoder;
		this.body = new RequestBody(server);
	}

	@Override
	public void handlerAdded(ChannelHandlerContext ctx) {
		this.context = ctx;
	}

	@Override
	public void channelRead(ChannelHandlerContext ctx, Object message) {
		try {
			// The rest of a request that was rejected is of no use.
			if (!this.isHandlingRequest && !this.isClosePending) {
				handleMessage((HttpObject) message);
			}
		}
		finally {
			ReferenceCountUtil.release(message);
		}
	}

	private void handleMessage(HttpObject message) {
		if (message.decoderResult().isFailure()) {
			rejectMalformed(message.decoderResult().cause());
			return;
		}
		if (message instanceof HttpRequest request) {
			startRequest(request);
		}
		if (message instanceof HttpContent content && this.currentRequest != null) {
			appendBody(content);
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
		discardRequest();
		this.isClosePending = true;
		startHandling();
		respond(status, EmptyHttpHeaders.INSTANCE, Unpooled.EMPTY_BUFFER);
	}

	private void startRequest(HttpRequest request) {
		this.currentRequest = request;
		this.headersReceivedNanos = System.nanoTime();
		long length = HttpUtil.getContentLength(request, 0L);
		if (!isAscii(request.uri())) {
			LOG.warn("request_malformed", "status", HttpResponseStatus.BAD_REQUEST.code(), "cause",
					"target has characters outside of ASCII");
			reject(HttpResponseStatus.BAD_REQUEST);
		}
		else if (length > this.handler.limits().maxBodyBytes()) {
			reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
		}
		else if (HttpUtil.is100ContinueExpected(request)) {
			this.context.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE,
					Unpooled.EMPTY_BUFFER));
		}
	}

	// Other characters would be encoded anew on the way to the server.
	private static boolean isAscii(String target) {
		return target.chars().allMatch((character) -> character < 0x80);
	}

	private void appendBody(HttpContent content) {
		if (content.content().isReadable()) {
			Optional<HttpResponseStatus> rejection = this.body.add(content.content(),
					this.handler.limits().maxBodyBytes());
			if (rejection.isPresent()) {
				reject(rejection.get());
				return;
			}
		}
		if (content instanceof LastHttpContent) {
			dispatch();
		}
	}

	private void dispatch() {
		HttpRequest request = this.currentRequest;
		this.currentRequest = null;
		startHandling();
		this.isClosePending |= !HttpUtil.isKeepAlive(request);
		this.isChunkedSupported = request.protocolVersion().isKeepAliveDefault();
		IncomingRequest incoming = new IncomingRequest(request.method(), request.uri(), request.headers(),
				this.body.take(), this.headersReceivedNanos);
		RequestHandler.ActiveRequest activeRequest = this.handler.handle(incoming, this);
		if (this.isHandlingRequest) {
			this.running = activeRequest;
		}
	}

	private void startHandling() {
		this.isHandlingRequest = true;
		this.decoder.pause();
	}

	private void discardRequest() {
		this.currentRequest = null;
		this.body.end();
	}

	@Override
	public void respond(HttpResponseStatus status, HttpHeaders headers, ByteBuf content) {
		if (!this.isHandlingRequest || !this.context.channel().isActive()) {
			content.release();
			return;
		}
		if (this.isStreamStarted) {
			LOG.warn("response_within_stream", "status", status.code());
			content.release();
			abort();
			return;
		}
		HttpHeaders copy = headers.copy().set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes());
		setConnectionHeader(copy);
		if (!LongResponseBody.isLong(content)) {
			finishResponse(this.context.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, content,
					copy, EmptyHttpHeaders.INSTANCE)));
			return;
		}
		this.running = null;
		this.longBody = new LongResponseBody(this.context, this.handler, content);
		this.context.write(new DefaultHttpResponse(HttpVersion.HTTP_1_1, status, copy));
		writeLongBody();
	}

	private void writeLongBody() {
		if (this.longBody.write()) {
			this.idleSinceNanos = System.nanoTime();
		}
		if (this.longBody.remainingBytes() == 0) {
			releaseLongBody();
			finishResponse(this.context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT));
		}
	}

	private void releaseLongBody() {
		this.longBody.release();
		this.longBody = null;
	}

	@Override
	public void startStream(HttpResponseStatus status, HttpHeaders headers) {
		this.isStreamStarted = true;
		HttpHeaders copy = DefaultHttpHeadersFactory.headersFactory().newHeaders().set(headers);
		if (this.isChunkedSupported) {
			copy.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
		}
		else {
			this.isDelimitedByClose = true;
			this.isClosePending = true;
		}
		setConnectionHeader(copy);
		this.context.writeAndFlush(new DefaultHttpResponse(HttpVersion.HTTP_1_1, status, copy));
	}

	@Override
	public boolean write(byte[] bytes) {
		this.context.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)));
		return this.context.channel().isWritable();
	}

	@Override
	public void endStream() {
		finishResponse(this.context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT));
	}

	private void setConnectionHeader(HttpHeaders headers) {
		this.isClosePending |= this.server.isDraining();
		if (this.isClosePending) {
			headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
		}
	}

	private void finishResponse(ChannelFuture writeFuture) {
		this.lastWrite = writeFuture;
		writeFuture.addListener((done) -> handleResponseWritten(done.cause()));
		this.running = null;
		this.isHandlingRequest = false;
		this.isStreamStarted = false;
		discardRequest();
		this.idleSinceNanos = System.nanoTime();
		// A response that began before the drain has no "Connection: close" header.
		this.isClosePending |= this.server.isClosingIdleConnections();
		if (this.isClosePending) {
			writeFuture.addListener(ChannelFutureListener.CLOSE);
			return;
		}
		this.isNextRequestPending = true;
		this.context.executor().execute(this::readNextRequest);
	}

	private void handleResponseWritten(Throwable failure) {
		this.idleSinceNanos = System.nanoTime();
		if (failure != null) {
			LOG.warn("response_not_delivered", "caller", this.context.channel().remoteAddress(), "cause", failure);
		}
	}

	// Returns whether a response was handed over whose last byte is not yet written.
	boolean isResponseUnwritten() {
		return this.longBody != null || (this.lastWrite != null && !this.lastWrite.isDone());
	}

	// Waits until the caller has taken the responses before, if there are too many bytes.
	private void readNextRequest() {
		if (this.isNextRequestPending && this.context.channel().isWritable()) {
			this.isNextRequestPending = false;
			this.decoder.resume();
		}
	}

	@Override
	public void abort() {
		boolean isUnfinished = this.isStreamStarted || isResponseUnwritten();
		if (this.isDelimitedByClose && isUnfinished) {
			BackendClient.reset(this.context.channel());
		}
		else {
			this.context.close();
		}
	}

	void closeIfIdle() {
		if (!this.isHandlingRequest && !this.isNextRequestPending && this.currentRequest == null
				&& !isResponseUnwritten()) {
			this.context.close();
		}
	}

	void closeIfExpired(long now) {
		CallerWait wait = currentWait();
		boolean isTooLong = wait.isTooLong(now - waitStartNanos(wait), this.handler.limits());
		if (!this.expiryCheck.isConfirmed(isTooLong, now)) {
			return;
		}
		if (wait != CallerWait.REQUEST) {
			LOG.warn("caller_stalled", "caller", this.context.channel().remoteAddress(), "waited_for", wait);
		}
		abort();
	}

	private CallerWait currentWait() {
		if (isResponseUnwritten()) {
			return CallerWait.RESPONSE_TAKEN;
		}
		if (this.isHandlingRequest) {
			return CallerWait.NOTHING;
		}
		if (this.currentRequest != null) {
			return CallerWait.BODY;
		}
		return this.decoder.isReadingHead() ? CallerWait.HEAD : CallerWait.REQUEST;
	}

	private long waitStartNanos(CallerWait wait) {
		return switch (wait) {
			case HEAD -> this.decoder.headStartNanos();
			case BODY -> this.headersReceivedNanos;
			default -> this.idleSinceNanos;
		};
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext ctx) {
		if (!ctx.channel().isWritable()) {
			return;
		}
		if (this.longBody != null) {
			if (!this.longBody.isWriting()) {
				writeLongBody();
			}
		}
		else if (this.running != null) {
			this.running.onCallerWritable();
		}
		else if (this.isNextRequestPending) {
			ctx.executor().execute(this::readNextRequest);
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext ctx) {
		this.server.removeConnection(this);
		RequestHandler.ActiveRequest activeRequest = this.running;
		this.running = null;
		if (this.longBody != null) {
			LOG.warn("response_not_delivered", "caller", ctx.channel().remoteAddress(), "left",
					this.longBody.remainingBytes());
			releaseLongBody();
		}
		discardRequest();
		this.isHandlingRequest = false;
		this.isNextRequestPending = false;
		if (activeRequest != null) {
			activeRequest.onCallerDisconnected();
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
		if (!(cause instanceof java.io.IOException)) {
			LOG.warn("connection_failed", "cause", cause);
		}
		abort();
	}

}
