package org.celeryhill.peer;

import java.net.InetSocketAddress;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

import org.apache.thrift.TConfiguration;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.server.THsHaServer;
import org.apache.thrift.transport.TNonblockingServerSocket;
import org.apache.thrift.transport.TSocket;
import org.apache.thrift.transport.TTransport;
import org.apache.thrift.transport.TTransportException;
import org.apache.thrift.transport.TTransportFactory;
import org.apache.thrift.transport.layered.TFramedTransport;
import org.celeryhill.peerthrift.PeerService;

/**
 * Thrift server and client of the peer protocol: framed compact messages over TCP with
 * timeouts, a message size limit and bounded thread pools. Thread-safe.
 */
final class ThriftTransport implements AutoCloseable {

	/**
	 * Maximum size of a message, in bytes. A complete configuration of 1,000 models is
	 * much smaller.
	 */
	private static final int MAX_MESSAGE_BYTES = 8 * 1024 * 1024;

	/**
	 * Maximum size of all messages that are being received at the same time, in bytes.
	 */
	private static final long MAX_BUFFERED_BYTES = 4L * MAX_MESSAGE_BYTES;

	/** Connect timeout, in milliseconds. */
	private static final int CONNECT_TIMEOUT_MILLIS = 500;

	/** Read timeout, in milliseconds. */
	private static final int READ_TIMEOUT_MILLIS = 1500;

	/** Number of threads in each of the two pools, for serving and for making calls. */
	private static final int THREADS_PER_POOL = 4;

	/** Maximum number of calls that wait for a thread of a pool. */
	private static final int MAX_QUEUED_CALLS = 64;

	/** Maximum depth of nested structures in a message. */
	private static final int MAX_STRUCTURE_DEPTH = 16;

	/** Size and depth limits of messages. */
	private final TConfiguration messageLimits = new TConfiguration(MAX_MESSAGE_BYTES, MAX_MESSAGE_BYTES,
			MAX_STRUCTURE_DEPTH);

	private final TransportCounters counters = new TransportCounters();

	/** Server socket. */
	private final TNonblockingServerSocket serverSocket;

	/** Thrift server; null before it has been started. */
	private THsHaServer server;

	/** Threads that serve calls. */
	private final ExecutorService serverThreads = createPool("peer-server");

	/** Threads that make calls. */
	private final ThreadPoolExecutor clientThreads = createPool("peer-client");

	/**
	 * Opens the server socket.
	 * @param address the address to listen on, with port 0 for any free port
	 * @throws IllegalStateException if the port cannot be opened
	 */
	ThriftTransport(InetSocketAddress address) {
		try {
			this.serverSocket = new TNonblockingServerSocket(address, READ_TIMEOUT_MILLIS);
		}
		catch (TTransportException ex) {
			throw new IllegalStateException("cannot listen on " + address + " for peers: " + ex.getMessage(), ex);
		}
	}

	/**
	 * Returns the port of the server socket.
	 * @return the open port
	 */
	int port() {
		return this.serverSocket.getPort();
	}

	/**
	 * Starts to serve calls of peers.
	 * @param handler handles the calls
	 */
	synchronized void startServer(PeerService.Iface handler) {
		THsHaServer.Args args = new THsHaServer.Args(this.serverSocket);
		args.maxReadBufferBytes = MAX_BUFFERED_BYTES;
		args.processor(new PeerService.Processor<>(handler));
		args.protocolFactory(new TCompactProtocol.Factory());
		args.transportFactory(new CountingTransportFactory());
		args.executorService(this.serverThreads);
		this.server = new THsHaServer(args);
		Thread acceptor = new Thread(this.server::serve, "peer-acceptor");
		acceptor.setDaemon(true);
		acceptor.start();
	}

	private static ThreadPoolExecutor createPool(String name) {
		ThreadPoolExecutor pool = new ThreadPoolExecutor(THREADS_PER_POOL, THREADS_PER_POOL, 30, TimeUnit.SECONDS,
				new ArrayBlockingQueue<>(MAX_QUEUED_CALLS), (task) -> {
					Thread thread = new Thread(task, name);
					thread.setDaemon(true);
					return thread;
				});
		pool.allowCoreThreadTimeOut(true);
		return pool;
	}

	/**
	 * Makes a call on a thread of the pool. A failed or dropped call is only counted,
	 * since the gossip protocol repeats the exchanges that matter.
	 * @param target the address of the peer
	 * @param call the call to make
	 */
	void submit(InetSocketAddress target, ClientCall call) {
		try {
			this.clientThreads.execute(() -> runCall(target, call));
		}
		catch (java.util.concurrent.RejectedExecutionException ex) {
			this.counters.addDroppedCall();
		}
	}

	private void runCall(InetSocketAddress target, ClientCall call) {
		String host = target.getAddress().getHostAddress();
		try (TSocket connection = new TSocket(this.messageLimits, host, target.getPort(), READ_TIMEOUT_MILLIS,
				CONNECT_TIMEOUT_MILLIS);
				TTransport framed = new TFramedTransport(new CountingTransport(connection, this.counters),
						MAX_MESSAGE_BYTES)) {
			framed.open();
			call.invoke(new PeerService.Client(new TCompactProtocol(framed)));
		}
		catch (TException ex) {
			this.counters.addFailedCall();
		}
	}

	/**
	 * Returns the counters of bytes and calls.
	 * @return the counters
	 */
	TransportCounters counters() {
		return this.counters;
	}

	/**
	 * Waits for outgoing calls in progress, then stops the server and closes the socket.
	 */
	@Override
	public void close() {
		this.clientThreads.shutdown();
		try {
			this.clientThreads.awaitTermination(READ_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		stopServer();
		this.serverSocket.close();
		this.serverThreads.shutdownNow();
	}

	private synchronized void stopServer() {
		if (this.server != null) {
			this.server.stop();
		}
	}

	/** Call to a peer. */
	interface ClientCall {

		/**
		 * Makes the call.
		 * @param client the Thrift client connected to the peer
		 * @throws TException if the peer gives no valid response in time
		 */
		void invoke(PeerService.Client client) throws TException;

	}

	/**
	 * Creates the transports of server connections, which frame the messages and count
	 * their bytes.
	 */
	private final class CountingTransportFactory extends TTransportFactory {

		@Override
		public TTransport getTransport(TTransport base) throws TTransportException {
			return new TFramedTransport(new CountingTransport(base, ThriftTransport.this.counters), MAX_MESSAGE_BYTES);
		}

	}

}
