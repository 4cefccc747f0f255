package org.celeryhill.forward;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.celeryhill.base.ConnectionEnd;
import org.celeryhill.base.EventLog;

/**
 * A connection to a backend server that carries one exchange at a time. It is closed when
 * bytes arrive that do not belong to an exchange.
 */
final class BackendConnection extends ChannelInboundHandlerAdapter {

	private static final EventLog LOG = EventLog.of(BackendConnection.class);

	/** Interim responses of one exchange after which the server is given up. */
	private static final int MAX_INTERIM_RESPONSES = 16;

	/**
	 * Largest body of a request that is sent at once, in the initial window of a
	 * connection (ten segments, RFC 6928).
	 */
	private static final int MAX_INITIAL_WINDOW_BODY_BYTES = 8192;

	/** Connecting takes longer than that where the event loop or the server is busy. */
	private static final Duration MAX_ROUND_TRIP = Duration.ofMillis(25);

	/**
	 * Time in which a response that is sent once more arrives as a whole. One that breaks
	 * off would take up the response behind it.
	 */
	private static final long REPEATED_RESPONSE_WAIT_MS = 50;

	private static final int MAX_HEAD_BYTES = 65_536;

	private static final int MAX_CHUNK_BYTES = 65_536;

	private final ResponseDecoder decoder = new ResponseDecoder(
			new HttpDecoderConfig().setMaxHeaderSize(MAX_HEAD_BYTES).setMaxChunkSize(MAX_CHUNK_BYTES));

	private final BackendClient client;

	private final BackendClient.PoolKey key;

	private final long number;

	private final KeepAliveTime keepAliveTime = new KeepAliveTime();

	private final RepeatedResponses repeatedResponses = new RepeatedResponses();

	private int useCount;

	private ChannelHandlerContext context;

	private Exchange exchange;

	private ChannelFuture writeFuture;

	private boolean isKeepAlive;

	/** Whether the exchange is complete and the connection can carry another one. */
	private boolean isReturnDue;

	private boolean isInformational;

	private int interimCount;

	private boolean isDelimitedByClose;

	private boolean isEndChecked;

	private Duration roundTrip = ConnectionEnd.MIN_ROUND_TRIP;

	private long startNanos;

	BackendConnection(BackendClient client, BackendClient.PoolKey key, long number) {
		this.client = client;
		this.key = key;
		this.number = number;
	}

	ResponseDecoder decoder() {
		return this.decoder;
	}

	BackendClient.PoolKey key() {
		return this.key;
	}

	// Counts the next exchange of this connection.
	ConnectionUse nextUse() {
		this.useCount++;
		return new ConnectionUse(this.number, this.useCount);
	}

	ConnectionUse lastUse() {
		return new ConnectionUse(this.number, this.useCount);
	}

	// Returns whether this connection has carried a request with the id of the exchange.
	boolean hasCarried(Exchange next) {
		return this.repeatedResponses.hasCarried(next.id());
	}

	boolean isWaitingForResponse() {
		return this.exchange != null;
	}

	boolean isReusable(long now, long maxIdleNanos) {
		return this.context.channel().isActive() && this.keepAliveTime.isReusable(now, maxIdleNanos);
	}

	// Takes note of the time that connecting took, which is a round trip at least.
	void setConnectTime(Duration time) {
		Duration atMost = (time.compareTo(MAX_ROUND_TRIP) > 0) ? MAX_ROUND_TRIP : time;
		this.roundTrip = (atMost.compareTo(ConnectionEnd.MIN_ROUND_TRIP) < 0) ? ConnectionEnd.MIN_ROUND_TRIP : atMost;
	}

