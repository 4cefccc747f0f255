package org.celeryhill.entry;

import java.nio.charset.StandardCharsets;

import org.apache.commons.codec.digest.MurmurHash3;

/**
 * The system that serves a request while both run. Immutable and thread-safe.
 */
enum ServingSystem {

	/** This system. */
	NEW,

	/** The legacy serving system. */
	LEGACY;

	/** Parts in which the split is decided. */
	private static final int BUCKETS = 100;

	/**
	 * Returns the system for a request or idempotency key. The same text always falls
	 * into the same bucket, so raising the percentage never moves a text back to the
	 * legacy system.
	 * @param text the request id or organisation and key, not null
	 * @param newSystemPercent the part that this system serves, from 0 to 100
	 * @return the system, never null
	 */
	static ServingSystem choose(String text, int newSystemPercent) {
		byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
		int hash = MurmurHash3.hash32x86(bytes, 0, bytes.length, 0);
		return (Integer.remainderUnsigned(hash, BUCKETS) < newSystemPercent) ? NEW : LEGACY;
	}

}
