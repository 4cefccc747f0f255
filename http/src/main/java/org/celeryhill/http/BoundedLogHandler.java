package org.celeryhill.http;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Handler;
import java.util.logging.LogRecord;

import org.celeryhill.base.EventLog;

/**
 * Writes log records on a thread of its own. A caller never waits: records that find the
 * queue full are left out and counted, and a line states the count as soon as there is
 * room. Thread-safe.
 */
public final class BoundedLogHandler extends Handler {

	/** Lines that wait for a reader of the output that does not read. */
	static final int CAPACITY = 8192;

	/** Pause between two batches, which bounds the writes and wake-ups in a second. */
	private static final long BATCH_PERIOD_MS = 50;

	private static final long FLUSH_TIMEOUT_MS = 500;

	private final BlockingQueue<LogRecord> queue = new ArrayBlockingQueue<>(CAPACITY);

	private final AtomicLong dropped = new AtomicLong();

	private final AtomicLong accepted = new AtomicLong();

	private final AtomicLong written = new AtomicLong();

	private final PrintStream out;

	BoundedLogHandler(PrintStream out) {
		this.out = out;
		Thread writer = new Thread(this::run, "log-writer");
		writer.setDaemon(true);
		writer.start();
	}

	@Override
	public void publish(LogRecord entry) {
		if (!isLoggable(entry)) {
			return;
		}
		if (this.queue.offer(entry)) {
			this.accepted.incrementAndGet();
		}
		else {
			this.dropped.incrementAndGet();
		}
	}

	private void run() {
		List<LogRecord> batch = new ArrayList<>();
		try {
			while (true) {
				batch.add(this.queue.take());
				this.queue.drainTo(batch);
				write(batch);
				this.written.addAndGet(batch.size());
				batch.clear();
				Thread.sleep(BATCH_PERIOD_MS);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void write(List<LogRecord> batch) {
		StringBuilder text = new StringBuilder();
		for (LogRecord entry : batch) {
			text.append(getFormatter().format(entry));
		}
		long lost = this.dropped.getAndSet(0);
		if (lost > 0) {
			text.append(EventLog.format("log_lines_dropped", "count", lost)).append(System.lineSeparator());
		}
		byte[] bytes = text.toString().getBytes(StandardCharsets.UTF_8);
		this.out.write(bytes, 0, bytes.length);
		this.out.flush();
	}

	/**
	 * Waits for at most half a second until the lines so far are written.
	 */
	@Override
	public void flush() {
		long target = this.accepted.get();
		long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(FLUSH_TIMEOUT_MS);
		while (this.written.get() < target && System.nanoTime() < end) {
			try {
				Thread.sleep(BATCH_PERIOD_MS / 5);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				return;
			}
		}
	}

	@Override
	public void close() {
		flush();
	}

}
