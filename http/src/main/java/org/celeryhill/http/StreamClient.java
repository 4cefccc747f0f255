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
 * Client for streamed answers of one server. Many streams share a few I/O threads; a
 * stream that is started on an I/O thread stays on it. Requests are never repeated.
 * Thread-safe.
 */
public final class StreamClient {

	/** Size of the buffers that answers are read into. */
	private static final int BUFFER_BYTES = 16 * 1024;

	/** Buffers of all clients. */
	private static final ByteBufferPool BUFFERS = new DefaultByteBufferPool(true, BUFFER_BYTES);

	/**
	 * Age after which an idle connection is not used again; servers close theirs later.
	 */
	private static final long MAX_IDLE_NANOS = TimeUnit.SECONDS.toNanos(30);

	/** Idle connections that are kept for each I/O thread. */
	private static final int MAX_IDLE = 64;

	/** Server. */
	private final URI base;

	/** Worker whose I/O threads are used. */
	private final XnioWorker worker;

	/** Longest wait for a connection. */
	private final Duration connectTimeout;

	/** Idle connections by I/O thread, last used first. */
	private final Map<XnioIoThread, ConcurrentLinkedDeque<Idle>> idle = new ConcurrentHashMap<>();

	private StreamClient(URI base, XnioWorker worker, Duration connectTimeout) {
		this.base = base;
		this.worker = worker;
		this.connectTimeout = connectTimeout;
	}

	/**
	 * Returns a client without connections.
	 * @param base the server, an {@code http} address, not null
	 * @param worker the worker whose I/O threads are used, not null
	 * @param connectTimeout the longest wait for a connection, not null, positive
	 * @return the client, never null
	 */
	public static StreamClient create(URI base, XnioWorker worker, Duration connectTimeout) {
		return new StreamClient(Objects.requireNonNull(base, "base"), Objects.requireNonNull(worker, "worker"),
				Objects.requireNonNull(connectTimeout, "connectTimeout"));
	}

	/**
	 * Sends a request. Does not block.
	 * @param method the HTTP method, not null
	 * @param path the path with its query, not null
	 * @param headers the headers, not null; length and host are added
	 * @param body the body, not null, may be empty; not copied
	 * @param listener receives the answer, not null
	 * @return the handle of the exchange, never null
	 */
	public StreamCall start(String method, String path, Map<String, String> headers, byte[] body,
			StreamListener listener) {
		StreamCall call = new StreamCall(this, StreamCall.request(this.base, method, path, headers, body), body,
				listener);
		XnioIoThread thread = ioThread();
		thread.execute(() -> run(call, thread));
		return call;
	}

	private XnioIoThread ioThread() {
		XnioIoThread current = XnioIoThread.currentThread();
		return (current != null && current.getWorker() == this.worker) ? current : this.worker.getIoThread();
	}

	private void run(StreamCall call, XnioIoThread thread) {
		if (call.isCancelled()) {
			return;
		}
		ClientConnection connection = takeIdle(thread);
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
			connected(call, result);
		}), null);
	}

	private void connected(StreamCall call, IoFuture<? extends ClientConnection> result) {
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
				: new IOException("connect timed out");
		call.fail(cause);
	}

	private ClientConnection takeIdle(XnioIoThread thread) {
		Queue<Idle> queue = this.idle.getOrDefault(thread, new ConcurrentLinkedDeque<>());
		for (Idle next = queue.poll(); next != null; next = queue.poll()) {
			boolean isFresh = System.nanoTime() - next.sinceNanos < MAX_IDLE_NANOS;
			if (isFresh && next.connection.isOpen()) {
				return next.connection;
			}
			IoUtils.safeClose(next.connection);
		}
		return null;
	}

	/**
	 * Takes back a connection whose answer was read to the end.
	 * @param connection the connection, not null
	 */
	void release(ClientConnection connection) {
		ConcurrentLinkedDeque<Idle> queue = this.idle.computeIfAbsent(connection.getIoThread(),
				(thread) -> new ConcurrentLinkedDeque<>());
		if (!connection.isOpen() || queue.size() >= MAX_IDLE) {
			IoUtils.safeClose(connection);
			return;
		}
		queue.addFirst(new Idle(connection, System.nanoTime()));
	}

	/** Closes the idle connections; exchanges that run are not affected. */
	public void closeIdle() {
		this.idle.values().forEach((queue) -> {
			for (Idle next = queue.poll(); next != null; next = queue.poll()) {
				IoUtils.safeClose(next.connection);
			}
		});
	}

	/** Connection that can be used again, with the monotonic time of its last use. */
	private record Idle(ClientConnection connection, long sinceNanos) {

	}

}
