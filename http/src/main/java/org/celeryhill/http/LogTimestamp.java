package org.celeryhill.http;

import java.time.Instant;

/**
 * Formats the times of log lines with microseconds, as in
 * {@code 2026-12-06T10:15:30.000250Z}. Keeps the text up to the second, since most lines
 * follow others of the same second. Thread-safe.
 */
final class LogTimestamp {

	private static final int NANOS_PER_MICRO = 1000;

	private static final int MICROS_PER_SECOND = 1_000_000;

	private volatile Second latest = new Second(Long.MIN_VALUE, "");

	/**
	 * Formats a time.
	 * @param time the time, not null
	 * @return the time in UTC in the format of ISO 8601, never null
	 */
	String format(Instant time) {
		Second second = this.latest;
		if (second.epochSecond() != time.getEpochSecond()) {
			String text = Instant.ofEpochSecond(time.getEpochSecond()).toString();
			second = new Second(time.getEpochSecond(), text.substring(0, text.length() - 1));
			this.latest = second;
		}
		String fraction = Integer.toString(MICROS_PER_SECOND + time.getNano() / NANOS_PER_MICRO);
		return second.text() + "." + fraction.substring(1) + "Z";
	}

	/**
	 * A second and its text.
	 *
	 * @param epochSecond the seconds since 1970
	 * @param text the time in UTC without a fraction and without a zone
	 */
	private record Second(long epochSecond, String text) {
	}

}
