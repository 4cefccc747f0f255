package org.celeryhill.edge;

import java.util.concurrent.TimeUnit;

import org.celeryhill.base.EventLog;

/**
 * Counts the heartbeats that this host answers and logs their volume every few seconds.
 * Must be used on the event loop.
 */
final class HeartbeatVolume {

	private static final EventLog LOG = EventLog.of(HeartbeatVolume.class);

	private static final long PERIOD_NANOS = TimeUnit.SECONDS.toNanos(2);

	private long periodStartNanos = System.nanoTime();

	private int count;

	private long receivedBytes;

	private long sentBytes;

	// Adds a heartbeat and its response. Only their bodies are counted.
	void add(int requestBytes, int responseBytes, int members) {
		this.count++;
		this.receivedBytes += requestBytes;
		this.sentBytes += responseBytes;
		long now = System.nanoTime();
		if (now - this.periodStartNanos < PERIOD_NANOS) {
			return;
		}
		LOG.info("heartbeats_answered", "members", members, "count", this.count, "received_bytes", this.receivedBytes,
				"sent_bytes", this.sentBytes, "ms", TimeUnit.NANOSECONDS.toMillis(now - this.periodStartNanos));
		this.periodStartNanos = now;
		this.count = 0;
		this.receivedBytes = 0;
		this.sentBytes = 0;
	}

}
