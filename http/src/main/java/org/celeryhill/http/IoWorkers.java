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
 * Creates and shares XNIO workers for HTTP clients and servers. If an event stream is
 * read and written on the same I/O thread, no other thread has to be woken up to forward
 * it. Thread-safe.
 */
public final class IoWorkers {

	private static final int SHARED_IO_THREADS = 2;

	/** Threads of the shared worker that run blocking handlers. */
	private static final int SHARED_TASK_THREADS = 32;

	private IoWorkers() {
	}

	/**
	 * Returns the worker that all clients and servers of the process use unless they have
	 * their own. It is started on first use and never stopped; its threads are daemons.
	 * @return the worker, never null
	 */
	public static XnioWorker shared() {
		return SharedWorkerHolder.WORKER;
	}

	/**
	 * Returns the I/O threads of the shared worker, so that their scheduling delay can be
	 * measured.
	 * @return one executor for each I/O thread, never null
	 */
	public static List<Executor> sharedIoThreads() {
		return IntStream.range(0, SHARED_IO_THREADS)
			.<Executor>mapToObj((number) -> shared().getIoThread(number))
			.toList();
	}

	/**
	 * Starts a worker with daemon threads.
	 * @param ioThreads the number of threads that serve connections, positive
	 * @param taskThreads the number of threads that run blocking handlers, positive
	 * @return the worker, never null; the caller stops it with
	 * {@link XnioWorker#shutdown()}
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

	/** Holder that starts the shared worker on first use. */
	private static final class SharedWorkerHolder {

		private static final XnioWorker WORKER = create(SHARED_IO_THREADS, SHARED_TASK_THREADS);

	}

}
