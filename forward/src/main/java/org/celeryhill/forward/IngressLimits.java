package org.celeryhill.forward;

import java.time.Duration;
import java.util.Objects;

/**
 * Bounds on what a caller may send. Immutable and thread-safe.
 *
 * @param maxHeaderBytes the longest head of a request
 * @param maxBodyBytes the longest body of a request
 * @param headerTimeout the longest time from the first to the last byte of a head
 * @param idleTimeout the longest time that a connection may stay without a request
 */
public record IngressLimits(int maxHeaderBytes, int maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {

	/**
	 * Limits in force before a configuration is known.
	 */
	public static final IngressLimits DEFAULTS = new IngressLimits(16_384, 4_194_304, Duration.ofSeconds(3),
			Duration.ofSeconds(15));

	/**
	 * Checks the arguments.
	 * @throws IllegalArgumentException if a limit is not positive
	 */
	public IngressLimits {
		Objects.requireNonNull(headerTimeout, "headTimeout");
		Objects.requireNonNull(idleTimeout, "idleTimeout");
		if (maxHeaderBytes < 1 || maxBodyBytes < 1) {
			throw new IllegalArgumentException("limits must be positive");
		}
	}

}
