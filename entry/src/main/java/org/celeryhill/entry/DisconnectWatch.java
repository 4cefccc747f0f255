package org.celeryhill.entry;

import java.io.IOException;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import org.xnio.IoUtils;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * Notices that a caller has closed its connection while it waits for an answer. Undertow
 * does not read from a connection between the end of a request and the end of its answer,
 * so without this a caller that left would only be noticed by a failed write. Bytes of a
 * pipelined request are given back to the connection.
 */
final class DisconnectWatch {

	private DisconnectWatch() {
	}

	/**
	 * Starts to watch a connection. Must be called on its I/O thread after the whole
	 * request was read.
	 * @param exchange the exchange, not null
	 * @param onClosed called on the I/O thread when the connection is closed, not null
	 */
	static void start(HttpServerExchange exchange, Runnable onClosed) {
		exchange.getConnection().addCloseListener((connection) -> onClosed.run());
		if (!(exchange.getConnection() instanceof HttpServerConnection connection)
				|| connection.getExtraBytes() != null) {
			return;
		}
		ConduitStreamSourceChannel source = connection.getChannel().getSourceChannel();
		source.getReadSetter().set((channel) -> onReadable(connection, channel));
		source.resumeReads();
	}

	private static void onReadable(HttpServerConnection connection, ConduitStreamSourceChannel channel) {
		PooledByteBuffer pooled = connection.getByteBufferPool().allocate();
		boolean isGivenBack = false;
		try {
			int count = channel.read(pooled.getBuffer());
			if (count < 0) {
				IoUtils.safeClose(connection);
			}
			else if (count > 0) {
				channel.suspendReads();
				pooled.getBuffer().flip();
				connection.ungetRequestBytes(pooled);
				isGivenBack = true;
			}
		}
		catch (IOException ex) {
			IoUtils.safeClose(connection);
		}
		finally {
			if (!isGivenBack) {
				pooled.close();
			}
		}
	}

}
