package org.celeryhill.state;

import java.time.Duration;
import java.util.Objects;

import org.celeryhill.base.AttemptId;
import org.celeryhill.base.FencingToken;
import org.celeryhill.base.HostId;

/**
 * A lease as known to the process that holds it. Immutable and thread-safe.
 *
 * @param name the name of the lease, not null
 * @param holder the host of the holding process, not null
 * @param session the id of the holding process, not null
 * @param token the fencing token, a new one for each grant, not null
 * @param duration the lease duration, positive, not null
 * @param renewedNanos when the last successful grant or renewal was started, on the
 * holder's monotonic clock, in nanoseconds
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
	 * Returns the time at which the holder must stop using the lease: two thirds of its
	 * duration after the last renewal was started. The remaining third allows for clocks
	 * that run at different rates.
	 * @return the time on the holder's monotonic clock, in nanoseconds
	 */
	public long usableUntilNanos() {
		return this.renewedNanos + this.duration.toNanos() / 3 * 2;
	}

	/**
	 * Returns whether the holder may use the lease.
	 * @param nowNanos the holder's monotonic time, in nanoseconds
	 * @return true if less than two thirds of the duration have passed since the last
	 * renewal was started
	 */
	public boolean isUsable(long nowNanos) {
		return nowNanos - usableUntilNanos() < 0;
	}

	/**
	 * Returns whether the holder should renew the lease, which is the case after a third
	 * of its duration.
	 * @param nowNanos the holder's monotonic time, in nanoseconds
	 * @return true if a third of the duration has passed since the last renewal was
	 * started
	 */
	public boolean isRenewalDue(long nowNanos) {
		return nowNanos - this.renewedNanos >= this.duration.toNanos() / 3;
	}

}
