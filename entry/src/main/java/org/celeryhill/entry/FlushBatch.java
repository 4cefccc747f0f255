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
 * Writes of one I/O thread that are done together. Waking an I/O thread costs two system
 * calls; with one wake-up for each token of each stream they cost more than the writes.
 * Thread-safe.
 */
final class FlushBatch {

	/** Log of this class. */
	private static final EventLog LOG = EventLog.of(FlushBatch.class);

	/** Longest delay of a token by the batch, in microseconds. */
	private static final long DELAY_MICROS = 1000;

	/** Thread that writes. */
	private final XnioIoThread thread;

	/** Channels with events that wait. */
	private final Queue<SseChannel> channels = new ConcurrentLinkedQueue<>();

	/** Set while a run is scheduled. */
	private final AtomicBoolean isScheduled = new AtomicBoolean();

	FlushBatch(XnioIoThread thread) {
		this.thread = Objects.requireNonNull(thread, "thread");
	}

	/**
	 * Has a channel drained soon.
	 * @param channel the channel, not null
	 */
	void add(SseChannel channel) {
		this.channels.add(channel);
		if (this.isScheduled.compareAndSet(false, true)) {
			try {
				this.thread.executeAfter(this::run, DELAY_MICROS, TimeUnit.MICROSECONDS);
			}
			catch (RejectedExecutionException ex) {
				// The server has stopped and closed its connections.
				this.channels.clear();
			}
		}
	}

	private void run() {
		this.isScheduled.set(false);
		for (SseChannel channel = this.channels.poll(); channel != null; channel = this.channels.poll()) {
			try {
				channel.drain();
			}
			catch (RuntimeException ex) {
				LOG.warn("flush_failed", "fault", ex);
			}
		}
	}

}
