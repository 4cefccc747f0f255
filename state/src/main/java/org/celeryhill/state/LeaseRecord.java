package org.celeryhill.state;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

import org.celeryhill.base.AttemptId;
import org.celeryhill.base.FencingToken;
import org.celeryhill.base.HostId;

/**
 * Row of a lease. The row is never deleted, so that fencing tokens are never reused.
 * Immutable and thread-safe.
 *
 * @param holder the host of the current or last holder, not null
 * @param session the process id of the current or last holder, not null
 * @param token the fencing token of the latest grant, not null
 * @param renewals the number of renewals since this grant
 * @param durationMillis the lease duration that the holder chose, in milliseconds
 * @param released whether the holder has released the lease
 */
public record LeaseRecord(HostId holder, AttemptId session, FencingToken token, long renewals, long durationMillis,
		boolean released) {

	/** Creates a record. */
	public LeaseRecord {
		Objects.requireNonNull(holder, "holder");
		Objects.requireNonNull(session, "session");
		Objects.requireNonNull(token, "token");
	}

	/**
	 * Returns the record of a new grant.
	 * @param host the host of the new holder, not null
	 * @param newSession the process id of the new holder, not null
	 * @param newToken the fencing token of the grant, not null
	 * @param duration the lease duration, not null
	 * @return the record, never null
	 */
	public static LeaseRecord createGrant(HostId host, AttemptId newSession, FencingToken newToken, Duration duration) {
		return new LeaseRecord(host, newSession, newToken, 0, duration.toMillis(), false);
	}

	/**
	 * Returns a copy with the renewal count increased by one.
	 * @return the record, never null
	 */
	public LeaseRecord withRenewal() {
		return new LeaseRecord(this.holder, this.session, this.token, this.renewals + 1, this.durationMillis, false);
	}

	/**
	 * Returns a copy that is marked as released. The renewal count increases as well, so
	 * that observers see a change.
	 * @return the record, never null
	 */
	public LeaseRecord withRelease() {
		return new LeaseRecord(this.holder, this.session, this.token, this.renewals + 1, this.durationMillis, true);
	}

	/**
	 * Returns whether a process holds the lease according to this record.
	 * @param process the process id, not null
	 * @return true if the process is the last holder and has not released the lease
	 */
	public boolean isHeldBy(AttemptId process) {
		return !this.released && this.session.equals(process);
	}

	/**
	 * Returns the lease duration.
	 * @return the duration, never null
	 */
	public Duration duration() {
		return Duration.ofMillis(this.durationMillis);
	}

	/**
	 * Returns the JSON text of this record, which {@link #parse} reads.
	 * @return the text, never null
	 */
	public String toText() {
		return StateJson.write(this);
	}

	/**
	 * Parses the JSON text of a record.
	 * @param text the text, not null
	 * @return the record, or empty if the text is malformed
	 */
	public static Optional<LeaseRecord> parse(String text) {
		return StateJson.read(text, LeaseRecord.class);
	}

}
