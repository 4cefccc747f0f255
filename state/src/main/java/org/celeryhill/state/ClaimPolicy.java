package org.celeryhill.state;

import java.time.Duration;
import java.util.Objects;

/**
 * Times of claims. Immutable and thread-safe.
 *
 * @param timeout how long an unchanged running claim is waited for before it is answered
 * as unknown, not null
 * @param epochPeriod the shortest time between two claim epochs, not null
 * @param retainedEpochs the epochs for which a claim is kept at least, at least 2
 */
public record ClaimPolicy(Duration timeout, Duration epochPeriod, int retainedEpochs) {

	/** Claims time out after 60 s and are kept for at least 24 h. */
	public static final ClaimPolicy DEFAULT = new ClaimPolicy(Duration.ofSeconds(60), Duration.ofHours(1), 26);

	/**
	 * Creates a policy.
	 * @throws IllegalArgumentException if fewer than 2 epochs are retained
	 */
	public ClaimPolicy {
		Objects.requireNonNull(timeout, "timeout");
		Objects.requireNonNull(epochPeriod, "epochPeriod");
		if (retainedEpochs < 2) {
			throw new IllegalArgumentException("retainedEpochs must be at least 2: " + retainedEpochs);
		}
	}

}
