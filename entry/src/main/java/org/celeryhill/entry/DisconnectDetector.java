package org.celeryhill.entry;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicReference;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.AttachmentKey;
import org.xnio.IoUtils;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Detects that a caller closes its connection while it waits for a response. Undertow
 * does not read from a connection between the end of a request and the end of its
 * response, so without this class a disconnect would only be noticed by a failed write.
 * Bytes of a pipelined request are returned to the connection. The original source
 * conduit is read, since the conduit of the request reports the end of the request body
 * as the end of the connection.
 */
final class DisconnectDetector {

	/**
	 * Callback of the current request; all requests of a connection share one listener.
	 */
	private static final AttachmentKey<AtomicReference<Runnable>> CLOSE_CALLBACK = AttachmentKey
		.create(AtomicReference.class);

	private DisconnectDetector() {
	}

	/**
	 * Starts to monitor a connection. Must be called on its I/O thread after the complete
	 * request was read.
	 * @param exchange the exchange whose caller is monitored, not null
	 * @param onClosed called on the I/O thread when the connection is closed before
	 * another request sets its callback, not null
	 */
	static void watch(HttpServerExchange exchange, Runnable onClosed) {
		closeCallback(exchange.getConnection()).set(onClosed);
		if (!(exchange.getConnection() instanceof HttpServerConnection connection)
				|| connection.getExtraBytes() != null) {
			return;
		}
		StreamSourceConduit conduit = connection.getOriginalSourceConduit();
		connection.getChannel().getSourceChannel().getReadSetter().set((channel) -> onReadable(connection, conduit));
		conduit.resumeReads();
	}

	private static AtomicReference<Runnable> closeCallback(ServerConnection connection) {
		AtomicReference<Runnable> existing = connection.getAttachment(CLOSE_CALLBACK);
		if (existing != null) {
			return existing;
		}
		AtomicReference<Runnable> created = new AtomicReference<>();
		connection.putAttachment(CLOSE_CALLBACK, created);
		connection.addCloseListener((closed) -> {
			Runnable onClosed = created.getAndSet(null);
			if (onClosed != null) {
				onClosed.run();
			}
		});
		return created;
	}

	private static void onReadable(HttpServerConnection connection, StreamSourceConduit conduit) {
		PooledByteBuffer pooled = connection.getByteBufferPool().allocate();
		boolean isReturned = false;
		try {
			int count = conduit.read(pooled.getBuffer());
			if (count < 0) {
				IoUtils.safeClose(connection);
			}
			else if (count > 0) {
				conduit.suspendReads();
				pooled.getBuffer().flip();
				connection.ungetRequestBytes(pooled);
				isReturned = true;
			}
		}
		catch (IOException ex) {
			IoUtils.safeClose(connection);
		}
		finally {
			if (!isReturned) {
				pooled.close();
			}
		}
	}

}
