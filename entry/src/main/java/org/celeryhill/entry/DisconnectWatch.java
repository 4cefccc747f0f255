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
 * Notices that a caller has closed its connection while it waits for an answer. Undertow
 * does not read from a connection between the end of a request and the end of its answer,
 * so without this a caller that left would only be noticed by a failed write. Bytes of a
 * pipelined request are given back to the connection. The original conduit is read, since
 * the one of the request reports the end of its body as the end of the connection.
 */
final class DisconnectWatch {

	/** Called when the connection closes; one listener serves all its requests. */
	private static final AttachmentKey<AtomicReference<Runnable>> ON_CLOSED = AttachmentKey
		.create(AtomicReference.class);

	private DisconnectWatch() {
	}

	/**
	 * Starts to watch a connection. Must be called on its I/O thread after the whole
	 * request was read.
	 * @param exchange the exchange, not null
	 * @param onClosed called on the I/O thread when the connection is closed, not null
	 */
	static void start(HttpServerExchange exchange, Runnable onClosed) {
		listener(exchange.getConnection()).set(onClosed);
		if (!(exchange.getConnection() instanceof HttpServerConnection connection)
				|| connection.getExtraBytes() != null) {
			return;
		}
		StreamSourceConduit conduit = connection.getOriginalSourceConduit();
		connection.getChannel().getSourceChannel().getReadSetter().set((channel) -> onReadable(connection, conduit));
		conduit.resumeReads();
	}

	private static AtomicReference<Runnable> listener(ServerConnection connection) {
		AtomicReference<Runnable> known = connection.getAttachment(ON_CLOSED);
		if (known != null) {
			return known;
		}
		AtomicReference<Runnable> created = new AtomicReference<>();
		connection.putAttachment(ON_CLOSED, created);
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
		boolean isGivenBack = false;
		try {
			int count = conduit.read(pooled.getBuffer());
			if (count < 0) {
				IoUtils.safeClose(connection);
			}
			else if (count > 0) {
				conduit.suspendReads();
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
