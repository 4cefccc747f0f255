package org.celeryhill.traffic;

import java.time.Duration;
import java.util.Objects;

/**
 * Parameters of admission, routing and retries that a deployment may set. Immutable and
 * thread-safe.
 *
 * @param subsetSize the largest number of backend servers of one model that one daemon
 * uses, at least 2
 * @param queueLimit the largest number of requests that may wait for one organisation and
 * priority class, at least 1
 * @param hedgeFraction the hedges allowed per urgent request, from 0 to 1
 * @param retryFraction the retries allowed per first attempt, from 0 to 1
 * @param sharedRetryBurst the retries beyond that fraction that all daemons together may
 * send in one burst, zero if each daemon has a burst of its own
 * @param maxPeerAge the age after which the usage totals of another daemon are ignored,
 * not null, positive
 * @param suspectDuration the time for which a backend server receives no requests after a
 * failure, not null, positive; it doubles with each further failure, at most 4 times
 * @param slowStartDuration the time over which the limit of a recovered backend server
 * grows back to its full value, not null, positive
 * @param adapterLoadTime the expected time to load an adapter, not null, positive
 * @param maxFirstTokenWait the time from a send to the first token above which fewer
 * prompts are sent to an engine, not null, zero for no limit
 * @param decisionLogSize the number of decisions kept for explanations, at least 1
 * @param sharesByNeed whether room is shared by estimated engine time and by the usual
 * demand of the organisations, rather than by tokens and configured weights alone
 * @param paceScope the backend servers whose stated pace takes part in the choice, not
 * null
 */
public record TrafficTunables(int subsetSize, int queueLimit, double hedgeFraction, double retryFraction,
		double sharedRetryBurst, Duration maxPeerAge, Duration suspectDuration, Duration slowStartDuration,
		Duration adapterLoadTime, Duration maxFirstTokenWait, int decisionLogSize, boolean sharesByNeed,
		PaceScope paceScope) {

	/** Values used unless a deployment sets others. */
	public static final TrafficTunables DEFAULTS = new TrafficTunables(24, 4000, 0.02, 0.1, 0, Duration.ofSeconds(10),
			Duration.ofSeconds(2), Duration.ofSeconds(10), Duration.ofMillis(10), Duration.ZERO, 4096, false,
			PaceScope.ALL_SERVERS);

	/**
	 * Creates tunables.
	 * @throws IllegalArgumentException if a value is out of its range
	 */
	public TrafficTunables {
		Objects.requireNonNull(paceScope, "paceScope");
		Objects.requireNonNull(maxPeerAge, "maxPeerAge");
		Objects.requireNonNull(suspectDuration, "suspectDuration");
		Objects.requireNonNull(slowStartDuration, "slowStartDuration");
		Objects.requireNonNull(adapterLoadTime, "adapterLoadTime");
		Objects.requireNonNull(maxFirstTokenWait, "maxFirstTokenWait");
		if (subsetSize < 2 || queueLimit < 1 || decisionLogSize < 1) {
			throw new IllegalArgumentException(
					"subsetSize must be at least 2, queueLimit and decisionLogSize at least 1");
		}
		if (!(hedgeFraction >= 0 && hedgeFraction <= 1) || !(retryFraction >= 0 && retryFraction <= 1)) {
			throw new IllegalArgumentException("hedgeFraction and retryFraction must be from 0 to 1");
		}
		if (!(sharedRetryBurst >= 0)) {
			throw new IllegalArgumentException("sharedRetryBurst must not be negative");
		}
		if (!isPositive(maxPeerAge) || !isPositive(suspectDuration) || !isPositive(slowStartDuration)
				|| !isPositive(adapterLoadTime)) {
			throw new IllegalArgumentException(
					"maxPeerAge, suspectDuration, slowStartDuration and adapterLoadTime must be positive");
		}
	}

	private static boolean isPositive(Duration duration) {
		return !duration.isNegative() && !duration.isZero();
	}

	/**
	 * Returns a copy with another queue limit.
	 * @param limit the largest number of requests that may wait for one organisation and
	 * priority class, at least 1
	 * @return the copy, never null
	 */
	public TrafficTunables withQueueLimit(int limit) {
		return new TrafficTunables(this.subsetSize, limit, this.hedgeFraction, this.retryFraction,
				this.sharedRetryBurst, this.maxPeerAge, this.suspectDuration, this.slowStartDuration,
				this.adapterLoadTime, this.maxFirstTokenWait, this.decisionLogSize, this.sharesByNeed, this.paceScope);
	}

	/**
	 * Returns a copy with another fraction of hedges.
	 * @param fraction the hedges allowed per urgent request, from 0 to 1
	 * @return the copy, never null
	 */
	public TrafficTunables withHedgeFraction(double fraction) {
		return new TrafficTunables(this.subsetSize, this.queueLimit, fraction, this.retryFraction,
				this.sharedRetryBurst, this.maxPeerAge, this.suspectDuration, this.slowStartDuration,
				this.adapterLoadTime, this.maxFirstTokenWait, this.decisionLogSize, this.sharesByNeed, this.paceScope);
	}

	/**
	 * Returns a copy with another budget of retries that all daemons share.
	 * @param burst the retries beyond the fraction that they may send in one burst
	 * @return the copy, never null
	 */
	public TrafficTunables withSharedRetryBurst(double burst) {
		return new TrafficTunables(this.subsetSize, this.queueLimit, this.hedgeFraction, this.retryFraction, burst,
				this.maxPeerAge, this.suspectDuration, this.slowStartDuration, this.adapterLoadTime,
				this.maxFirstTokenWait, this.decisionLogSize, this.sharesByNeed, this.paceScope);
	}

	/**
	 * Returns a copy with another limit on the wait for the first token.
	 * @param wait the time from a send to the first token above which fewer prompts are
	 * sent to an engine, not null, zero for no limit
	 * @return the copy, never null
	 */
	public TrafficTunables withMaxFirstTokenWait(Duration wait) {
		return new TrafficTunables(this.subsetSize, this.queueLimit, this.hedgeFraction, this.retryFraction,
				this.sharedRetryBurst, this.maxPeerAge, this.suspectDuration, this.slowStartDuration,
				this.adapterLoadTime, wait, this.decisionLogSize, this.sharesByNeed, this.paceScope);
	}

	/**
	 * Returns a copy that shares room by need.
	 * @return the copy, never null
	 */
	public TrafficTunables withSharingByNeed() {
		return new TrafficTunables(this.subsetSize, this.queueLimit, this.hedgeFraction, this.retryFraction,
				this.sharedRetryBurst, this.maxPeerAge, this.suspectDuration, this.slowStartDuration,
				this.adapterLoadTime, this.maxFirstTokenWait, this.decisionLogSize, true, this.paceScope);
	}

}
