package org.celeryhill.http;

import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.TimeUnit;

import io.undertow.client.ClientConnection;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/**
 * Non-blocking client for streamed responses of one server. All streams share the I/O
 * threads of a worker; a request that is started on one of these threads is processed on
 * the same thread. Requests are never retried. Thread-safe.
 */
public final class StreamClient {

	/** Size of the pooled read buffers. */
	private static final int BUFFER_BYTES = 16 * 1024;

	private static final ByteBufferPool BUFFERS = new DefaultByteBufferPool(true, BUFFER_BYTES);

	/**
	 * Idle time after which a connection is not reused. It is shorter than the idle
	 * timeout of the servers, so that requests are not sent on connections that a server
	 * is closing.
	 */
	private static final long MAX_IDLE_AGE_NANOS = TimeUnit.SECONDS.toNanos(30);

	/** Maximum number of idle connections per I/O thread. */
	private static final int MAX_IDLE_PER_THREAD = 64;

	private final URI base;

	private final XnioWorker worker;

	private final Duration connectTimeout;

	/** Idle connections by I/O thread, most recently used first. */
	private final Map<XnioIoThread, ConcurrentLinkedDeque<IdleConnection>> idleConnections = new ConcurrentHashMap<>();

	private StreamClient(URI base, XnioWorker worker, Duration connectTimeout) {
		this.base = base;
		this.worker = worker;
		this.connectTimeout = connectTimeout;
	}

	/**
	 * Returns a client; connections are opened on demand.
	 * @param base the {@code http} URI of the server, not null
	 * @param worker the worker whose I/O threads process the requests, not null
	 * @param connectTimeout the maximum time to establish a connection, not null,
	 * positive
	 * @return the client, never null
	 */
	public static StreamClient create(URI base, XnioWorker worker, Duration connectTimeout) {
		return new StreamClient(Objects.requireNonNull(base, "base"), Objects.requireNonNull(worker, "worker"),
				Objects.requireNonNull(connectTimeout, "connectTimeout"));
	}

	/**
	 * Starts a request. Does not block.
	 * @param method the HTTP method, not null
	 * @param path the path with its query, not null
	 * @param headers the headers, not null; {@code Host} is added, and
	 * {@code Content-Length} for POST requests and for requests with a body
	 * @param body the body, not null, empty for none; not copied
	 * @param listener receives the response, not null
	 * @return the call, which can be paused and cancelled, never null
	 */
	public StreamCall start(String method, String path, Map<String, String> headers, byte[] body,
			StreamListener listener) {
		StreamCall call = new StreamCall(this, StreamCall.request(this.base, method, path, headers, body), body,
				listener);
		XnioIoThread thread = chooseIoThread();
		thread.execute(() -> connectAndSend(call, thread));
		return call;
	}

	private XnioIoThread chooseIoThread() {
		XnioIoThread current = XnioIoThread.currentThread();
		return (current != null && current.getWorker() == this.worker) ? current : this.worker.getIoThread();
	}

	private void connectAndSend(StreamCall call, XnioIoThread thread) {
		if (call.isCancelled()) {
			return;
		}
		ClientConnection connection = pollIdleConnection(thread);
		if (connection != null) {
			call.send(connection);
			return;
		}
		OptionMap options = OptionMap.create(Options.TCP_NODELAY, true);
		IoFuture<? extends ClientConnection> future = UndertowClient.getInstance()
			.connect(this.base, thread, BUFFERS, options);
		XnioIoThread.Key timeout = thread.executeAfter(future::cancel, this.connectTimeout.toMillis(),
				TimeUnit.MILLISECONDS);
		future.addNotifier((result, ignored) -> thread.execute(() -> {
			timeout.remove();
			onConnectResult(call, result);
		}), null);
	}

	private void onConnectResult(StreamCall call, IoFuture<? extends ClientConnection> result) {
		if (result.getStatus() == IoFuture.Status.DONE) {
			try {
				call.send(result.get());
			}
			catch (IOException ex) {
				call.fail(ex);
			}
			return;
		}
		IOException cause = (result.getStatus() == IoFuture.Status.FAILED) ? result.getException()
				: new IOException("connection attempt timed out");
		call.fail(cause);
	}

	private ClientConnection pollIdleConnection(XnioIoThread thread) {
		Queue<IdleConnection> queue = this.idleConnections.getOrDefault(thread, new ConcurrentLinkedDeque<>());
		for (IdleConnection next = queue.poll(); next != null; next = queue.poll()) {
			boolean isFresh = System.nanoTime() - next.idleSinceNanos < MAX_IDLE_AGE_NANOS;
			if (isFresh && next.connection.isOpen()) {
				return next.connection;
			}
			IoUtils.safeClose(next.connection);
		}
		return null;
	}

	/**
	 * Keeps a connection for reuse after its response was read completely.
	 * @param connection the connection, not null
	 */
	void release(ClientConnection connection) {
		ConcurrentLinkedDeque<IdleConnection> queue = this.idleConnections.computeIfAbsent(connection.getIoThread(),
				(thread) -> new ConcurrentLinkedDeque<>());
		if (!connection.isOpen() || queue.size() >= MAX_IDLE_PER_THREAD) {
			IoUtils.safeClose(connection);
			return;
		}
		queue.addFirst(new IdleConnection(connection, System.nanoTime()));
	}

	/** Closes the idle connections. Running requests are not affected. */
	public void closeIdle() {
		this.idleConnections.values().forEach((queue) -> {
			for (IdleConnection next = queue.poll(); next != null; next = queue.poll()) {
				IoUtils.safeClose(next.connection);
			}
		});
	}

	/**
	 * Reusable connection with the time of its last use, in nanoseconds of
	 * {@link System#nanoTime()}.
	 */
	private record IdleConnection(ClientConnection connection, long idleSinceNanos) {

	}

}
