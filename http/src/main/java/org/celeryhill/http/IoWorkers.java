package org.celeryhill.http;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.stream.IntStream;

import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * I/O threads that streams of engines and servers can share. A stream that is read and
 * written on the same I/O thread needs no wake-up between the two. Thread-safe.
 */
public final class IoWorkers {

	/** I/O threads of the shared worker. */
	private static final int SHARED_IO_THREADS = 2;

	/** Threads for blocking handlers of the shared worker. */
	private static final int SHARED_TASK_THREADS = 32;

	private IoWorkers() {
	}

	/**
	 * Returns a worker for all clients and servers of the process that have none of their
	 * own. It is started on first use and never stopped; its threads are daemons.
	 * @return the worker, never null
	 */
	public static XnioWorker shared() {
		return Shared.WORKER;
	}

	/**
	 * Returns the I/O threads of the shared worker, to measure how late they are.
	 * @return executors that run tasks on one I/O thread each, never null
	 */
	public static List<Executor> sharedIoThreads() {
		return IntStream.range(0, SHARED_IO_THREADS)
			.<Executor>mapToObj((number) -> shared().getIoThread(number))
			.toList();
	}

	/**
	 * Starts a worker with daemon threads.
	 * @param ioThreads the threads that serve connections, positive
	 * @param taskThreads the threads that run blocking handlers, positive
	 * @return the worker, never null; stopped by {@link XnioWorker#shutdown()}
	 */
	public static XnioWorker create(int ioThreads, int taskThreads) {
		OptionMap options = OptionMap.builder()
			.set(Options.WORKER_IO_THREADS, ioThreads)
			.set(Options.WORKER_TASK_CORE_THREADS, taskThreads)
			.set(Options.WORKER_TASK_MAX_THREADS, taskThreads)
			.set(Options.THREAD_DAEMON, true)
			.set(Options.TCP_NODELAY, true)
			.set(Options.WORKER_NAME, "celeryhill-io")
			.getMap();
		try {
			return Xnio.getInstance().createWorker(options);
		}
		catch (IOException ex) {
			throw new UncheckedIOException("cannot start I/O threads", ex);
		}
	}

	/** Holder of the shared worker. */
	private static final class Shared {

		/** Worker. */
		private static final XnioWorker WORKER = create(SHARED_IO_THREADS, SHARED_TASK_THREADS);

	}

}
