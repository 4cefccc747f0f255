package org.celeryhill.entry;

import java.nio.charset.StandardCharsets;

import org.apache.commons.codec.digest.MurmurHash3;
import org.celeryhill.state.ServingSystem;

/**
 * Chooses the serving system of a request while the legacy and the new system run side by
 * side.
 */
final class TrafficSplit {

	/** Number of hash buckets, one for each percent. */
	private static final int BUCKETS = 100;

	private TrafficSplit() {
	}

	/**
	 * Returns the system for a request or idempotency key. A text is always hashed to the
	 * same bucket, so raising the percentage never moves it back to the legacy system.
	 * @param text the request id, or the organisation and the key, not null
	 * @param newSystemPercent the percentage that the new system serves, from 0 to 100
	 * @return the system, never null
	 */
	static ServingSystem choose(String text, int newSystemPercent) {
		byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
		int hash = MurmurHash3.hash32x86(bytes, 0, bytes.length, 0);
		boolean isNew = Integer.remainderUnsigned(hash, BUCKETS) < newSystemPercent;
		return isNew ? ServingSystem.NEW : ServingSystem.LEGACY;
	}

}
