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
 * Writes log records on a background thread, so that {@link #publish} never blocks.
 * Records that arrive while the queue is full are dropped; the next batch that is written
 * ends with a {@code log_lines_dropped} line that states how many. Thread-safe.
 */
public final class BoundedLogHandler extends Handler {

	/** Largest number of records that are queued while the output is blocked. */
	static final int QUEUE_CAPACITY = 8192;

	/**
	 * Pause between two batches, which limits the number of writes and wake-ups per
	 * second.
	 */
	private static final long BATCH_PERIOD_MS = 50;

	private static final long FLUSH_TIMEOUT_MS = 500;

	private final BlockingQueue<LogRecord> queue = new ArrayBlockingQueue<>(QUEUE_CAPACITY);

	private final AtomicLong droppedLines = new AtomicLong();

	private final AtomicLong acceptedLines = new AtomicLong();

	private final AtomicLong writtenLines = new AtomicLong();

	private final PrintStream out;

	BoundedLogHandler(PrintStream out) {
		this.out = out;
		Thread writer = new Thread(this::writeBatches, "log-writer");
		writer.setDaemon(true);
		writer.start();
	}

	@Override
	public void publish(LogRecord entry) {
		if (!isLoggable(entry)) {
			return;
		}
		if (this.queue.offer(entry)) {
			this.acceptedLines.incrementAndGet();
		}
		else {
			this.droppedLines.incrementAndGet();
		}
	}

	private void writeBatches() {
		List<LogRecord> batch = new ArrayList<>();
		try {
			while (true) {
				batch.add(this.queue.take());
				this.queue.drainTo(batch);
				writeBatch(batch);
				this.writtenLines.addAndGet(batch.size());
				batch.clear();
				Thread.sleep(BATCH_PERIOD_MS);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void writeBatch(List<LogRecord> batch) {
		StringBuilder text = new StringBuilder();
		for (LogRecord entry : batch) {
			text.append(getFormatter().format(entry));
		}
		long droppedCount = this.droppedLines.getAndSet(0);
		if (droppedCount > 0) {
			text.append(EventLog.format("log_lines_dropped", "count", droppedCount)).append(System.lineSeparator());
		}
		byte[] bytes = text.toString().getBytes(StandardCharsets.UTF_8);
		this.out.write(bytes, 0, bytes.length);
		this.out.flush();
	}

	/**
	 * Waits until the records published so far are written, at most half a second.
	 */
	@Override
	public void flush() {
		long target = this.acceptedLines.get();
		long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(FLUSH_TIMEOUT_MS);
		while (this.writtenLines.get() < target && System.nanoTime() < deadlineNanos) {
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
