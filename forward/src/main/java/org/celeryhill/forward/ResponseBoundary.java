package org.celeryhill.forward;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;
import org.celeryhill.base.EventLog;

/**
 * Resets a connection to a backend server that receives bytes while no exchange waits for
 * a response. The decoder would keep the part of a message and join it with the next
 * response.
 */
final class ResponseBoundary extends ChannelInboundHandlerAdapter {

	private static final EventLog LOG = EventLog.of(ResponseBoundary.class);

	private static final int MAX_LOGGED_BYTES = 60;

	private final BackendConnection connection;

	ResponseBoundary(BackendConnection connection) {
		this.connection = connection;
	}

	@Override
	public void channelRead(ChannelHandlerContext ctx, Object message) {
		if (this.connection.isWaitingForResponse()) {
			ctx.fireChannelRead(message);
			return;
		}
		if (message instanceof ByteBuf bytes) {
			LOG.warn("bytes_unexpected", "server", this.connection.key().owner(), "connection",
					this.connection.lastUse(), "bytes", bytes.readableBytes(), "text", firstBytes(bytes));
		}
		ReferenceCountUtil.release(message);
		BackendClient.reset(ctx.channel());
	}

	private static String firstBytes(ByteBuf bytes) {
		int count = Math.min(MAX_LOGGED_BYTES, bytes.readableBytes());
		return bytes.toString(bytes.readerIndex(), count, StandardCharsets.ISO_8859_1);
	}

}
