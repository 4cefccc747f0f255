package org.celeryhill.fuzz;

import java.util.Locale;
import java.util.function.Supplier;

/**
 * A safety guarantee of the system that is fuzzed, with the simulation that exercises and
 * checks it. Immutable and thread-safe.
 */
enum Promise {

	/** The memory of an engine is never overcommitted. */
	MEMORY(MemorySimulation::new),

	/** A non-idempotent call runs at most once, and never if reported as not run. */
	CLAIM(ClaimSimulation::new),

	/** Only one of several conflicting revisions is accepted, and none is reverted. */
	CONFIGURATION(ConfigurationSimulation::new),

	/** At most one process at a time considers its lease usable. */
	LEASE(LeaseSimulation::new),

	/** A reachable model stays reachable while models are moved. */
	PLACEMENT(PlacementSimulation::new);

	/** Creates the simulation of one case. */
	private final Supplier<Simulation> simulationFactory;

	Promise(Supplier<Simulation> simulationFactory) {
		this.simulationFactory = simulationFactory;
	}

	/**
	 * Returns the factory that creates the simulation of each case.
	 * @return the factory
	 */
	Supplier<Simulation> simulationFactory() {
		return this.simulationFactory;
	}

	/**
	 * Returns the name that the command line and the results use.
	 * @return the name in lower case
	 */
	String toOptionName() {
		return name().toLowerCase(Locale.ROOT);
	}

}
