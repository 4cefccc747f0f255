package org.celeryhill.entry;

import java.nio.charset.StandardCharsets;

import org.apache.commons.codec.digest.MurmurHash3;
import org.celeryhill.state.ServingSystem;

/**
 * Chooses the system that serves a request while both run.
 */
final class TrafficSplit {

	/** Parts in which the split is decided. */
	private static final int BUCKETS = 100;

	private TrafficSplit() {
	}

	/**
	 * Returns the system for a request or idempotency key. The same text always falls
	 * into the same bucket, so raising the percentage never moves a text back to the
	 * legacy system.
	 * @param text the request id, or the organisation and the key, not null
	 * @param newSystemPercent the part that this system serves, from 0 to 100
	 * @return the system, never null
	 */
	static ServingSystem choose(String text, int newSystemPercent) {
		byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
		int hash = MurmurHash3.hash32x86(bytes, 0, bytes.length, 0);
		boolean isNew = Integer.remainderUnsigned(hash, BUCKETS) < newSystemPercent;
		return isNew ? ServingSystem.NEW : ServingSystem.LEGACY;
	}

}
