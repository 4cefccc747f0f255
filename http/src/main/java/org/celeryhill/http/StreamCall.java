package org.celeryhill.http;

import java.io.IOException;
import java.net.ProtocolException;
import java.net.URI;
import java.nio.ByteBuffer;
import java.util.Map;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.ClientResponse;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Protocols;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * One request of a {@link StreamClient} and its streamed response. All methods except
 * {@link #cancel()}, {@link #pause()} and {@link #resume()} run on the I/O thread of the
 * connection. Thread-safe.
 */
public final class StreamCall {

	/**
	 * Client that the connection is released to after the response was read completely.
	 */
	private final StreamClient client;

	private final ClientRequest request;

	private final ByteBuffer body;

	private final StreamListener listener;

	/** Connection, null until it is established. */
	private volatile ClientConnection connection;

	/** Whether the caller has cancelled the request. */
	private volatile boolean isCancelled;

	private volatile boolean isPaused;

	/** Whether bytes of the request may have been sent. */
	private boolean isPossiblySent;

	/**
	 * Whether the response ended, failed or was cancelled; the listener is not called
	 * after that.
	 */
	private boolean isFinished;

	/** Channel of the response body, null until the response head was received. */
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

	void send(ClientConnection openConnection) {
		this.connection = openConnection;
		if (this.isCancelled) {
			this.isFinished = true;
			this.client.release(openConnection);
			return;
		}
		this.isPossiblySent = true;
		openConnection.sendRequest(this.request, new StepCallback(this::sendBody));
	}

	private void sendBody(ClientExchange exchange) {
		exchange.setResponseListener(new StepCallback(this::readHead));
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
				sink.getWriteSetter().set(ChannelListeners.flushingChannelListener(null, (channel, ex) -> abort(ex)));
				sink.resumeWrites();
			}
		}
		catch (IOException ex) {
			abort(ex);
		}
	}

	private void readHead(ClientExchange exchange) {
		this.source = exchange.getResponseChannel();
		ClientResponse response = exchange.getResponse();
		if (!isHttp1(response.getProtocol())) {
			abort(new ProtocolException("response is not valid HTTP: version " + response.getProtocol()));
			return;
		}
		if (!isTransferEncodingKnown(response.getResponseHeaders().get(Headers.TRANSFER_ENCODING))) {
			abort(new ProtocolException("response has an unknown transfer encoding"));
			return;
		}
		this.listener.onHead(response.getResponseCode(), response.getResponseHeaders());
		this.source.getReadSetter().set((ignored) -> readBody());
		readBody();
	}

	private static boolean isHttp1(HttpString protocol) {
		return Protocols.HTTP_1_1.equals(protocol) || Protocols.HTTP_1_0.equals(protocol);
	}

	// The values are null if the header is missing.
	private static boolean isTransferEncodingKnown(HeaderValues values) {
		return values == null || (values.size() == 1 && values.getFirst().equalsIgnoreCase("chunked"));
	}

	private void readBody() {
		try (PooledByteBuffer pooled = this.connection.getBufferPool().allocate()) {
			ByteBuffer buffer = pooled.getBuffer();
			while (!this.isFinished && !this.isPaused) {
				buffer.clear();
				int count = this.source.read(buffer);
				if (count <= 0) {
					handleReadEnd(count);
					return;
				}
				buffer.flip();
				this.listener.onBytes(buffer);
			}
			this.source.suspendReads();
		}
		catch (IOException ex) {
			abort(ex);
		}
	}

	private void handleReadEnd(int count) {
		if (count == 0) {
			this.source.resumeReads();
			return;
		}
		this.isFinished = true;
		this.client.release(this.connection);
		this.listener.onEnd();
	}

	private void abort(IOException cause) {
		close(this.connection);
		fail(cause);
	}

	/**
	 * Closes a connection immediately. The response channel is closed first; otherwise
	 * Undertow would read and discard the rest of the response for up to ten seconds
	 * before it closes the connection.
	 * @param openConnection the connection, not null
	 */
	private void close(ClientConnection openConnection) {
		IoUtils.safeClose(this.source);
		IoUtils.safeClose(openConnection);
	}

	void fail(IOException cause) {
		if (!this.isFinished) {
			this.isFinished = true;
			this.listener.onFailure(cause, this.isPossiblySent);
		}
	}

	/**
	 * Pauses reading until {@link #resume()}. Bytes that were already read are still
	 * delivered.
	 */
	public void pause() {
		this.isPaused = true;
	}

	/** Continues reading after {@link #pause()}. */
	public void resume() {
		this.isPaused = false;
		ClientConnection openConnection = this.connection;
		if (openConnection != null) {
			openConnection.getIoThread().execute(() -> {
				if (this.source != null && !this.isFinished) {
					readBody();
				}
			});
		}
	}

	/** Cancels the request and closes its connection. The listener is not notified. */
	public void cancel() {
		this.isCancelled = true;
		ClientConnection openConnection = this.connection;
		if (openConnection != null) {
			openConnection.getIoThread().execute(() -> {
				if (!this.isFinished) {
					this.isFinished = true;
					close(openConnection);
				}
			});
		}
	}

	/**
	 * Callback of an Undertow operation that runs the next action, or fails the call if
	 * the operation failed.
	 */
	private final class StepCallback implements ClientCallback<ClientExchange> {

		private final java.util.function.Consumer<ClientExchange> action;

		StepCallback(java.util.function.Consumer<ClientExchange> action) {
			this.action = action;
		}

		@Override
		public void completed(ClientExchange result) {
			if (!StreamCall.this.isFinished) {
				this.action.accept(result);
			}
		}

		@Override
		public void failed(IOException cause) {
			abort(cause);
		}

	}

}
