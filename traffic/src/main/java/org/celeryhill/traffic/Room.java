package org.celeryhill.traffic;

import org.celeryhill.base.PriorityClass;

/**
 * Part of an engine's limit that a request may fill, most first. The limits are divided
 * among the daemons, so a request that goes before all others must not depend on one of
 * the few attempts of its own daemon to end. Immutable and thread-safe.
 */
enum Room {

	/** Urgent requests within their organisation's weight may exceed the limit. */
	FIRST(1.25),

	/** Urgent requests beyond the weight, and whoever is below its share. */
	FULL(1),

	/** Normal requests in their turn. */
	NORMAL(0.9),

	/** Batch requests in their turn. */
	BATCH(0.8);

	/** Part of the limit while urgent requests are common. */
	private final double part;

	Room(double part) {
		this.part = part;
	}

	/**
	 * Returns the part of the limit.
	 * @param urgency how common urgent requests are, from 0 to 1
	 * @return the part, 1 without urgent requests
	 */
	double part(double urgency) {
		return 1 + (this.part - 1) * urgency;
	}

	/**
	 * Returns the room of a request that is neither first nor below its share.
	 * @param priority the class
	 * @return the room
	 */
	static Room of(PriorityClass priority) {
		return switch (priority) {
			case URGENT -> FULL;
			case NORMAL -> NORMAL;
			case BATCH -> BATCH;
		};
	}

}
