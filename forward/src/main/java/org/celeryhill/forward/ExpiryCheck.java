package org.celeryhill.forward;

import java.util.concurrent.TimeUnit;

/**
 * Confirms that a connection has expired with a second check some time later. Between the
 * two, what the caller had sent while this process was paused or busy is read.
 */
final class ExpiryCheck {

	private static final long CONFIRMATION_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

	private boolean isExpired;

	private long expiredNanos;

	// Returns whether the connection was found expired now and in all checks of the
	// confirmation time before.
	boolean isConfirmed(boolean isExpiredNow, long now) {
		if (!this.isExpired) {
			this.expiredNanos = now;
		}
		this.isExpired = isExpiredNow;
		return isExpiredNow && now - this.expiredNanos > CONFIRMATION_NANOS;
	}

}