	void startExchange(Exchange next) {
		this.exchange = next;
		this.startNanos = now();
		this.isDelimitedByClose = false;
		this.interimCount = 0;
		this.repeatedResponses.startExchange(next.id());
		this.decoder.expectResponseTo(next.method());
		this.writeFuture = this.context.writeAndFlush(next.startWrite(this.context.channel()));
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
				logUnexpectedResponse(message);
				this.isReturnDue = false;
				BackendClient.reset(ctx.channel());
				return;
			}
			handleMessage(ctx, (HttpObject) message);
		}
		finally {
			ReferenceCountUtil.release(message);
		}
	}

	// What the decoder still holds after the reset is not logged.
	private void logUnexpectedResponse(Object message) {
		if (message instanceof HttpResponse head && this.context.channel().isActive()) {
			LOG.warn("response_unexpected", "server", this.key.owner(), "connection", lastUse(), "status",
					head.status().code(), "valid", head.decoderResult().isSuccess());
		}
	}

	private void handleMessage(ChannelHandlerContext ctx, HttpObject message) {
		if (message.decoderResult().isFailure()) {
			failExchange("response is not valid HTTP: " + message.decoderResult().cause());
			return;
		}
		if (this.repeatedResponses.skip(message)) {
			return;
		}
		if (message instanceof HttpResponse head && !handleHead(ctx, head)) {
			return;
		}
		if (message instanceof HttpContent content && !this.isInformational && !this.exchange.isEnded()) {
			handleContent(ctx, content);
		}
	}

	// Returns whether the head is that of the final response to the exchange.
	private boolean handleHead(ChannelHandlerContext ctx, HttpResponse head) {
		Optional<String> embedded = ResponseHeads.findEmbeddedStatusLine(head);
		if (embedded.isPresent()) {
			failMixedHead(head, embedded.get());
			return false;
		}
		Optional<String> unknownEncoding = ResponseHeads.findUnknownTransferEncoding(head);
		if (unknownEncoding.isPresent()) {
			failExchange("response has an unknown transfer encoding: " + unknownEncoding.get());
			return false;
		}
		this.isInformational = head.status().code() / 100 == 1;
		if (this.isInformational) {
			countInterimResponse();
			return false;
		}
		if (this.repeatedResponses.isRepeated(this.exchange.listener().requestIdOf(head))) {
			startSkippingResponse(ctx, head);
			return false;
		}
		this.isKeepAlive = HttpUtil.isKeepAlive(head);
		this.isDelimitedByClose = !isDelimited(head);
		this.keepAliveTime.update(head);
		this.exchange.listener().onHead(head);
		return true;
	}

	private void countInterimResponse() {
		this.interimCount++;
		if (this.interimCount > MAX_INTERIM_RESPONSES) {
			failExchange("too many interim responses");
		}
	}

	private void handleContent(ChannelHandlerContext ctx, HttpContent content) {
		if (content.content().isReadable()) {
			this.exchange.listener().onBody(content.content());
		}
		if (content instanceof LastHttpContent && !this.exchange.isEnded()) {
			endExchange(ctx);
		}
	}

	private boolean isDelimited(HttpResponse head) {
		return HttpUtil.isContentLengthSet(head) || HttpUtil.isTransferEncodingChunked(head)
				|| this.decoder.isContentAlwaysEmpty(head);
	}

	private void startSkippingResponse(ChannelHandlerContext ctx, HttpResponse head) {
		LOG.warn("response_repeated", "server", this.key.owner(), "connection", lastUse(), "status",
				head.status().code());
		if (!this.repeatedResponses.startSkipping(isDelimited(head))) {
			failExchange("response to an earlier request, not skipped");
			return;
		}
		Exchange current = this.exchange;
		int responseNumber = this.repeatedResponses.count();
		ctx.executor()
			.schedule(() -> failIfSkipping(current, responseNumber), REPEATED_RESPONSE_WAIT_MS, TimeUnit.MILLISECONDS);
	}

	private void failIfSkipping(Exchange current, int responseNumber) {
		if (this.exchange == current && this.repeatedResponses.isSkipping(responseNumber)) {
			failExchange("response to an earlier request is not whole");
		}
	}

	private void failMixedHead(HttpResponse head, String embedded) {
		LOG.warn("response_head_mixed", "server", this.key.owner(), "connection", lastUse(), "status",
				head.status().code(), "contains", embedded);
		failExchange("head holds the status line of another response");
	}

	// The decoder ends a response that is delimited by the end of the connection whenever
	// the channel ends. The channel is still active if the server has ended the
	// connection regularly, and no longer if it failed, as when a write met a reset.
	private void endExchange(ChannelHandlerContext ctx) {
		if (!this.isDelimitedByClose) {
			completeExchange(ctx);
		}
		else if (!ctx.channel().isActive()) {
			failExchange("connection failed within a response without length");
		}
		else {
			checkEnd(ctx);
		}
	}

	private void checkEnd(ChannelHandlerContext ctx) {
		this.isEndChecked = true;
		Exchange ending = this.exchange;
		long now = now();
		ConnectionEnd end = isRequestArrived(now) ? ConnectionEnd.afterArrival(now, this.roundTrip)
				: ConnectionEnd.at(now, this.roundTrip);
		new ConnectionEndCheck(this.client.loop(),
				() -> this.client.sendState(ctx.channel(), this.writeFuture.isDone()), end,
				(isRegular) -> handleEndCheck(ctx, ending, isRegular, now))
			.look();
	}

	// The request was sent in the initial window, and long enough ago.
	private boolean isRequestArrived(long now) {
		return this.writeFuture.isSuccess() && this.exchange.bodyBytes() <= MAX_INITIAL_WINDOW_BODY_BYTES
				&& now - this.startNanos >= this.roundTrip.toNanos();
	}

	private long now() {
		return this.client.loop().ticker().nanoTime();
	}

	private void handleEndCheck(ChannelHandlerContext ctx, Exchange ending, boolean isRegular, long endNanos) {
		if (this.exchange != ending || ending.isEnded()) {
			return;
		}
		LOG.info("response_end_checked", "server", this.key.owner(), "connection", lastUse(), "regular", isRegular,
				"written", this.writeFuture.isSuccess(), "request_bytes", ending.bodyBytes(), "us",
				TimeUnit.NANOSECONDS.toMicros(now() - endNanos));
		if (isRegular) {
			completeExchange(ctx);
		}
		else {
			failExchange("connection was reset within a response without length");
		}
	}

	private void completeExchange(ChannelHandlerContext ctx) {
		Exchange completedExchange = this.exchange;
		this.exchange = null;
		this.keepAliveTime.startIdle();
		// Another request must not be sent before the body of this one is written.
		this.isReturnDue = this.isKeepAlive && !this.isDelimitedByClose && this.writeFuture.isSuccess()
				&& ctx.channel().isActive();
		if (!this.isReturnDue) {
			ctx.close();
		}
		completedExchange.complete(this.decoder.textBehind());
	}

	private void failExchange(String detail) {
		Exchange failed = this.exchange;
		this.exchange = null;
		BackendClient.reset(this.context.channel());
		if (failed != null) {
			failed.fail(ExchangeListener.Failure.MAY_HAVE_RUN, detail);
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
		failExchange("connection failed: " + cause);
	}

	@Override
	public void channelReadComplete(ChannelHandlerContext ctx) {
		if (this.exchange != null && !this.exchange.isEnded()) {
			this.exchange.listener().onReadComplete();
		}
		if (this.isReturnDue) {
			this.isReturnDue = false;
			returnToPool(ctx);
		}
	}

	// Bytes behind the response are the part of a message that belongs to no exchange.
	private void returnToPool(ChannelHandlerContext ctx) {
		if (this.decoder.isWithinMessage()) {
			LOG.warn("bytes_unexpected", "server", this.key.owner(), "connection", lastUse());
			BackendClient.reset(ctx.channel());
			return;
		}
		ctx.channel().config().setAutoRead(true);
		this.client.returnToPool(this);
	}

	// The decoder has handled the end of the input before this.
	@Override
	public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
		if (event instanceof ChannelInputShutdownEvent && !this.isEndChecked) {
			ctx.close();
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext ctx) {
		this.client.removeFromPool(this);
		failExchange("connection closed before the response was complete");
	}

}
