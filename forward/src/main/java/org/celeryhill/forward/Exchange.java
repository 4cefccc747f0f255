package org.celeryhill.forward;

import java.util.Optional;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;

/**
 * A request and its response. Must be used on the event loop.
 */
public final class Exchange {

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

	Exchange(FullHttpRequest request, Optional<String> id, ExchangeListener listener) {
		this.request = request;
		this.bodyBytes = request.content().readableBytes();
		this.id = id;
		this.listener = listener;
	}

	/**
	 * Ends the exchange and resets its connection without notifying the listener, so that
	 * bytes of the request that the network holds up do not arrive later.
	 */
	public void cancel() {
		if (this.isEnded) {
			return;
		}
		this.isEnded = true;
		releaseRequest();
		if (this.channel != null) {
			BackendClient.reset(this.channel);
		}
		else if (this.connectFuture != null) {
			this.connectFuture.cancel(false);
		}
	}

	/**
	 * Pauses or resumes reading of the response. Has no effect on an exchange that has
	 * ended, as its connection may have been reused.
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
