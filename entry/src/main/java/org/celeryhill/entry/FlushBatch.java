package org.celeryhill.entry;

import java.util.Objects;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import org.celeryhill.base.EventLog;
import org.xnio.XnioIoThread;

/**
 * Collects the channels of one I/O thread that have queued events and writes them
 * together. Waking an I/O thread takes two system calls; with one wake-up for each token
 * of each stream, the wake-ups cost more than the writes. Thread-safe.
 */
final class FlushBatch {

	/** Log of this class. */
	private static final EventLog LOG = EventLog.of(FlushBatch.class);

	/** Delay before a batch is written, in microseconds; the maximum added to a token. */
	private static final long FLUSH_DELAY_MICROS = 1000;

	/** I/O thread that writes the events. */
	private final XnioIoThread thread;

	/** Channels with queued events. */
	private final Queue<SseChannel> channels = new ConcurrentLinkedQueue<>();

	/** Whether a write of the batch is scheduled. */
	private final AtomicBoolean isScheduled = new AtomicBoolean();

	FlushBatch(XnioIoThread thread) {
		this.thread = Objects.requireNonNull(thread, "thread");
	}

	/**
	 * Schedules a write of the events that a channel has queued.
	 * @param channel the channel with queued events, not null
	 */
	void scheduleWrite(SseChannel channel) {
		this.channels.add(channel);
		if (this.isScheduled.compareAndSet(false, true)) {
			try {
				this.thread.executeAfter(this::writeAll, FLUSH_DELAY_MICROS, TimeUnit.MICROSECONDS);
			}
			catch (RejectedExecutionException ex) {
				// The server has stopped and closed its connections.
				this.channels.clear();
			}
		}
	}

	private void writeAll() {
		this.isScheduled.set(false);
		for (SseChannel channel = this.channels.poll(); channel != null; channel = this.channels.poll()) {
			try {
				channel.writeQueued();
			}
			catch (RuntimeException ex) {
				LOG.warn("flush_failed", "fault", ex);
			}
		}
	}

}
