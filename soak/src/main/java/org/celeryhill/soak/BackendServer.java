package org.celeryhill.soak;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Backend server in the process of the soak. It can end and start again under its id at
 * another address. Thread-safe.
 */
final class BackendServer implements AutoCloseable {

	private static final int BACKLOG = 256;

	private static final AtomicLong LAST_START = new AtomicLong();

	private final String id;

	private final Service service;

	private final SoakContext context;

	private final Map<FaultKind, Integer> faults = new EnumMap<>(FaultKind.class);

	private final Set<Socket> connections = ConcurrentHashMap.newKeySet();

	private final AtomicInteger runCount = new AtomicInteger();

	private final AtomicInteger connectionCount = new AtomicInteger();

	private ServerSocket listener;

	private long startMillis;

	BackendServer(String id, Service service, SoakContext context) {
		this.id = id;
		this.service = service;
		this.context = context;
	}

	String id() {
		return this.id;
	}

	SoakContext context() {
		return this.context;
	}

	/**
	 * Starts the server unless it runs.
	 */
	synchronized void start() {
		if (isRunning()) {
			return;
		}
		try {
			this.listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
		}
		catch (IOException ex) {
			throw new UncheckedIOException("no port for " + this.id, ex);
		}
		this.startMillis = LAST_START.updateAndGet((last) -> Math.max(last + 1, System.currentTimeMillis()));
		ServerSocket accepting = this.listener;
		Threads.start(this.id, () -> accept(accepting));
	}

	private void accept(ServerSocket accepting) {
		while (true) {
			try {
				Socket socket = accepting.accept();
				this.connections.add(socket);
				ServerConnection connection = new ServerConnection(this, accepting, socket,
						this.id + "#" + this.connectionCount.incrementAndGet());
				Threads.start(this.id, () -> {
					connection.serve();
					this.connections.remove(socket);
				});
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	synchronized boolean isRunning() {
		return this.listener != null && !this.listener.isClosed();
	}

	/**
	 * Returns what the server says about itself, in the platform's store and in reports.
	 * @return the encoded entry, never null
	 */
	synchronized String entry() {
		return this.service.entry(this.listener.getLocalPort(), this.startMillis);
	}

	void begin(FaultKind fault) {
		synchronized (this.faults) {
			this.faults.merge(fault, 1, Integer::sum);
		}
	}

	void end(FaultKind fault) {
		synchronized (this.faults) {
			this.faults.computeIfPresent(fault, (kind, count) -> (count > 1) ? count - 1 : null);
		}
	}

	private Set<FaultKind> activeFaults() {
		synchronized (this.faults) {
			return this.faults.isEmpty() ? EnumSet.noneOf(FaultKind.class) : EnumSet.copyOf(this.faults.keySet());
		}
	}

	/**
	 * Draws how a request is treated, from the seed, the id of the request and the number
	 * of its earlier arrivals at servers.
	 * @param requestId the id of the request, not null
	 * @param arrival the number of earlier arrivals
	 * @return the behaviour, never null
	 */
	ServerBehaviour drawBehaviour(String requestId, int arrival) {
		long seed = this.context.seed() * 31 + requestId.hashCode() * 0x9E3779B97F4A7C15L + arrival;
		return ServerBehaviour.draw(new SplittableRandom(seed), activeFaults());
	}

	synchronized String nextSignature() {
		return this.id + "." + this.startMillis + "." + this.runCount.incrementAndGet();
	}

	/**
	 * Ends the server; its connections are reset, so that no response without a length
	 * looks complete, and running requests are cut off.
	 */
	@Override
	public synchronized void close() {
		try {
			if (this.listener != null) {
				this.listener.close();
			}
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		this.connections.forEach(BackendServer::reset);
	}

	private static void reset(Socket connection) {
		try {
			connection.setSoLinger(true, 0);
			connection.close();
		}
		catch (IOException ex) {
			// The connection has ended in the meantime.
		}
	}

}
