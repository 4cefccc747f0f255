package org.celeryhill.base;

import java.time.Duration;
import java.util.Objects;

/**
 * Decides whether the regular end of a connection is the end of a response without
 * length. The system of a server that crashes may end its connection regularly as well,
 * and resets it when further bytes of the request arrive. The end counts if the request
 * has been delivered for a round trip, or if no reset has arrived in time. Does no I/O;
 * not thread-safe.
 */
public final class ConnectionEnd {

	/** Time between two looks at the state of the connection. */
	public static final Duration LOOK_PERIOD = Duration.ofMillis(1);

	/** Round-trip time between the zones of a region. */
	public static final Duration MIN_ROUND_TRIP = Duration.ofMillis(2);

	/**
	 * Time after the end in which a reset can arrive while bytes of the request are on
	 * their way. It covers a server that closes its connection in two steps.
	 */
	private static final Duration MIN_RESET_WAIT = Duration.ofMillis(20);

	private final long startNanos;

	private final long roundTripNanos;

	private final long resetWaitNanos;

	private long deliveredSinceNanos;

	private ConnectionEnd(long startNanos, long roundTripNanos, long deliveredSinceNanos) {
		this.startNanos = startNanos;
		this.roundTripNanos = roundTripNanos;
		this.resetWaitNanos = Math.max(MIN_RESET_WAIT.toNanos(), 2 * roundTripNanos);
		this.deliveredSinceNanos = deliveredSinceNanos;
	}

	/**
	 * Returns the decision on a connection that has just ended.
	 * @param nowNanos the time on a monotonic clock in nanoseconds
	 * @param roundTrip the round-trip time of the connection, not null, not negative
	 * @return the decision, never null
	 */
	public static ConnectionEnd at(long nowNanos, Duration roundTrip) {
		Objects.requireNonNull(roundTrip, "roundTrip");
		return new ConnectionEnd(nowNanos, roundTrip.toNanos(), nowNanos);
	}

	/**
	 * Returns the decision on a connection that has just ended and whose request was sent
	 * at once, a round trip ago or earlier. It has arrived, unless the system still holds
	 * a part of it. A server that has not read it resets the connection right behind the
	 * end, so that a second look is needed.
	 * @param nowNanos the time on a monotonic clock in nanoseconds
	 * @param roundTrip the round-trip time of the connection, not null, not negative
	 * @return the decision, never null
	 */
	public static ConnectionEnd afterArrival(long nowNanos, Duration roundTrip) {
		Objects.requireNonNull(roundTrip, "roundTrip");
		long deliveredSinceNanos = nowNanos - roundTrip.toNanos() + LOOK_PERIOD.toNanos();
		return new ConnectionEnd(nowNanos, roundTrip.toNanos(), deliveredSinceNanos);
	}

	/**
	 * Judges the end by a look at the state of the connection.
	 * @param state the state of what was written, not null
	 * @param nowNanos the time of the look in nanoseconds
	 * @return the verdict, never null
	 */
	public Verdict judge(SendState state, long nowNanos) {
		if (state == SendState.RESET) {
			return Verdict.RESET;
		}
		if (state == SendState.PENDING) {
			this.deliveredSinceNanos = nowNanos;
		}
		boolean isDelivered = state == SendState.DELIVERED
				&& nowNanos - this.deliveredSinceNanos >= this.roundTripNanos;
		boolean isWaitOver = nowNanos - this.startNanos >= this.resetWaitNanos;
		return (isDelivered || isWaitOver) ? Verdict.REGULAR : Verdict.UNDECIDED;
	}

	/**
	 * What is known of the end of a connection.
	 */
	public enum Verdict {

		/** It is the end of the response. */
		REGULAR,

		/** The connection was reset, so that the response is not whole. */
		RESET,

		/** A reset can still arrive; another look is needed. */
		UNDECIDED

	}

}
