package org.celeryhill.measure;

/**
 * Decides during a run which models the engines load and unload.
 */
interface PlacementPolicy {

	/**
	 * Runs one planning round and sends its commands.
	 * @param run the simulation with the engines
	 */
	void runRound(Simulation run);

}
