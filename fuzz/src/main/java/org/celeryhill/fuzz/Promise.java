package org.celeryhill.fuzz;

import java.util.Locale;
import java.util.function.Supplier;

/**
 * A promise that is fuzzed, with the world that runs and checks it. Immutable and
 * thread-safe.
 */
enum Promise {

	/** Accelerator memory is never overcommitted. */
	MEMORY(MemoryWorld::new),

	/** A non-idempotent call is executed at most once, and "not run" is true. */
	CLAIM(ClaimWorld::new),

	/** Configuration has one winner and never reverts. */
	CONFIGURATION(ConfigurationWorld::new),

	/** One process at a time sees its lease as usable. */
	LEASE(LeaseWorld::new),

	/** A reachable model stays reachable. */
	PLACEMENT(PlacementWorld::new);

	/** Creates the world of one case. */
	private final Supplier<World> factory;

	Promise(Supplier<World> factory) {
		this.factory = factory;
	}

	/**
	 * Returns the source of worlds.
	 * @return the source
	 */
	Supplier<World> factory() {
		return this.factory;
	}

	/**
	 * Returns the name for the command line.
	 * @return the lower-case name
	 */
	String toName() {
		return name().toLowerCase(Locale.ROOT);
	}

}
