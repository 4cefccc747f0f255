package org.celeryhill.config;

/**
 * Limits of the weight store that placement keeps for one service. Immutable and
 * thread-safe.
 *
 * @param loadsPerSecond the model loads that the store allows per second, positive
 * @param loadsAtOnce the model loads at full speed at once, at least 1
 * @param adaptersInTransit the adapters in transit at full speed over all engines, at
 * least 1
 */
public record PlacementLimits(double loadsPerSecond, int loadsAtOnce, int adaptersInTransit) {

	/**
	 * Creates limits.
	 * @throws IllegalArgumentException if a figure is out of its range
	 */
	public PlacementLimits {
		if (!(loadsPerSecond > 0) || loadsAtOnce < 1 || adaptersInTransit < 1) {
			throw new IllegalArgumentException("limits of the weight store must be positive");
		}
	}

}
