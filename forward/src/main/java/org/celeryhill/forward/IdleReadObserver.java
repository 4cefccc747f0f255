package org.celeryhill.forward;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import org.celeryhill.base.EventLog;

/**
 * Logs the bytes that a backend server sends on a connection without a request. The
 * decoder keeps an incomplete message without passing anything on.
 */
final class IdleReadObserver extends ChannelInboundHandlerAdapter {

	private static final EventLog LOG = EventLog.of(IdleReadObserver.class);

	private static final int MAX_LOGGED_BYTES = 60;

	private final BackendConnection connection;

	IdleReadObserver(BackendConnection connection) {
		this.connection = connection;
	}

	@Override
	public void channelRead(ChannelHandlerContext ctx, Object message) {
		if (message instanceof ByteBuf bytes && !this.connection.isWaitingForResponse()) {
			LOG.warn("bytes_unexpected", "server", this.connection.key().owner(), "connection",
					this.connection.lastUse(), "bytes", bytes.readableBytes(), "text", firstBytes(bytes));
		}
		ctx.fireChannelRead(message);
	}

	private static String firstBytes(ByteBuf bytes) {
		int count = Math.min(MAX_LOGGED_BYTES, bytes.readableBytes());
		return bytes.toString(bytes.readerIndex(), count, StandardCharsets.ISO_8859_1);
	}

}
