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

	private String[] ids = new String[4];

	private int count;

	/**
	 * Adds the id of a request.
	 * @param id the id, not null
	 */
	void add(String id) {
		if (this.count >= this.ids.length && this.ids.length < CAPACITY) {
			this.ids = Arrays.copyOf(this.ids, Math.min(CAPACITY, this.ids.length * 2));
		}
		this.ids[this.count % this.ids.length] = id;
		this.count++;
	}

	/**
	 * Returns whether one of the kept ids is the given one.
	 * @param id the id, not null
	 * @return whether it is kept
	 */
	boolean contains(String id) {
		int kept = Math.min(this.count, this.ids.length);
		for (int i = 0; i < kept; i++) {
			if (this.ids[i].equals(id)) {
				return true;
			}
		}
		return false;
	}

}
