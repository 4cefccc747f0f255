package org.celeryhill.forward;

import java.util.Arrays;

/**
 * The ids of the latest requests that a connection has carried. Not thread-safe.
 */
final class CarriedIds {

	/**
	 * Number of ids that are kept. A server that still sends a response after that many
	 * others would have sent it in place of one of theirs.
	 */
	private static final int CAPACITY = 64;

	private static final long HASH_SEED = 0xcbf29ce484222325L;

	private static final long HASH_PRIME = 0x100000001b3L;

	/** Hashes, since callers choose how long their ids are. */
	private long[] hashes = new long[4];

	private int count;

	/**
	 * Adds the id of a request.
	 * @param id the id, not null
	 */
	void add(String id) {
		if (this.count >= this.hashes.length && this.hashes.length < CAPACITY) {
			this.hashes = Arrays.copyOf(this.hashes, Math.min(CAPACITY, this.hashes.length * 2));
		}
		this.hashes[this.count % this.hashes.length] = hash(id);
		this.count++;
	}

	/**
	 * Returns whether one of the kept ids is the given one.
	 * @param id the id, not null
	 * @return whether it is kept
	 */
	boolean contains(String id) {
		long hash = hash(id);
		int kept = Math.min(this.count, this.hashes.length);
		for (int i = 0; i < kept; i++) {
			if (this.hashes[i] == hash) {
				return true;
			}
		}
		return false;
	}

	// FNV-1a, 64 bits.
	private static long hash(String id) {
		long hash = HASH_SEED;
		for (int i = 0; i < id.length(); i++) {
			hash = (hash ^ id.charAt(i)) * HASH_PRIME;
		}
		return hash;
	}

}
