package org.celeryhill.traffic;

import java.time.Duration;
import java.util.Objects;

/**
 * Constants of the traffic decisions that a deployment may set. Immutable and
 * thread-safe.
 *
 * @param subsetSize the backend servers of one model that one daemon uses, at least 2
 * @param queueLimit the requests that may wait for one organisation and class, at least 1
 * @param hedgeFraction the hedges allowed per urgent request, from 0 to 1
 * @param retryFraction the retries allowed per first attempt, from 0 to 1
 * @param maxPeerAge the age after which a peer's totals are ignored, not null, positive
 * @param suspectDuration the time for which a failed backend server gets nothing, not null,
 * positive
 * @param slowStartDuration the time over which a recovered backend server returns to its full
 * limit, not null, positive
 * @param adapterLoadTime the expected time to load an adapter, not null, positive
 * @param maxFirstTokenWait the time from a send to the first token that an engine's queue is
 * kept to, not null, zero for no limit
 * @param decisionLogSize the decisions kept for explanations, at least 1
 */
public record TrafficTunables(int subsetSize, int queueLimit, double hedgeFraction, double retryFraction,
		Duration maxPeerAge, Duration suspectDuration, Duration slowStartDuration, Duration adapterLoadTime, Duration maxFirstTokenWait,
		int decisionLogSize) {

	/** The values used unless a deployment sets others. */
	public static final TrafficTunables DEFAULTS = new TrafficTunables(24, 4000, 0.02, 0.1, Duration.ofSeconds(10),
			Duration.ofSeconds(2), Duration.ofSeconds(10), Duration.ofMillis(10), Duration.ZERO, 4096);

	/**
	 * Creates tunables.
	 * @throws IllegalArgumentException if a figure is out of its range
	 */
	public TrafficTunables {
		Objects.requireNonNull(maxPeerAge, "peerAge");
		Objects.requireNonNull(suspectDuration, "suspicion");
		Objects.requireNonNull(slowStartDuration, "slowStart");
		Objects.requireNonNull(adapterLoadTime, "adapterLoad");
		Objects.requireNonNull(maxFirstTokenWait, "firstTokenWait");
		if (subsetSize < 2 || queueLimit < 1 || decisionLogSize < 1) {
			throw new IllegalArgumentException("sizes of traffic tunables out of range");
		}
		if (!(hedgeFraction >= 0 && hedgeFraction <= 1) || !(retryFraction >= 0 && retryFraction <= 1)) {
			throw new IllegalArgumentException("fractions of traffic tunables must be within 0 and 1");
		}
		if (!isPositive(maxPeerAge) || !isPositive(suspectDuration) || !isPositive(slowStartDuration) || !isPositive(adapterLoadTime)) {
			throw new IllegalArgumentException("durations of traffic tunables must be positive");
		}
	}

	private static boolean isPositive(Duration duration) {
		return !duration.isNegative() && !duration.isZero();
	}

	/**
	 * Returns a copy with another queue limit.
	 * @param limit the requests that may wait for one organisation and class, at least 1
	 * @return the copy, never null
	 */
	public TrafficTunables withQueueLimit(int limit) {
		return new TrafficTunables(this.subsetSize, limit, this.hedgeFraction, this.retryFraction, this.maxPeerAge,
				this.suspectDuration, this.slowStartDuration, this.adapterLoadTime, this.maxFirstTokenWait, this.decisionLogSize);
	}

	/**
	 * Returns a copy with another fraction of hedges.
	 * @param fraction the hedges allowed per urgent request, from 0 to 1
	 * @return the copy, never null
	 */
	public TrafficTunables withHedgeFraction(double fraction) {
		return new TrafficTunables(this.subsetSize, this.queueLimit, fraction, this.retryFraction, this.maxPeerAge,
				this.suspectDuration, this.slowStartDuration, this.adapterLoadTime, this.maxFirstTokenWait, this.decisionLogSize);
	}

	/**
	 * Returns a copy with another limit on the queue of an engine.
	 * @param wait the time from a send to the first token, not null, zero for no limit
	 * @return the copy, never null
	 */
	public TrafficTunables withMaxFirstTokenWait(Duration wait) {
		return new TrafficTunables(this.subsetSize, this.queueLimit, this.hedgeFraction, this.retryFraction,
				this.maxPeerAge, this.suspectDuration, this.slowStartDuration, this.adapterLoadTime, wait, this.decisionLogSize);
	}

}
