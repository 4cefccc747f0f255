package org.celeryhill.forward;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import org.celeryhill.traffic.RequestBounds;

/**
 * Recognises callers that come back after a refusal by the time that they have left: it
 * is shorter than that of first requests on the same route. Bounded; must be used on the
 * event loop.
 */
final class CallerPatience {

	/** Part of its time that a caller waits at most after a refusal, as a divisor. */
	private static final int LONGEST_WAIT_DIVISOR = 3;

	/**
	 * Part of the longest time that a caller lacks at least if it has waited after a
	 * refusal, in percent. The times of first requests on one route differ by less.
	 */
	private static final int MIN_LACK_PERCENT = 20;

	/**
	 * Part of the longest time that a caller lacks if it has waited as long as any caller
	 * does, in percent, so that it was told a longer time.
	 */
	private static final int LONGEST_LACK_PERCENT = 36;

	private static final int MAX_ROUTES = 1024;

	private final Map<String, Duration> longestTimes = new HashMap<>();

	/**
	 * Records the time that a caller has left and returns whether it has been refused
	 * before.
	 * @param route the name of the route
	 * @param timeLeft the time until the caller gives up
	 * @return whether it comes for the first time; early if it has waited as long as
	 * callers do that were told a longer time
	 */
	RequestBounds.Arrival classify(String route, Duration timeLeft) {
		if (this.longestTimes.size() >= MAX_ROUTES) {
			this.longestTimes.clear();
		}
		Duration longest = this.longestTimes.merge(route, timeLeft,
				(known, next) -> (known.compareTo(next) >= 0) ? known : next);
		long lackPercent = 100 * longest.minus(timeLeft).toMillis() / Math.max(1, longest.toMillis());
		if (lackPercent < MIN_LACK_PERCENT) {
			return RequestBounds.Arrival.FIRST;
		}
		return (lackPercent < LONGEST_LACK_PERCENT) ? RequestBounds.Arrival.RETURN_AS_TOLD
				: RequestBounds.Arrival.EARLY_RETURN;
	}

	/**
	 * Returns the longest Retry-After that a caller follows.
	 * @param timeLeft the time until the caller gives up
	 * @return a third of the time
	 */
	static Duration longestReturn(Duration timeLeft) {
		return timeLeft.dividedBy(LONGEST_WAIT_DIVISOR);
	}

}
