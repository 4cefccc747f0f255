package org.celeryhill.peer;

import java.util.Objects;

import org.celeryhill.peerthrift.MemberRecord;
import org.celeryhill.peerthrift.MemberStatus;

/**
 * One member with its heartbeat. Not thread-safe.
 */
final class MemberEntry {

	/** Record as it is spread. */
	final MemberRecord record;

	/** Process that the record came from. */
	final String source;

	/** Key of the member's heartbeats; differs between generations. */
	final int heartbeatId;

	/** Monotonic time at which the record was taken, in nanoseconds. */
	final long storedNanos;

	/** Highest heartbeat. */
	long heartbeatCount;

	/** Monotonic time at which the heartbeat grew last, in nanoseconds. */
	long heartbeatNanos;

	/** Times that the record is still to be sent. */
	int sendsLeft;

	MemberEntry(MemberRecord record, String source, long nowNanos) {
		this.record = record;
		this.source = source;
		this.heartbeatId = Objects.hash(record.getHost(), record.getGeneration());
		this.storedNanos = nowNanos;
		this.heartbeatNanos = nowNanos;
	}

	void updateHeartbeat(long newCount, long nowNanos) {
		if (newCount > this.heartbeatCount) {
			this.heartbeatCount = newCount;
			this.heartbeatNanos = nowNanos;
		}
	}

	boolean isDead() {
		return this.record.getStatus() == MemberStatus.DEAD;
	}

}
