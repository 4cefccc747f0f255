package org.celeryhill.state;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

import org.celeryhill.base.AttemptId;
import org.celeryhill.base.FencingToken;
import org.celeryhill.base.HostId;

/**
 * Row of a lease. The row is never deleted, so that tokens never repeat. Immutable and
 * thread-safe.
 *
 * @param holder the host of the last holder, not null
 * @param session the process of the last holder, not null
 * @param token the fencing token of the last grant, not null
 * @param renewals the renewals of this grant
 * @param durationMillis the duration that the holder chose, in milliseconds
 * @param released whether the holder has given the lease back
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
	 * Returns the record of a grant.
	 * @param host the host of the new holder, not null
	 * @param newSession the process of the new holder, not null
	 * @param newToken the token of the grant, not null
	 * @param duration the duration, not null
	 * @return the record, never null
	 */
	public static LeaseRecord createGrant(HostId host, AttemptId newSession, FencingToken newToken, Duration duration) {
		return new LeaseRecord(host, newSession, newToken, 0, duration.toMillis(), false);
	}

	/**
	 * Returns the record after a renewal.
	 * @return the record, never null
	 */
	public LeaseRecord withRenewal() {
		return new LeaseRecord(this.holder, this.session, this.token, this.renewals + 1, this.durationMillis, false);
	}

	/**
	 * Returns the record after the holder gave the lease back.
	 * @return the record, never null
	 */
	public LeaseRecord withRelease() {
		return new LeaseRecord(this.holder, this.session, this.token, this.renewals + 1, this.durationMillis, true);
	}

	/**
	 * Returns whether a process holds this grant.
	 * @param process the process, not null
	 * @return true if it is the holder and has not given the lease back
	 */
	public boolean isHeldBy(AttemptId process) {
		return !this.released && this.session.equals(process);
	}

	/**
	 * Returns the duration.
	 * @return the duration, never null
	 */
	public Duration duration() {
		return Duration.ofMillis(this.durationMillis);
	}

	/**
	 * Returns the text that {@link #parse} reads.
	 * @return the text, never null
	 */
	public String toText() {
		return StateJson.write(this);
	}

	/**
	 * Parses the text of a record.
	 * @param text the text, not null
	 * @return the record, empty if the text is malformed
	 */
	public static Optional<LeaseRecord> parse(String text) {
		return StateJson.read(text, LeaseRecord.class);
	}

}
