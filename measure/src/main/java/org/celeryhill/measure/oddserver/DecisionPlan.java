package org.celeryhill.measure.oddserver;

import java.time.Duration;
import java.util.Optional;
import java.util.SplittableRandom;

/**
 * Decides what one backend server does with each of its requests. A decision depends on
 * the seed, the server and the number of the request only. The odd requests of a lower
 * share are odd with a higher share too.
 *
 * @param profile the settings of the run, not null
 * @param server the number of the server, from 0
 * @param oddShare the share of odd answers in 100 of a server that answers oddly
 */
record DecisionPlan(LoadProfile profile, int server, double oddShare) {

	private static final int PERCENT = 100;

	private static final double MAX_REPEAT_DELAY_MS = 20;

	/**
	 * Returns the decision for a request.
	 * @param number the number of the request at this server, from 0
	 * @return the decision
	 */
	Decision decide(long number) {
		SplittableRandom server = new SplittableRandom(this.profile.seed() * 1_000_003 + this.server);
		SplittableRandom random = new SplittableRandom(server.nextLong() ^ (number * 0x9E3779B97F4A7C15L));
		Outcome outcome = outcome(random.nextDouble() * PERCENT);
		boolean isOdd = random.nextDouble() * PERCENT < this.oddShare;
		Oddity oddity = this.profile.kinds().get(random.nextInt(this.profile.kinds().size()));
		boolean isOddServer = this.server < this.profile.oddServers();
		double fraction = random.nextDouble();
		Duration work = multiply(this.profile.workTime(), 0.5 + random.nextDouble());
		Duration repeatDelay = Duration.ofNanos((long) (random.nextDouble() * MAX_REPEAT_DELAY_MS * 1e6));
		return new Decision(outcome, (isOdd && isOddServer) ? Optional.of(oddity) : Optional.empty(), fraction, work,
				repeatDelay);
	}

	private Outcome outcome(double draw) {
		double failEnd = this.profile.failShare();
		double refuseEnd = failEnd + this.profile.refuseShare();
		double resetEnd = refuseEnd + this.profile.resetShare();
		if (draw < failEnd) {
			return Outcome.FAILURE;
		}
		if (draw < refuseEnd) {
			return Outcome.REFUSAL;
		}
		return (draw < resetEnd) ? Outcome.RESET : Outcome.SUCCESS;
	}

	private static Duration multiply(Duration duration, double factor) {
		return Duration.ofNanos((long) (duration.toNanos() * factor));
	}

}
