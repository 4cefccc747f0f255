package org.celeryhill.http;

import java.io.IOException;
import java.net.URI;
import java.nio.ByteBuffer;
import java.util.Map;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * One exchange of a {@link StreamClient}. Everything but {@link #cancel()},
 * {@link #pause()} and {@link #resume()} runs on the I/O thread of the connection.
 * Thread-safe.
 */
public final class StreamCall {

	/** Client that the connection goes back to. */
	private final StreamClient client;

	/** Request. */
	private final ClientRequest request;

	/** Body of the request. */
	private final ByteBuffer body;

	/** Receives the answer. */
	private final StreamListener listener;

	/** Connection, null before it exists. */
	private volatile ClientConnection connection;

	/** Whether the caller has given up the exchange. */
	private volatile boolean isCancelled;

	/** Whether reading is paused. */
	private volatile boolean isPaused;

	/** Whether bytes of the request can have left. */
	private boolean isSent;

	/** Whether the listener was told the end. */
	private boolean isDone;

	/** Body of the answer, null before its head. */
	private StreamSourceChannel source;

	StreamCall(StreamClient client, ClientRequest request, byte[] body, StreamListener listener) {
		this.client = client;
		this.request = request;
		this.body = ByteBuffer.wrap(body);
		this.listener = listener;
	}

	static ClientRequest request(URI base, String method, String path, Map<String, String> headers, byte[] body) {
		ClientRequest request = new ClientRequest().setMethod(new HttpString(method)).setPath(path);
		headers.forEach((name, value) -> request.getRequestHeaders().put(new HttpString(name), value));
		request.getRequestHeaders().put(Headers.HOST, base.getHost() + ":" + base.getPort());
		if (body.length > 0 || "POST".equals(method)) {
			request.getRequestHeaders().put(Headers.CONTENT_LENGTH, body.length);
		}
		return request;
	}

	boolean isCancelled() {
		return this.isCancelled;
	}

	void send(ClientConnection open) {
		this.connection = open;
		if (this.isCancelled) {
			this.isDone = true;
			this.client.release(open);
			return;
		}
		this.isSent = true;
		open.sendRequest(this.request, new Callback(this::write));
	}

	private void write(ClientExchange exchange) {
		exchange.setResponseListener(new Callback(this::readHead));
		StreamSinkChannel sink = exchange.getRequestChannel();
		sink.getWriteSetter().set(this::writeBody);
		writeBody(sink);
	}

	private void writeBody(StreamSinkChannel sink) {
		try {
			while (this.body.hasRemaining()) {
				if (sink.write(this.body) == 0) {
					sink.resumeWrites();
					return;
				}
			}
			sink.shutdownWrites();
			if (!sink.flush()) {
				sink.getWriteSetter()
					.set(ChannelListeners.flushingChannelListener(null, (channel, ex) -> breakOff(ex)));
				sink.resumeWrites();
			}
		}
		catch (IOException ex) {
			breakOff(ex);
		}
	}

	private void readHead(ClientExchange exchange) {
		this.source = exchange.getResponseChannel();
		this.listener.onHead(exchange.getResponse().getResponseCode(), exchange.getResponse().getResponseHeaders());
		this.source.getReadSetter().set((ignored) -> readBody());
		readBody();
	}

	private void readBody() {
		try (PooledByteBuffer pooled = this.connection.getBufferPool().allocate()) {
			ByteBuffer buffer = pooled.getBuffer();
			while (!this.isDone && !this.isPaused) {
				buffer.clear();
				int count = this.source.read(buffer);
				if (count <= 0) {
					endRead(count);
					return;
				}
				buffer.flip();
				this.listener.onBytes(buffer);
			}
			this.source.suspendReads();
		}
		catch (IOException ex) {
			breakOff(ex);
		}
	}

	private void endRead(int count) {
		if (count == 0) {
			this.source.resumeReads();
			return;
		}
		this.isDone = true;
		this.client.release(this.connection);
		this.listener.onEnd();
	}

	private void breakOff(IOException cause) {
		close(this.connection);
		fail(cause);
	}

	/**
	 * Closes a connection at once. Without the end of reading, Undertow would read and
	 * drop the rest of the answer for up to ten seconds before it closes the connection.
	 * @param open the connection, not null
	 */
	private void close(ClientConnection open) {
		IoUtils.safeClose(this.source);
		IoUtils.safeClose(open);
	}

	void fail(IOException cause) {
		if (!this.isDone) {
			this.isDone = true;
			this.listener.onFailure(cause, this.isSent);
		}
	}

	/**
	 * Stops reading until {@link #resume()}; bytes that were read are still delivered.
	 */
	public void pause() {
		this.isPaused = true;
	}

	/** Continues reading. */
	public void resume() {
		this.isPaused = false;
		ClientConnection open = this.connection;
		if (open != null) {
			open.getIoThread().execute(() -> {
				if (this.source != null && !this.isDone) {
					readBody();
				}
			});
		}
	}

	/** Gives up the exchange and closes its connection. The listener is not told. */
	public void cancel() {
		this.isCancelled = true;
		ClientConnection open = this.connection;
		if (open != null) {
			open.getIoThread().execute(() -> {
				if (!this.isDone) {
					this.isDone = true;
					close(open);
				}
			});
		}
	}

	/** Step of the exchange, with the failure of the step before. */
	private final class Callback implements ClientCallback<ClientExchange> {

		/** Step. */
		private final java.util.function.Consumer<ClientExchange> step;

		Callback(java.util.function.Consumer<ClientExchange> step) {
			this.step = step;
		}

		@Override
		public void completed(ClientExchange result) {
			if (!StreamCall.this.isDone) {
				this.step.accept(result);
			}
		}

		@Override
		public void failed(IOException cause) {
			breakOff(cause);
		}

	}

}
