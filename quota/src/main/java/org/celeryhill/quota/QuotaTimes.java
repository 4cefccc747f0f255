package org.celeryhill.quota;

import java.time.Duration;

/**
 * Durations on which hosts and the holder of the quotas rely together, in nanoseconds.
 */
final class QuotaTimes {

	/** Time from the report of a host during which it may use the units of the answer. */
	static final long GRANT_LIFETIME = Duration.ofMillis(1200).toNanos();

	/** Time without an exchange after which hosts and holder take each other for lost. */
	static final long CONTACT_TIMEOUT = Duration.ofMillis(750).toNanos();

	/**
	 * Time from the report of a host during which it may use units that the holder does
	 * not keep back. It ends with the contact, since nobody notices a rising demand
	 * without it.
	 */
	static final long LOAN_LIFETIME = CONTACT_TIMEOUT;

	/** Time from the last report of a host during which it may use its share. */
	static final long SHARE_LIFETIME = Duration.ofMillis(6000).toNanos();

	/**
	 * Time within which the hosts that followed an earlier holder report to a new one.
	 */
	static final long TAKEOVER_TIME = Duration.ofMillis(2000).toNanos();

	/**
	 * Time after which a new holder that no host has told of another one has the rate.
	 */
	static final long FIRST_HOLDER_TIME = Duration.ofMillis(500).toNanos();

	/** Longest time for which the holder may need to learn of the last use of a share. */
	static final long MESSAGE_DELAY = Duration.ofMillis(800).toNanos();

	private QuotaTimes() {
	}

	static double seconds(long nanos) {
		return nanos / 1e9;
	}

	static long nanos(double seconds) {
		return (long) (seconds * 1e9);
	}

}
