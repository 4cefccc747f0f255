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
 * timeouts, a limit on the size of a message, and bounded pools. Thread-safe.
 */
final class ThriftTransport implements AutoCloseable {

	/**
	 * Largest message in bytes. A whole configuration of 1,000 models is well below it.
	 */
	private static final int MAX_BYTES = 8 * 1024 * 1024;

	/** Bytes of all messages that are being received at a time. */
	private static final long MAX_BUFFERED_BYTES = 4L * MAX_BYTES;

	/** Time to connect, in milliseconds. */
	private static final int CONNECT_MILLIS = 500;

	/** Time to wait for data, in milliseconds. */
	private static final int READ_MILLIS = 1500;

	/** Threads that serve calls, and as many that make calls. */
	private static final int THREADS = 4;

	/** Calls that wait for a thread. */
	private static final int QUEUE = 64;

	/** Depth of nested structures in a message. */
	private static final int DEPTH = 16;

	/** Limits of messages. */
	private final TConfiguration limits = new TConfiguration(MAX_BYTES, MAX_BYTES, DEPTH);

	/** Counters. */
	private final ByteCounters counters = new ByteCounters();

	/** Port. */
	private final TNonblockingServerSocket socket;

	/** Server; null before it serves. */
	private THsHaServer server;

	/** Threads that serve calls. */
	private final ExecutorService workers = pool("peer-server");

	/** Threads that make calls. */
	private final ThreadPoolExecutor callers = pool("peer-client");

	/**
	 * Opens the port.
	 * @param address where to listen, port 0 for any
	 * @throws IllegalStateException if the port cannot be opened
	 */
	ThriftTransport(InetSocketAddress address) {
		try {
			this.socket = new TNonblockingServerSocket(address, READ_MILLIS);
		}
		catch (TTransportException ex) {
			throw new IllegalStateException("cannot listen on " + address + " for peers: " + ex.getMessage(), ex);
		}
	}

	/**
	 * Returns the port.
	 * @return the port that is open
	 */
	int port() {
		return this.socket.getPort();
	}

	/**
	 * Starts to serve calls.
	 * @param handler what serves calls
	 */
	synchronized void serve(PeerService.Iface handler) {
		THsHaServer.Args args = new THsHaServer.Args(this.socket);
		args.maxReadBufferBytes = MAX_BUFFERED_BYTES;
		args.processor(new PeerService.Processor<>(handler));
		args.protocolFactory(new TCompactProtocol.Factory());
		args.transportFactory(new Factory());
		args.executorService(this.workers);
		this.server = new THsHaServer(args);
		Thread acceptor = new Thread(this.server::serve, "peer-acceptor");
		acceptor.setDaemon(true);
		acceptor.start();
	}

	private static ThreadPoolExecutor pool(String name) {
		ThreadPoolExecutor pool = new ThreadPoolExecutor(THREADS, THREADS, 30, TimeUnit.SECONDS,
				new ArrayBlockingQueue<>(QUEUE), (task) -> {
					Thread thread = new Thread(task, name);
					thread.setDaemon(true);
					return thread;
				});
		pool.allowCoreThreadTimeOut(true);
		return pool;
	}

	/**
	 * Makes a call on another thread. A failure is counted; the protocol repeats what
	 * matters.
	 * @param target where to send it
	 * @param call the call
	 */
	void submit(InetSocketAddress target, Call call) {
		try {
			this.callers.execute(() -> make(target, call));
		}
		catch (java.util.concurrent.RejectedExecutionException ex) {
			this.counters.addDropped();
		}
	}

	private void make(InetSocketAddress target, Call call) {
		String host = target.getAddress().getHostAddress();
		try (TSocket connection = new TSocket(this.limits, host, target.getPort(), READ_MILLIS, CONNECT_MILLIS);
				TTransport framed = new TFramedTransport(new CountingTransport(connection, this.counters), MAX_BYTES)) {
			framed.open();
			call.run(new PeerService.Client(new TCompactProtocol(framed)));
		}
		catch (TException ex) {
			this.counters.addFailed();
		}
	}

	/**
	 * Returns the counters.
	 * @return the counters
	 */
	ByteCounters counters() {
		return this.counters;
	}

	/**
	 * Waits for calls under way, then closes the port.
	 */
	@Override
	public void close() {
		this.callers.shutdown();
		try {
			this.callers.awaitTermination(READ_MILLIS, TimeUnit.MILLISECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		stopServer();
		this.socket.close();
		this.workers.shutdownNow();
	}

	private synchronized void stopServer() {
		if (this.server != null) {
			this.server.stop();
		}
	}

	/** A call to a peer. */
	interface Call {

		/**
		 * Makes the call.
		 * @param client the client
		 * @throws TException if the peer gives no valid answer in time
		 */
		void run(PeerService.Client client) throws TException;

	}

	/** Frames and counts the messages of the server. */
	private final class Factory extends TTransportFactory {

		@Override
		public TTransport getTransport(TTransport base) throws TTransportException {
			return new TFramedTransport(new CountingTransport(base, ThriftTransport.this.counters), MAX_BYTES);
		}

	}

}
