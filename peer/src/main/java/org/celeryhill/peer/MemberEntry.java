package org.celeryhill.peer;

import java.util.Objects;

import org.celeryhill.peerthrift.MemberRecord;
import org.celeryhill.peerthrift.MemberStatus;

/**
 * Entry of the membership table: the record of a member with its latest heartbeat. Not
 * thread-safe.
 */
final class MemberEntry {

	/** Record of the member as sent to peers. */
	final MemberRecord record;

	/**
	 * Host id of the process that sent the record, empty if the record was created here.
	 */
	final String source;

	/** Identifies the member in heartbeats; differs between generations. */
	final int heartbeatId;

	/** Monotonic time at which the record was stored, in nanoseconds. */
	final long storedNanos;

	/** Highest heartbeat count received. */
	long heartbeatCount;

	/** Monotonic time at which the heartbeat count last increased, in nanoseconds. */
	long heartbeatNanos;

	/** Number of times that the record is still to be sent. */
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
