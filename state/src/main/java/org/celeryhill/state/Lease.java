package org.celeryhill.state;

import java.time.Duration;
import java.util.Objects;

import org.celeryhill.base.AttemptId;
import org.celeryhill.base.FencingToken;
import org.celeryhill.base.HostId;

/**
 * A lease as its holder has it. Immutable and thread-safe.
 *
 * @param name the name, not null
 * @param holder the host of the holder, not null
 * @param session the process of the holder, not null
 * @param token the fencing token, one per grant, not null
 * @param duration the duration, not null, positive
 * @param renewedNanos the start of the last successful grant or renewal on the holder's
 * monotonic clock, in nanoseconds
 */
public record Lease(LeaseName name, HostId holder, AttemptId session, FencingToken token, Duration duration,
		long renewedNanos) {

	/** Creates a lease. */
	public Lease {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(holder, "holder");
		Objects.requireNonNull(session, "session");
		Objects.requireNonNull(token, "token");
		Objects.requireNonNull(duration, "duration");
	}

	/**
	 * Returns when the holder has to stop using the lease: two thirds of its duration
	 * after the start of the last renewal. The remaining third covers clocks that run at
	 * different rates.
	 * @return the end on the holder's monotonic clock, in nanoseconds
	 */
	public long usableUntilNanos() {
		return this.renewedNanos + this.duration.toNanos() / 3 * 2;
	}

	/**
	 * Returns whether the holder may use the lease.
	 * @param nowNanos the holder's monotonic time, in nanoseconds
	 * @return true before two thirds of the duration have passed
	 */
	public boolean isUsable(long nowNanos) {
		return nowNanos - usableUntilNanos() < 0;
	}

	/**
	 * Returns whether the holder should renew the lease: a third of the duration has
	 * passed.
	 * @param nowNanos the holder's monotonic time, in nanoseconds
	 * @return true if a renewal is due
	 */
	public boolean isRenewalDue(long nowNanos) {
		return nowNanos - this.renewedNanos >= this.duration.toNanos() / 3;
	}

}
