package org.celeryhill.config;

import java.time.Duration;
import java.util.Objects;

/**
 * Latency targets, value and scheduling weight of one priority class of a template.
 * Immutable and thread-safe.
 *
 * @param firstToken the target for the time to the first token, for plain services the
 * time to the response, not null, positive
 * @param betweenTokens the target for the time between two tokens, not null, positive
 * @param deadline the time after which a request that has not started is refused, not
 * null, positive
 * @param value the value of a request that meets its targets, positive
 * @param weight the scheduling weight relative to the other classes, positive
 * @param floor the part of the organisation's capacity that is reserved for the class
 * when more urgent classes are overloaded, from 0 to 1
 */
public record ClassTarget(Duration firstToken, Duration betweenTokens, Duration deadline, double value, double weight,
		double floor) {

	/**
	 * Creates a target.
	 * @throws IllegalArgumentException if a value is out of its range
	 */
	public ClassTarget {
		Objects.requireNonNull(firstToken, "firstToken");
		Objects.requireNonNull(betweenTokens, "betweenTokens");
		Objects.requireNonNull(deadline, "deadline");
		if (firstToken.isNegative() || firstToken.isZero() || betweenTokens.isNegative() || betweenTokens.isZero()
				|| deadline.isNegative() || deadline.isZero()) {
			throw new IllegalArgumentException("durations of a class target must be positive");
		}
		if (!(value > 0) || !(weight > 0) || !(floor >= 0 && floor <= 1)) {
			throw new IllegalArgumentException("value and weight must be positive and floor between 0 and 1");
		}
	}

}
