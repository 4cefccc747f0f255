package org.celeryhill.state;

import java.time.Duration;
import java.util.Objects;

/**
 * What one observer has seen of a lease that another process holds. Expiry is judged by
 * how long the grant and its renewal count stay unchanged on the observer's monotonic
 * clock. A count is seen after its renewal has started, so that the observer's full
 * duration ends after the holder's two thirds. Immutable and thread-safe.
 *
 * @param record the record, not null
 * @param firstSeenNanos when the observer first saw this token and renewal count, in
 * nanoseconds
 */
public record LeaseObservation(LeaseRecord record, long firstSeenNanos) {

	/** Creates an observation. */
	public LeaseObservation {
		Objects.requireNonNull(record, "record");
	}

	/**
	 * Returns the observation after another look at the row.
	 * @param latest the record as it was read, not null
	 * @param nowNanos the time after the read, in nanoseconds
	 * @return this observation if the count is unchanged, else a new one
	 */
	public LeaseObservation update(LeaseRecord latest, long nowNanos) {
		boolean isUnchanged = latest.token().equals(this.record.token()) && latest.renewals() == this.record.renewals();
		return (isUnchanged) ? this : new LeaseObservation(latest, nowNanos);
	}

	/**
	 * Returns whether the lease may be granted to another process.
	 * @param nowNanos the observer's monotonic time, in nanoseconds
	 * @return true if the holder gave it back or let it expire
	 */
	public boolean isExpired(long nowNanos) {
		return this.record.released() || remainingTime(nowNanos).isZero();
	}

	/**
	 * Returns the time until expiry if the holder does not renew.
	 * @param nowNanos the observer's monotonic time, in nanoseconds
	 * @return the time, zero if the lease has expired
	 */
	public Duration remainingTime(long nowNanos) {
		Duration rest = this.record.duration().minusNanos(nowNanos - this.firstSeenNanos);
		return (rest.isNegative()) ? Duration.ZERO : rest;
	}

}
