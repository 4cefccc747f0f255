package org.celeryhill.measure.oddserver;

import java.time.Duration;
import java.util.List;
import java.util.Objects;

/**
 * Settings of a load profile. Shares are in 100.
 *
 * @param seed the seed of the servers' decisions
 * @param duration the length of the run of one share, not null
 * @param servers the number of backend servers
 * @param oddServers the number of them that answer oddly
 * @param slots the number of requests that a server takes at once
 * @param callers the number of callers
 * @param thinkTime the time from an answer to the next request of a caller, not null
 * @param workTime the mean time that a server works on a request, not null
 * @param bodyBytes the size of the body of a request
 * @param kinds the kinds of odd answers, not null
 * @param failShare the share of requests that run and fail
 * @param refuseShare the share of requests that are refused
 * @param resetShare the share of requests whose connection is reset
 * @param suspicionTime the time without requests that the host gives a server after one
 * failure, not null; it doubles with each further one
 * @param slowStartTime the time over which the host raises the limit of such a server
 * back to its full value, not null
 */
record LoadProfile(long seed, Duration duration, int servers, int oddServers, int slots, int callers,
		Duration thinkTime, Duration workTime, int bodyBytes, List<Oddity> kinds, double failShare, double refuseShare,
		double resetShare, Duration suspicionTime, Duration slowStartTime) {

	/**
	 * Creates a profile with a copy of the kinds.
	 */
	LoadProfile {
		Objects.requireNonNull(duration, "duration");
		Objects.requireNonNull(thinkTime, "thinkTime");
		Objects.requireNonNull(workTime, "workTime");
		Objects.requireNonNull(suspicionTime, "suspicionTime");
		Objects.requireNonNull(slowStartTime, "slowStartTime");
		kinds = List.copyOf(kinds);
	}

	LoadProfile withSeed(long newSeed) {
		return new LoadProfile(newSeed, this.duration, this.servers, this.oddServers, this.slots, this.callers,
				this.thinkTime, this.workTime, this.bodyBytes, this.kinds, this.failShare, this.refuseShare,
				this.resetShare, this.suspicionTime, this.slowStartTime);
	}

	LoadProfile withDuration(Duration newDuration) {
		return new LoadProfile(this.seed, newDuration, this.servers, this.oddServers, this.slots, this.callers,
				this.thinkTime, this.workTime, this.bodyBytes, this.kinds, this.failShare, this.refuseShare,
				this.resetShare, this.suspicionTime, this.slowStartTime);
	}

}
