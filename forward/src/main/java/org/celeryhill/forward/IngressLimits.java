package org.celeryhill.forward;

import java.time.Duration;
import java.util.Objects;

/**
 * Limits on the requests and connections of callers. Immutable and thread-safe.
 *
 * @param maxHeaderBytes the largest size of the headers of a request, positive
 * @param maxBodyBytes the largest size of the body of a request, positive
 * @param headerTimeout the longest time from the first to the last byte of the headers,
 * not null
 * @param idleTimeout the longest time that a connection may stay open without a request,
 * not null
 */
public record IngressLimits(int maxHeaderBytes, int maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {

	/**
	 * Limits that apply before the first configuration is received.
	 */
	public static final IngressLimits DEFAULTS = new IngressLimits(16_384, 4_194_304, Duration.ofSeconds(3),
			Duration.ofSeconds(15));

	/**
	 * Creates limits.
	 * @throws IllegalArgumentException if a size limit is not positive
	 */
	public IngressLimits {
		Objects.requireNonNull(headerTimeout, "headerTimeout");
		Objects.requireNonNull(idleTimeout, "idleTimeout");
		if (maxHeaderBytes < 1 || maxBodyBytes < 1) {
			throw new IllegalArgumentException("maxHeaderBytes and maxBodyBytes must be positive");
		}
	}

}
