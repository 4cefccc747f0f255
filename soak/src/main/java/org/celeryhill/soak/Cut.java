package org.celeryhill.soak;

import java.util.Objects;

/**
 * Request whose connection ended without a whole response. Immutable.
 *
 * @param request the record of the request, not null
 * @param daemon the daemon that it was sent to, not null
 * @param sentNanos the time at which it was sent
 * @param endNanos the time at which the connection ended
 * @param isStopping whether the daemon had got SIGTERM
 */
record Cut(RequestRecord request, EdgeProcess daemon, long sentNanos, long endNanos, boolean isStopping) {

	Cut {
		Objects.requireNonNull(request, "request");
		Objects.requireNonNull(daemon, "daemon");
	}

}
