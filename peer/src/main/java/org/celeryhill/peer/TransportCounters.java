package org.celeryhill.peer;

import java.util.concurrent.atomic.LongAdder;

/**
 * Bytes and calls of the peer protocol, for metrics. The bytes include Thrift frames and
 * leave out TCP and IP headers. Thread-safe.
 */
public final class TransportCounters {

	/** Bytes sent. */
	private final LongAdder sent = new LongAdder();

	/** Bytes received. */
	private final LongAdder received = new LongAdder();

	/** Calls that failed. */
	private final LongAdder failed = new LongAdder();

	/** Calls that were dropped since too many were under way. */
	private final LongAdder dropped = new LongAdder();

	TransportCounters() {
	}

	/**
	 * Returns the bytes sent.
	 * @return the bytes since the start
	 */
	public long sentBytes() {
		return this.sent.sum();
	}

	/**
	 * Returns the bytes received.
	 * @return the bytes since the start
	 */
	public long receivedBytes() {
		return this.received.sum();
	}

	/**
	 * Returns the calls to peers that failed.
	 * @return the calls since the start
	 */
	public long failedCalls() {
		return this.failed.sum();
	}

	/**
	 * Returns the calls to peers that were dropped because the queue was full.
	 * @return the calls since the start
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
