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
	final int beatId;

	/** Monotonic time at which the record was taken, in nanoseconds. */
	final long changedNanos;

	/** Highest heartbeat. */
	long count;

	/** Monotonic time at which the heartbeat grew last, in nanoseconds. */
	long beatNanos;

	/** Times that the record is still to be sent. */
	int sendsLeft;

	MemberEntry(MemberRecord record, String source, long nowNanos) {
		this.record = record;
		this.source = source;
		this.beatId = Objects.hash(record.getHost(), record.getGeneration());
		this.changedNanos = nowNanos;
		this.beatNanos = nowNanos;
	}

	void beat(long newCount, long nowNanos) {
		if (newCount > this.count) {
			this.count = newCount;
			this.beatNanos = nowNanos;
		}
	}

	boolean isDead() {
		return this.record.getStatus() == MemberStatus.DEAD;
	}

}
