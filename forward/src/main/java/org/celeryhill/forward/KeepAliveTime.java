package org.celeryhill.forward;

import java.util.concurrent.TimeUnit;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;

/**
 * The time for which an idle connection can be reused, as its server announced it. Not
 * thread-safe.
 */
final class KeepAliveTime {

	/** Fraction of the announced keep-alive time for which a connection is reusable. */
	private static final double KEEP_ALIVE_FRACTION = 0.5;

	private static final long DEFAULT_KEEP_ALIVE_NANOS = TimeUnit.SECONDS.toNanos(4);

	private static final String TIMEOUT_PARAMETER = "timeout=";

	private static final int MAX_TIMEOUT_DIGITS = 5;

	private long keepAliveNanos = DEFAULT_KEEP_ALIVE_NANOS;

	private long idleSinceNanos;

	/**
	 * Takes over the timeout that a response announces. Without a valid one the last
	 * remains.
	 * @param head the status line and headers of the response, not null
	 */
	void update(HttpResponse head) {
		String value = head.headers().get(HttpHeaderNames.KEEP_ALIVE);
		int timeoutIndex = (value != null) ? value.indexOf(TIMEOUT_PARAMETER) : -1;
		if (timeoutIndex < 0) {
			return;
		}
		String digits = value.substring(timeoutIndex + TIMEOUT_PARAMETER.length()).split("[^0-9]", 2)[0];
		if (!digits.isEmpty() && digits.length() <= MAX_TIMEOUT_DIGITS) {
			this.keepAliveNanos = (long) (KEEP_ALIVE_FRACTION * TimeUnit.SECONDS.toNanos(Long.parseLong(digits)));
		}
	}

	/**
	 * Marks the connection as idle from now on.
	 */
	void startIdle() {
		this.idleSinceNanos = System.nanoTime();
	}

	/**
	 * Returns whether the connection has not been idle for too long.
	 * @param now the current time of {@link System#nanoTime()}
	 * @param maxIdleNanos the longest time that it may have been idle, even if the server
	 * keeps it longer
	 * @return whether the server still keeps the connection
	 */
	boolean isReusable(long now, long maxIdleNanos) {
		long idleNanos = now - this.idleSinceNanos;
		return idleNanos < this.keepAliveNanos && idleNanos < maxIdleNanos;
	}

}
