package org.celeryhill.entry;

import java.time.Duration;
import java.util.Objects;

/**
 * Limits of the callers' API. Immutable and thread-safe.
 *
 * @param maxBodyBytes the longest body, in bytes
 * @param maxHeldBytes the most bytes of the bodies of all open requests
 * @param maxHeaderBytes the longest request head, in bytes
 * @param bodyTimeout the longest time for receiving a body, not null
 * @param idleTimeout the time after which a connection without traffic is closed, not
 * null
 * @param maxRequests the most requests at once
 * @param maxPendingBytes the most bytes of a stream that may wait for a slow caller
 */
record ApiLimits(int maxBodyBytes, long maxHeldBytes, int maxHeaderBytes, Duration bodyTimeout, Duration idleTimeout,
		int maxRequests, int maxPendingBytes) {

	ApiLimits {
		Objects.requireNonNull(bodyTimeout, "bodyTimeout");
		Objects.requireNonNull(idleTimeout, "idleTimeout");
	}

}
