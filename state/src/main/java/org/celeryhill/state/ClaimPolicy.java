package org.celeryhill.state;

import java.time.Duration;
import java.util.Objects;

/**
 * Timeout and retention of idempotency claims. Immutable and thread-safe.
 *
 * @param timeout how long other callers wait for a running claim that does not change
 * before its outcome is reported as unknown, not null
 * @param epochPeriod the minimum time between two increments of the claim epoch, not null
 * @param retainedEpochs the minimum number of epochs for which a claim is retained, at
 * least 2
 */
public record ClaimPolicy(Duration timeout, Duration epochPeriod, int retainedEpochs) {

	/** Default policy: claims time out after 60 s and are retained for at least 24 h. */
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
