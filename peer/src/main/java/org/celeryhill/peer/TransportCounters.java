package org.celeryhill.peer;

import java.util.concurrent.atomic.LongAdder;

/**
 * Counters of the bytes and calls of the peer protocol, for metrics. The bytes include
 * Thrift frames but not TCP and IP headers. Thread-safe.
 */
public final class TransportCounters {

	/** Bytes sent. */
	private final LongAdder sent = new LongAdder();

	/** Bytes received. */
	private final LongAdder received = new LongAdder();

	/** Calls that failed. */
	private final LongAdder failed = new LongAdder();

	/** Calls that were dropped because too many calls were in progress. */
	private final LongAdder dropped = new LongAdder();

	TransportCounters() {
	}

	/**
	 * Returns the number of bytes sent.
	 * @return the bytes sent since the start
	 */
	public long sentBytes() {
		return this.sent.sum();
	}

	/**
	 * Returns the number of bytes received.
	 * @return the bytes received since the start
	 */
	public long receivedBytes() {
		return this.received.sum();
	}

	/**
	 * Returns the number of calls to peers that failed.
	 * @return the failed calls since the start
	 */
	public long failedCalls() {
		return this.failed.sum();
	}

	/**
	 * Returns the number of calls to peers that were dropped because the queue was full.
	 * @return the dropped calls since the start
	 */
	public long droppedCalls() {
		return this.dropped.sum();
	}

	void addSentBytes(int bytes) {
		this.sent.add(bytes);
	}

	void addReceivedBytes(int bytes) {
		this.received.add(bytes);
	}

	void addFailedCall() {
		this.failed.increment();
	}

	void addDroppedCall() {
		this.dropped.increment();
	}

}
