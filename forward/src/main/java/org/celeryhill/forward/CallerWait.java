package org.celeryhill.forward;

import java.time.Duration;

/**
 * What a connection waits for its caller to do, with the longest time for it. A wait
 * starts once and is not extended by bytes that do not end it.
 */
enum CallerWait {

	/** For the first byte of a request. */
	REQUEST {
		@Override
		Duration timeout(IngressLimits limits) {
			return limits.idleTimeout();
		}
	},

	/** For the last byte of a head, from its first byte on. */
	HEAD {
		@Override
		Duration timeout(IngressLimits limits) {
			return limits.headerTimeout();
		}
	},

	/** For the last byte of a body, from the end of the head on. */
	BODY {
		@Override
		Duration timeout(IngressLimits limits) {
			return limits.idleTimeout().plus(BODY_SLACK);
		}
	},

	/** That it takes some of a response, or the last part of it. */
	RESPONSE_TAKEN {
		@Override
		Duration timeout(IngressLimits limits) {
			return limits.idleTimeout();
		}
	},

	/** For nothing, as its request is being handled. */
	NOTHING {
		@Override
		Duration timeout(IngressLimits limits) {
			return NO_TIMEOUT;
		}
	};

	/** Time added to the idle timeout for a request whose body is incomplete. */
	private static final Duration BODY_SLACK = Duration.ofMillis(500);

	private static final Duration NO_TIMEOUT = Duration.ofNanos(Long.MAX_VALUE);

	abstract Duration timeout(IngressLimits limits);

	boolean isTooLong(long nanos, IngressLimits limits) {
		return nanos > timeout(limits).toNanos();
	}

}
