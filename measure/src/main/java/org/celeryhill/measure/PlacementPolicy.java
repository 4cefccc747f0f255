package org.celeryhill.measure;

/**
 * Decides during a run which models engines load and unload.
 */
interface PlacementPolicy {

	/**
	 * Runs one round.
	 * @param run the run
	 */
	void round(Simulation run);

}
