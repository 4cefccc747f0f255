package org.celeryhill.state;

import java.time.Duration;
import java.util.Objects;

/**
 * What an observing process knows about a lease that another process holds. The lease
 * counts as expired when its fencing token and renewal count have not changed for the
 * full lease duration on the monotonic clock of the observer. The observer reads a
 * renewal count only after the renewal has started, so this duration always ends later
 * than the two thirds of it during which the holder may use the lease. Immutable and
 * thread-safe.
 *
 * @param record the row of the lease as last read, not null
 * @param firstSeenNanos when the observer first saw this token and renewal count, on its
 * monotonic clock, in nanoseconds
 */
public record LeaseObservation(LeaseRecord record, long firstSeenNanos) {

	/** Creates an observation. */
	public LeaseObservation {
		Objects.requireNonNull(record, "record");
	}

	/**
	 * Returns the observation after the row has been read again.
	 * @param latest the row as read, not null
	 * @param nowNanos the observer's monotonic time after the read, in nanoseconds
	 * @return this observation if token and renewal count are unchanged, else a new one
	 */
	public LeaseObservation update(LeaseRecord latest, long nowNanos) {
		boolean isUnchanged = latest.token().equals(this.record.token()) && latest.renewals() == this.record.renewals();
		return (isUnchanged) ? this : new LeaseObservation(latest, nowNanos);
	}

	/**
	 * Returns whether the lease may be granted to another process.
	 * @param nowNanos the observer's monotonic time, in nanoseconds
	 * @return true if the holder released the lease or let it expire
	 */
	public boolean isExpired(long nowNanos) {
		return this.record.released() || remainingTime(nowNanos).isZero();
	}

	/**
	 * Returns the time until the lease expires if the holder does not renew it.
	 * @param nowNanos the observer's monotonic time, in nanoseconds
	 * @return the time, zero if the lease has expired
	 */
	public Duration remainingTime(long nowNanos) {
		Duration remaining = this.record.duration().minusNanos(nowNanos - this.firstSeenNanos);
		return (remaining.isNegative()) ? Duration.ZERO : remaining;
	}

}
