package org.celeryhill.entry;

import java.time.Duration;
import java.util.Objects;

/**
 * Limits of the callers' API. Immutable and thread-safe.
 *
 * @param maxBodyBytes the maximum length of a request body, in bytes
 * @param maxHeldBytes the maximum number of bytes held for the bodies of all open
 * requests
 * @param maxHeaderBytes the maximum length of path and headers, in bytes
 * @param bodyTimeout the maximum time for receiving a body, not null
 * @param idleTimeout the time after which a connection without traffic is closed, not
 * null
 * @param maxRequests the maximum number of open requests
 * @param maxPendingBytes the maximum number of bytes of a stream that are queued for a
 * slow caller
 */
record ApiLimits(int maxBodyBytes, long maxHeldBytes, int maxHeaderBytes, Duration bodyTimeout, Duration idleTimeout,
		int maxRequests, int maxPendingBytes) {

	ApiLimits {
		Objects.requireNonNull(bodyTimeout, "bodyTimeout");
		Objects.requireNonNull(idleTimeout, "idleTimeout");
	}

}
